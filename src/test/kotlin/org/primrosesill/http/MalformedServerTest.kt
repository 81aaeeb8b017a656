/*
 * Servers that send the clients of the router command a usable body after a head that violates HTTP.
 */
package org.primrosesill.http

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterStatus
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import org.primrosesill.transport.RawUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

private const val VM_LIST = """{"revision":1,"vms":[]}"""
private const val LOAD = """{"upstream":"u","state":"warm","running":1,"queued":1}"""
private val member =
    Member(RouterId("r1"), "127.0.0.1:1", AvailabilityZoneId("a"), 0, 1, MemberState.LIVE)
private val status = messageJson.encodeToString(RouterStatus(member, ready = true, configurationRevision = 7))
private val release = ClaimRelease(ClaimResource("key"), RouterId("r1"), "a1")

class MalformedServerTest {
    /** A call to a server that sends [body], and whether it succeeds. */
    private class Call(val name: String, val body: String, val succeeds: suspend (String) -> Boolean)

    private val calls =
        listOf(
            Call("platform", VM_LIST) { address ->
                PlatformClient(PlatformClientSettings(address)).use { it.vms(0) is Either.Right }
            },
            Call("peer", VM_LIST) { address -> peerClient(2.seconds).use { it.vms(address) is Either.Right } },
            Call("peer, status only", "") { address ->
                peerClient(2.seconds).use { it.release(address, release) is Either.Right }
            },
            Call("load report", LOAD) { address -> loadReportClient(2.seconds).use { it.read(address) != null } },
            Call("status", status) { address ->
                val (host, port) = address.split(':')
                OperatorClient().use { it.status(SocketAddress(host, port.toInt())) is Either.Right }
            },
        )

    // Guards against a malformed response that is taken for the response of a peer, an engine or the platform (issue 52).
    @TestFactory
    fun `a response with a malformed head is no response`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 000 OK\r\n",
            "HTTP/1.1 000\r\n",
            "HTTP/1.1 +200 OK\r\n",
            "HTTP/1.1 20 OK\r\n",
            "HTTP/1.1 600 OK\r\n",
            "HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
            "HTTP/1.1 200 OK\r\nX\tBad: 1\r\n",
            "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX\u0001Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX\u007fBad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX\u00e9Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX'Bad\": 1\r\n",
            "HTTP/1.1 200 OK\r\n: 1\r\n",
            "HTTP/1.1 200 OK\r\nX-Bad\r\n",
        ).flatMap { head -> calls.map { call -> testOf(call, head, succeeds = false) } }

    // Guards against an exception in place of a typed error.
    @TestFactory
    fun `a response with a malformed body is no response`(): List<DynamicTest> =
        listOf("x\r\n", "-1\r\n", "99999999999999999999\r\n", "1\r\n{}\r\n").flatMap { chunk ->
            calls.filter { it.body.isNotEmpty() }.map { call ->
                val text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$chunk"
                testOf(call, "chunk '${chunk.trim()}'", text, succeeds = false)
            }
        }

    // The Ktor client takes four digits for the three digits that they equal as a number; see KNOWN-RED.txt.
    @Tag("known-red")
    @TestFactory
    fun `a response with a status of four digits is no response`(): List<DynamicTest> =
        calls.map { call -> testOf(call, "HTTP/1.1 0200 OK\r\n", succeeds = false) }

    // Guards against checks that reject what HTTP allows.
    @TestFactory
    fun `a response with a valid head is read`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200\r\n",
            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: 1\r\n",
        ).flatMap { head -> calls.map { call -> testOf(call, head, succeeds = true) } }

    private fun testOf(call: Call, head: String, succeeds: Boolean): DynamicTest {
        val text = "${head}Content-Length: ${call.body.length}\r\n\r\n${call.body}"
        return testOf(call, head.map { if (it in ' '..'~') it else '_' }.joinToString(""), text, succeeds)
    }

    private fun testOf(call: Call, name: String, response: String, succeeds: Boolean): DynamicTest =
        dynamicTest("${call.name}, $name") {
            RawUpstream { connection ->
                connection.readRequest()
                connection.write(response)
                connection.awaitClosed(timeoutMillis = 300)
            }.use { server ->
                expectThat(runBlocking { call.succeeds(server.address) }).isEqualTo(succeeds)
            }
        }
}
