/*
 * Tests of the listener over raw sockets: framing, limits, pipelining, and callers that disconnect.
 */
package org.primrosesill.transport

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.RecordingExceptionReporter
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.model.headerFieldsOf
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

private val limits =
    ListenerLimits(
        maximumHeaderBytes = 2_000,
        maximumBodyBytes = 1_000,
        headerTimeout = 300.milliseconds,
        bodyTimeout = 300.milliseconds,
        idleTimeout = 600.milliseconds,
    )

private const val EXPECTED_FAULT = "a fault of the handler"

class HttpListenerTest {
    private val faults = RecordingExceptionReporter()
    private val loop = TrafficLoop(faults)
    private val handled = mutableListOf<InboundRequest>()

    @AfterEach
    fun close() {
        loop.close()
        expectThat(faults.messages.filterNot { it == EXPECTED_FAULT }).isEmpty()
    }

    /** Responds with method, target and body as received. */
    private val echo =
        RequestHandler { request, response ->
            handled += request
            response.respond(
                ResponseHead(200),
                "${request.method} ${request.target} ${request.body.decodeToString()}".toByteArray(),
            )
        }

    private fun listen(handler: RequestHandler = echo): HttpListener =
        runBlocking { startHttpListener(loop, "127.0.0.1:0", { limits }, handler) }

    /** Sends [text] and returns what is received until the connection is closed, or until a read times out. */
    private fun exchange(listener: HttpListener, text: String): String =
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 1_500
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            readAll(socket)
        }

    private fun readAll(socket: Socket): String {
        val received = StringBuilder()
        try {
            while (true) {
                val byte = socket.getInputStream().read()
                if (byte < 0) break
                received.append(byte.toChar())
            }
        } catch (_: java.net.SocketTimeoutException) {
            received.append("(open)")
        }
        return received.toString()
    }

    private class RejectedRequest(val name: String, val request: String, val status: Int)

    // Guards against request smuggling: bytes that this listener and an upstream would split into different requests.
    @TestFactory
    fun `requests with ambiguous framing are rejected and close the connection`(): List<DynamicTest> =
        listOf(
            RejectedRequest("two Content-Length fields", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
            RejectedRequest(
                "Content-Length and chunked encoding",
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            RejectedRequest("an unknown transfer encoding", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
            RejectedRequest(
                "two Transfer-Encoding fields",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            RejectedRequest("a negative length", "Content-Length: -1\r\n\r\n", 400),
            RejectedRequest("a length with a sign", "Content-Length: +3\r\n\r\nabc", 400),
            RejectedRequest("a list of lengths in one field", "Content-Length: 3, 3\r\n\r\nabc", 400),
            RejectedRequest("a field name with a space", "Content-Length : 3\r\n\r\nabc", 400),
            RejectedRequest("an invalid chunk size", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400),
            RejectedRequest("too many header bytes", "X: ${"x".repeat(2_100)}\r\n\r\n", 431),
            RejectedRequest("a body over the limit", "Content-Length: 1001\r\n\r\n", 413),
            RejectedRequest(
                "a chunked body over the limit",
                "Transfer-Encoding: chunked\r\n\r\n3e9\r\n${"x".repeat(1_001)}\r\n0\r\n\r\n",
                413,
            ),
            RejectedRequest("an incomplete body", "Content-Length: 3\r\n\r\nab", 408),
        ).map { case ->
            dynamicTest(case.name) {
                handled.clear()
                val smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
                val suffix = if (case.status == 408) "" else smuggled
                val received = exchange(listen(), "POST /a HTTP/1.1\r\nHost: h\r\n${case.request}$suffix")
                expectThat(received).startsWith("HTTP/1.1 ${case.status} ")
                expectThat(received.endsWith("(open)")).describedAs("connection open").isFalse()
                expectThat(handled).describedAs("handled requests").isEqualTo(mutableListOf())
            }
        }

    private class ValidRequest(val name: String, val request: String, val expectedBodies: List<String>)

    // Guards against a request that is changed, duplicated or lost.
    @TestFactory
    fun `requests reach the handler unchanged`(): List<DynamicTest> =
        listOf(
            ValidRequest(
                "Content-Length",
                "POST /a?b=%2F HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                listOf("POST /a?b=%2F abc"),
            ),
            ValidRequest(
                "chunked encoding",
                "PUT //a/../b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                listOf("PUT //a/../b abc"),
            ),
            ValidRequest(
                "chunks with an extension",
                "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nc\r\n0\r\n\r\n",
                listOf("PUT /a c"),
            ),
            ValidRequest(
                "chunks with a trailer",
                "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
                listOf("PUT /a c"),
            ),
            ValidRequest("no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", listOf("GET /a ")),
            ValidRequest(
                "two pipelined requests",
                "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                listOf("POST /1 a", "GET /2 "),
            ),
            ValidRequest("a non-standard method", "PURGE /a HTTP/1.1\r\nHost: h\r\n\r\n", listOf("PURGE /a ")),
        ).map { case ->
            dynamicTest(case.name) {
                val received = exchange(listen(), case.request)
                val bodies =
                    received
                        .removeSuffix(
                            "(open)",
                        ).split("HTTP/1.1 200 OK")
                        .drop(1)
                        .map { it.substringAfter("\r\n\r\n") }
                expectThat(bodies).describedAs(received).isEqualTo(case.expectedBodies)
            }
        }

    // Guards against a caller that does not send its body because it receives no 100 Continue.
    @Test
    fun `a request with Expect 100-continue receives the interim response`() {
        val listener = listen()
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 1_500
            socket.getOutputStream().write(
                "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n".toByteArray(),
            )
            val interim = String(socket.getInputStream().readNBytes(25))
            expectThat(interim).startsWith("HTTP/1.1 100 Continue")
            socket.getOutputStream().write("x".toByteArray())
            expectThat(readAll(socket)).contains("POST /a x")
        }
    }

    // Guards against a handler that keeps running after its caller has disconnected.
    @TestFactory
    fun `the handler is cancelled when its caller disconnects`(): List<DynamicTest> =
        listOf("before the response" to false, "within a stream" to true).map { (name, streaming) ->
            dynamicTest(name) {
                val started = CompletableDeferred<Unit>()
                val cancelled = CompletableDeferred<Unit>()
                val listener =
                    listen { _, response ->
                        if (streaming) response.start(ResponseHead(200))
                        started.complete(Unit)
                        try {
                            awaitCancellation()
                        } finally {
                            cancelled.complete(Unit)
                        }
                    }
                val socket = Socket("127.0.0.1", listener.port)
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
                runBlocking {
                    withTimeout(2_000) { started.await() }
                    socket.close()
                    withTimeout(500) { cancelled.await() }
                }
            }
        }

    private class StreamCase(
        val name: String,
        val version: String,
        val expectedEnd: String,
        val end: suspend (OutboundResponse) -> Unit,
        val faults: List<String> = emptyList(),
    )

    // Guards against a truncated response that appears complete.
    @TestFactory
    fun `a stream is complete only when it was finished`(): List<DynamicTest> =
        listOf(
            StreamCase("finished", "HTTP/1.1", "\r\n0\r\n\r\n", { it.finish() }),
            StreamCase("aborted", "HTTP/1.1", "1\r\na\r\n", { it.abort() }),
            StreamCase("not finished", "HTTP/1.1", "1\r\na\r\n", { }),
            StreamCase("failed", "HTTP/1.1", "1\r\na\r\n", { error(EXPECTED_FAULT) }, listOf(EXPECTED_FAULT)),
            StreamCase("finished for HTTP/1.0", "HTTP/1.0", "\r\n\r\na", { it.finish() }),
        ).map { case ->
            dynamicTest(case.name) {
                val listener =
                    listen { _, response ->
                        response.start(ResponseHead(200, headerFieldsOf("X" to "y")))
                        response.write("a".toByteArray())
                        case.end(response)
                    }
                val received = exchange(listener, "GET / ${case.version}\r\nHost: h\r\n\r\n")
                expectThat(received).endsWith(case.expectedEnd)
                expectThat(faults.messages.toList()).describedAs("reported faults").isEqualTo(case.faults)
                faults.messages.clear()
            }
        }

    // Guards against callers that are disconnected by a planned stop.
    @Test
    fun `draining closes connections after their next response`() {
        val listener = listen()
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 1_500
            listener.startDraining()
            Thread.sleep(50)
            socket.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            val received = readAll(socket)
            expectThat(received).contains("connection: close")
            expectThat(received).endsWith("GET /a ")
        }
    }

    // Guards against connections that are never closed.
    @Test
    fun `an idle connection is closed without a response`() {
        val received = listOf("", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n").map { exchange(listen(), it) }
        expectThat(received.map { it.substringAfter("\r\n\r\n") }).containsExactly("", "GET /a ")
    }

    // Guards against a request that arrives on a persistent connection long after draining began and is aborted when
    // the process ends: seen 7 s after SIGTERM on a connection that carried a stream when draining began.
    @Test
    fun `draining closes a connection after a response that was already started`() {
        val resume = CompletableDeferred<Unit>()
        val listener =
            listen { _, response ->
                response.start(ResponseHead(200))
                resume.await()
                response.finish()
            }
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 300
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            expectThat(readAll(socket)).contains("chunked").contains("(open)")
            listener.startDraining()
            resume.complete(Unit)
            expectThat(readAll(socket)).isEqualTo("0\r\n\r\n")
        }
    }
}
