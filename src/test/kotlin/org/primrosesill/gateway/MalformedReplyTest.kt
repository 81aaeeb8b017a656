/*
 * The store, a peer and an engine that send a gateway a usable body after a head that violates HTTP.
 */
package org.primrosesill.gateway

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.platform.fetchCachedParts
import org.primrosesill.platform.storeFeed
import org.primrosesill.request.UpstreamClient
import org.primrosesill.transport.RawUpstream
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = """{"revision":1,"items":[]}"""

class MalformedReplyTest {
    private val loop = TrafficLoop(throwingReporter)
    private val client = nettyUpstreamClient(loop, UpstreamClientSettings(acceptsCloseDelimited = true))

    @AfterEach
    fun close() = loop.close()

    /** A call to a server that sends [body]. */
    private class Call(
        val name: String,
        val body: String,
        val send: suspend (UpstreamClient, String) -> Either<Any, Any>,
    )

    private val calls =
        listOf(
            Call("store, listing", """{"at":1,"entries":[],"has_more":false}""") { client, address ->
                storeFeed(address, client).list()
            },
            Call("store, watch", """{"at":1,"events":[]}""") { client, address ->
                storeFeed(address, client).watch(PlatformRevision(1), 1.seconds)
            },
            Call("peer, items", ITEMS) { client, address ->
                PeerClient(client).fetchItems(address, PlatformRevision(1), known = emptyList())
            },
            Call("peer, held parts", """{"engines":{}}""") { client, address ->
                PeerClient(client).fetchHeldParts(address)
            },
            Call("engine, cached parts", """{"held":[]}""") { client, address -> fetchCachedParts(address, client) },
        )

    // Guards against a malformed response that is taken for the state of the store, a peer or an engine (issue 52).
    @TestFactory
    fun `a response with a malformed head is no response`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 000 OK\r\n",
            "HTTP/1.1 0200 OK\r\n",
            "HTTP/1.1 0410 Gone\r\n",
            "HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
            "HTTP/1.1 200 OK\r\nX\u0001Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        ).flatMap { head -> calls.map { call -> testOf(call, head, isValid = false) } }

    // Guards against checks that reject what HTTP allows.
    @TestFactory
    fun `a response with a valid head is read`(): List<DynamicTest> =
        calls.map { call -> testOf(call, "HTTP/1.1 200\r\n", isValid = true) }

    private fun testOf(call: Call, head: String, isValid: Boolean): DynamicTest =
        dynamicTest("${call.name}, ${head.map { if (it in ' '..'~') it else '_' }.joinToString("")}") {
            RawUpstream { connection ->
                connection.readRequest()
                connection.write("${head}Content-Length: ${call.body.length}\r\n\r\n${call.body}")
                connection.awaitClosed(timeoutMillis = 300)
            }.use { server ->
                val result = runBlocking { call.send(client, server.address) }
                expectThat(result.isRight()).describedAs("$result").isEqualTo(isValid)
                if (!isValid) expectThat("${result.leftOrNull()}").contains("malformed response")
            }
        }
}
