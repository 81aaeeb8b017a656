/*
 * A store that sends without end: pages, a head, a body.
 */
package org.primrosesill.platform

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.model.HeaderFields
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import org.primrosesill.transport.RawUpstream
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.nettyUpstreamClient
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/** Returns the page with the given index for each call. Ends the listing after [MAXIMUM_PAGES], as no test may run out of memory. */
private class PagedStore(private val entries: (Int) -> List<String>) : UpstreamClient {
    var calls = 0
    var sentBytes = 0L

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        val page = calls++
        val body =
            """{"at":1,"entries":[${entries(
                page,
            ).joinToString(",")}],"has_more":${calls < MAXIMUM_PAGES && sentBytes < MAXIMUM_BYTES}}"""
                .toByteArray()
        sentBytes += body.size
        val parts = ArrayDeque(listOf(BodyPart.Bytes(body), BodyPart.End))
        return ExchangeResult.Responded(
            use(UpstreamResponse(200, HeaderFields(), body = UpstreamBody { parts.removeFirst() })),
        )
    }

    companion object {
        const val MAXIMUM_PAGES = 5_000
        const val MAXIMUM_BYTES = 64_000_000
    }
}

private fun entry(key: String, value: String = "") = """{"key":"$key","revision":1,"value":"$value"}"""

class EndlessStoreTest {
    private val loop = TrafficLoop(throwingReporter)

    @AfterEach
    fun close() = loop.close()

    private class PageCase(val name: String, val maximumCalls: Int, val entries: (Int) -> List<String>)

    // Guards against a listing that is collected until the memory of the process is exhausted, or that never ends.
    @TestFactory
    fun `a listing without end fails`(): List<DynamicTest> =
        listOf(
            PageCase("the same page", maximumCalls = 2) { listOf(entry("k")) },
            PageCase("pages in descending order", maximumCalls = 2) { listOf(entry("k${9_999 - it}")) },
            PageCase("short pages", maximumCalls = 1_000) { listOf(entry("k${10_000 + it}")) },
            PageCase("long pages", maximumCalls = 20) { listOf(entry("k${10_000 + it}", "AAAA".repeat(250_000))) },
        ).map { case ->
            dynamicTest(case.name) {
                val store = PagedStore(case.entries)
                val result = runBlocking { storeFeed("10.0.0.1:80", store).list() }
                expectThat(result).isA<Either.Left<FeedError>>()
                expectThat(store.calls).describedAs("pages").isLessThanOrEqualTo(case.maximumCalls)
                expectThat(store.sentBytes).describedAs("bytes").isLessThan(MAXIMUM_LISTING_BYTES)
            }
        }

    private class ByteCase(val name: String, val prefix: String, val repeated: String)

    // Guards against a response of the store that is kept until the memory of the process is exhausted.
    @TestFactory
    fun `a response without end closes the connection`(): List<DynamicTest> =
        listOf(
            ByteCase("a status line", "HTTP/1.1 200 ", kilobyte),
            ByteCase("a header field", "HTTP/1.1 200 OK\r\nX: ", kilobyte),
            ByteCase("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"),
            ByteCase("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
            ByteCase("a body without a length", "HTTP/1.1 200 OK\r\n\r\n", kilobyte),
            ByteCase("a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", kilobyte),
            ByteCase("a chunked body", CHUNKED_HEAD, "3e8\r\n$kilobyte\r\n"),
            ByteCase("a chunk extension", "${CHUNKED_HEAD}1;x=", kilobyte),
            ByteCase("trailers", "${CHUNKED_HEAD}0\r\n", "X-Field: 1\r\n"),
        ).flatMap { case ->
            listOf<Pair<String, suspend (PlatformFeed) -> Any>>(
                "listing" to { it.list() },
                "watch" to { it.watch(PlatformRevision(1), 1.seconds) },
            ).map { (call, use) ->
                dynamicTest("$call, ${case.name}") {
                    val sent = AtomicLong()
                    val store = endlessSender(case.prefix, case.repeated, sent)
                    val result = store.use { runBlocking { use(storeFeed(it.address, nettyUpstreamClient(loop))) } }
                    expectThat(result).isA<Either.Left<FeedError>>()
                    expectThat(sent.get()).describedAs("bytes sent").isLessThan(MAXIMUM_SENT_BYTES)
                }
            }
        }

    private fun endlessSender(prefix: String, repeated: String, sent: AtomicLong) =
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(prefix)
            try {
                while (sent.get() < MAXIMUM_SENT_BYTES) {
                    connection.write(repeated)
                    sent.addAndGet(repeated.length.toLong())
                }
            } catch (_: IOException) {
                // The client has closed the connection.
            }
        }

    private companion object {
        val kilobyte = "x".repeat(1_000)
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        /** Twice what a gateway may keep of a listing. */
        const val MAXIMUM_LISTING_BYTES = 32L * 1024 * 1024

        /** Above the limit for a response plus the capacity of the socket buffers. */
        const val MAXIMUM_SENT_BYTES = 32L * 1024 * 1024
    }
}
