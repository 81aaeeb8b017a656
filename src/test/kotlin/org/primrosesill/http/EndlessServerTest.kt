/*
 * Servers that send the clients of the router command bytes without end.
 */
package org.primrosesill.http

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.SocketAddress
import org.primrosesill.transport.RawUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

class EndlessServerTest {
    private class Call(val name: String, val fails: suspend (String) -> Boolean)

    private class Case(val name: String, val prefix: String, val repeated: String)

    private val calls =
        listOf(
            Call("platform") { address ->
                PlatformClient(PlatformClientSettings(address)).use { it.vms(0) is Either.Left }
            },
            Call("peer") { address -> peerClient(2.seconds).use { it.vms(address) is Either.Left } },
            Call("load report") { address -> loadReportClient(2.seconds).use { it.read(address) == null } },
            Call("status") { address ->
                val (host, port) = address.split(':')
                OperatorClient().use { it.status(SocketAddress(host, port.toInt())) is Either.Left }
            },
        )

    // Guards against a response that is kept until the memory of the process is exhausted.
    @TestFactory
    fun `a response without end closes the connection`(): List<DynamicTest> =
        calls.flatMap { call ->
            listOf(
                Case("a status line", "HTTP/1.1 200 ", kilobyte),
                Case("a header field", "HTTP/1.1 200 OK\r\nX: ", kilobyte),
                Case("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n".repeat(80)),
                Case("a body", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", kilobyte),
                Case("an error response", "HTTP/1.1 500 Failed\r\nContent-Length: 999999999999\r\n\r\n", kilobyte),
                Case("a chunk extension", "${CHUNKED_HEAD}1;x=", kilobyte),
                Case("trailers", "${CHUNKED_HEAD}0\r\n", "X-Field: 1\r\n".repeat(80)),
            ).map { case ->
                dynamicTest("${call.name}, ${case.name}") {
                    val sent = AtomicLong()
                    val failed = endlessServer(case, sent).use { runBlocking { call.fails(it.address) } }
                    expectThat(failed).describedAs("failed").isEqualTo(true)
                    expectThat(sent.get()).describedAs("bytes sent").isLessThan(MAXIMUM_SENT_BYTES)
                }
            }
        }

    private fun endlessServer(case: Case, sent: AtomicLong) =
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(case.prefix)
            try {
                while (sent.get() < MAXIMUM_SENT_BYTES) {
                    connection.write(case.repeated)
                    sent.addAndGet(case.repeated.length.toLong())
                }
            } catch (_: IOException) {
                // The client has closed the connection.
            }
        }

    private companion object {
        val kilobyte = "x".repeat(1_000)
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        /** Above the largest limit, 16 MB for a status, plus the capacity of the socket buffers. */
        const val MAXIMUM_SENT_BYTES = 32L * 1024 * 1024
    }
}
