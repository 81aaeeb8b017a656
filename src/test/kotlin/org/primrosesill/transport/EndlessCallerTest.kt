/*
 * Callers on raw sockets that send without end, or send requests and do not read the responses.
 */
package org.primrosesill.transport

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

private val limits =
    ListenerLimits(
        maximumHeaderBytes = 16 * 1024,
        maximumBodyBytes = 4 * 1024 * 1024,
        bodyTimeout = 1_000.milliseconds,
        idleTimeout = 1_000.milliseconds,
    )

private val kilobyte = "x".repeat(1_000)
private const val GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
private const val CHUNKED_HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

/** Above the limits of the listener plus the capacity of the socket buffers. */
private const val MAXIMUM_SENT_BYTES = 32L * 1024 * 1024

/** Above the timeouts of the listener. */
private const val MAXIMUM_OPEN_MILLIS = 8_000L

class EndlessCallerTest {
    private val loop = TrafficLoop(throwingReporter)

    @AfterEach
    fun close() = loop.close()

    private fun listen(handler: RequestHandler): Int =
        runBlocking { startHttpListener(loop, "127.0.0.1:0", { limits }, handler).port }

    /** Sends what [case] repeats until the listener closes the connection. Returns the number of bytes sent. */
    private fun sendWithoutEnd(port: Int, case: Case): Long {
        val sent = AtomicLong()
        Socket("127.0.0.1", port).use { socket ->
            val writer =
                thread(isDaemon = true) {
                    try {
                        socket.getOutputStream().write(case.prefix.toByteArray())
                        while (sent.get() < case.maximumSentBytes) {
                            socket.getOutputStream().write(case.repeated.toByteArray())
                            sent.addAndGet(case.repeated.length.toLong())
                        }
                    } catch (_: IOException) {
                        // The listener has closed the connection.
                    }
                }
            Thread.sleep(100)
            expectThat(statusOfAnotherCaller(port)).describedAs("another caller").isEqualTo("HTTP/1.1 200 OK")
            writer.join(MAXIMUM_OPEN_MILLIS)
            expectThat(!writer.isAlive).describedAs("closed by the listener").isTrue()
        }
        return sent.get()
    }

    private fun statusOfAnotherCaller(port: Int): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 2_000
            socket.getOutputStream().write(GET.toByteArray())
            socket.getInputStream().bufferedReader().readLine()
        }

    private class Case(
        val name: String,
        val prefix: String,
        val repeated: String,
        val maximumSentBytes: Long = MAXIMUM_SENT_BYTES,
        val handler: RequestHandler = RequestHandler { _, response -> response.respond(ResponseHead(200)) },
    )

    // Guards against a process that runs out of memory because of one caller.
    @TestFactory
    fun `a caller that sends without end is disconnected`(): List<DynamicTest> =
        listOf(
            Case("an unterminated request line", "", kilobyte),
            Case("empty lines", "", "\r\n".repeat(500)),
            Case("control characters", "", "\u0000".repeat(1_000)),
            Case("an unterminated header field", "GET /a HTTP/1.1\r\nX: ", kilobyte),
            Case("endless header fields", "GET /a HTTP/1.1\r\n", "X-Field: 1\r\n".repeat(80)),
            Case("a chunked body", CHUNKED_HEAD, "3e8\r\n$kilobyte\r\n"),
            Case("an unterminated chunk extension", "${CHUNKED_HEAD}1;x=", kilobyte),
            // The extensions are discarded, so that only the body timeout limits their number.
            Case("chunk extensions", CHUNKED_HEAD, "1;x=$kilobyte\r\ny\r\n", maximumSentBytes = Long.MAX_VALUE),
            Case("trailers", "${CHUNKED_HEAD}0\r\n", "X-Field: 1\r\n".repeat(80)),
            Case("requests whose responses are not read", "", GET.repeat(30)),
            Case("requests whose long responses are not read", "", GET.repeat(30)) { _, response ->
                response.respond(ResponseHead(200), ByteArray(200_000))
            },
            Case("requests whose response streams are not read", "", GET.repeat(30)) { _, response ->
                // The forwarder limits a response by the deadline of its request.
                withTimeoutOrNull(500.milliseconds) {
                    response.start(ResponseHead(200))
                    repeat(10) { response.write(ByteArray(20_000)) }
                    response.finish()
                }
            },
            Case("requests whose response is not read, then a malformed one", GET.repeat(50), kilobyte) { _, response ->
                response.respond(ResponseHead(200), ByteArray(200_000))
            },
        ).map { case ->
            dynamicTest(case.name) {
                val sent = sendWithoutEnd(listen(case.handler), case)
                expectThat(sent).describedAs("bytes sent").isLessThan(case.maximumSentBytes)
            }
        }

    // Guards against pipelined requests that are read faster than they are handled, without a limit.
    @Test
    fun `pipelined requests are read at the rate at which they are handled`() {
        val handled = AtomicInteger()
        val port =
            listen { _, response ->
                delay(1)
                handled.incrementAndGet()
                response.respond(ResponseHead(200))
            }
        val request = "GET /$kilobyte HTTP/1.1\r\nHost: h\r\n\r\n"
        val sent = AtomicInteger()
        Socket("127.0.0.1", port).use { socket ->
            thread(isDaemon = true) {
                val buffer = ByteArray(64 * 1024)
                runCatching { while (socket.getInputStream().read(buffer) >= 0) Unit }
            }
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        socket.getOutputStream().write(request.toByteArray())
                        sent.incrementAndGet()
                    }
                }
            }
            while (handled.get() < PIPELINED_REQUESTS) Thread.sleep(20)
        }
        val waitingBytes = (sent.get() - handled.get()).toLong() * request.length
        expectThat(waitingBytes).describedAs("bytes sent and not handled").isLessThan(MAXIMUM_SENT_BYTES)
    }

    private companion object {
        const val PIPELINED_REQUESTS = 1_500
    }
}
