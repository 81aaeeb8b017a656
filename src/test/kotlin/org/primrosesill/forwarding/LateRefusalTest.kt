/*
 * A second copy of an earlier refusal that arrives on a connection that is in use again.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.transport.RawConnection
import org.primrosesill.transport.RawUpstream
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LateRefusalTest {
    private val loop = TrafficLoop(throwingReporter)

    @AfterEach
    fun close() = loop.close()

    private class Case(val name: String, val target: String, val lateCopy: String, val result: String)

    // Guards against a caller that is told "not run", so that it sends its request again while an upstream runs it, because
    // the upstream sent its refusal of an earlier request once more.
    @TestFactory
    fun `a late refusal is not reported for another request`(): List<DynamicTest> =
        listOf(
            Case("idempotent, with the id of the earlier request", "/safe/x", refusal("X-Attempt-Id: r1\r\n"), "200"),
            Case("idempotent, without an id", "/safe/x", refusal(""), "502"),
            Case("idempotent, 421 without an id", "/safe/x", refusal("", status = 421), "502"),
            Case("resumable stream, without an id", "/resumable/x", refusal(""), "502"),
            Case("not idempotent, without an id", "/unsafe/x", refusal(""), "200"),
            Case("stream, without an id", "/stream/x", refusal(""), "200"),
        ).map { case ->
            dynamicTest(case.name) {
                RawUpstream { connection -> serve(connection, case.lateCopy) }.use { upstream ->
                    val fixture = fixtureFor(upstream)
                    runBlocking {
                        fixture.send("/safe/x")
                        val second = fixture.send(case.target, id = "r2")
                        expectThat(second.result).isEqualTo(case.result)
                    }
                }
            }
        }

    /** Serves the first request of the connection, and sends [lateCopy] before the response to the second one. */
    private fun serve(connection: RawConnection, lateCopy: String) {
        val first = idOf(connection.readRequest()) ?: return
        connection.write(success(first))
        val second = idOf(connection.readRequest()) ?: return
        connection.write(lateCopy)
        connection.write(success(second))
        connection.awaitClosed()
    }

    // Guards against a second copy of a refusal on the connection on which the refusal arrived.
    @Test
    fun `the connection on which a refusal arrived is not used again`() {
        RawUpstream { connection ->
            idOf(connection.readRequest())?.let { connection.write(refusal("X-Attempt-Id: $it\r\n")) }
            connection.awaitClosed()
        }.use { upstream ->
            val fixture = fixtureFor(upstream)
            runBlocking { listOf("r1", "r2").forEach { fixture.send("/safe/x", id = it) } }
            expectThat(upstream.connections.get()).isEqualTo(2)
        }
    }

    private fun fixtureFor(upstream: RawUpstream): ForwardingFixture {
        val known = testUpstream("u1")
        val registration = known.registration.copy(address = upstream.address)
        val client = nettyUpstreamClient(loop, UpstreamClientSettings(acceptsCloseDelimited = true))
        return ForwardingFixture(client, upstreams = listOf(known.copy(registration = registration)))
    }

    private fun idOf(head: String): String? =
        Regex("X-Attempt-Id: (r2|r1)", RegexOption.IGNORE_CASE)
            .findAll(head)
            .lastOrNull()
            ?.groupValues
            ?.get(1)

    private fun refusal(fields: String, status: Int = 503) =
        "HTTP/1.1 $status Refused\r\n${fields}X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"

    private fun success(id: String): String {
        val body = "id: 1\ndata: x\n\n"
        val fields = "X-Attempt-Id: $id\r\nX-Server-Signature: s\r\nContent-Length: ${body.length}"
        return "HTTP/1.1 200 OK\r\n$fields\r\n\r\n$body"
    }
}
