/*
 * What the listener makes of requests on a bare socket: framing, limits, order, and callers that leave.
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
import org.primrosesill.concurrent.CollectedFaults
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundAnswer
import org.primrosesill.forwarding.OutboundHead
import org.primrosesill.forwarding.RequestHandler
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
    private val faults = CollectedFaults()
    private val loop = TrafficLoop(faults)
    private val seen = mutableListOf<InboundRequest>()

    @AfterEach
    fun close() {
        loop.close()
        expectThat(faults.messages.filterNot { it == EXPECTED_FAULT }).isEmpty()
    }

    /** Answers with method, target and body as they arrived. */
    private val echo =
        RequestHandler { request, answer ->
            seen += request
            answer.respond(
                OutboundHead(200),
                "${request.method} ${request.target} ${request.body.decodeToString()}".toByteArray(),
            )
        }

    private fun listen(handler: RequestHandler = echo): HttpListener =
        runBlocking { startHttpListener(loop, "127.0.0.1:0", { limits }, handler) }

    /** Sends [text] and returns all that comes back until the connection ends, or until nothing more comes. */
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

    private class Refusal(val name: String, val request: String, val status: Int)

    // Guards against bytes that this listener and an upstream would split into different requests.
    @TestFactory
    fun `requests whose end is in doubt are refused and end the connection`(): List<DynamicTest> =
        listOf(
            Refusal("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
            Refusal("a length beside chunks", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            Refusal("an unknown encoding", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
            Refusal(
                "an encoding twice",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            Refusal("a negative length", "Content-Length: -1\r\n\r\n", 400),
            Refusal("a length with a sign", "Content-Length: +3\r\n\r\nabc", 400),
            Refusal("a list of lengths", "Content-Length: 3, 3\r\n\r\nabc", 400),
            Refusal("a name with a space", "Content-Length : 3\r\n\r\nabc", 400),
            Refusal("a chunk size that is none", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400),
            Refusal("too many header bytes", "X: ${"x".repeat(2_100)}\r\n\r\n", 431),
            Refusal("a body that is too long", "Content-Length: 1001\r\n\r\n", 413),
            Refusal(
                "a body in chunks that is too long",
                "Transfer-Encoding: chunked\r\n\r\n3e9\r\n${"x".repeat(1_001)}\r\n0\r\n\r\n",
                413,
            ),
            Refusal("a body that does not come", "Content-Length: 3\r\n\r\nab", 408),
        ).map { case ->
            dynamicTest(case.name) {
                seen.clear()
                val smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
                val suffix = if (case.status == 408) "" else smuggled
                val answer = exchange(listen(), "POST /a HTTP/1.1\r\nHost: h\r\n${case.request}$suffix")
                expectThat(answer).startsWith("HTTP/1.1 ${case.status} ")
                expectThat(answer.endsWith("(open)")).describedAs("still open").isFalse()
                expectThat(seen).describedAs("requests that were served").isEqualTo(mutableListOf())
            }
        }

    private class Served(val name: String, val request: String, val answers: List<String>)

    // Guards against a request that reaches the upstream changed, twice or not at all.
    @TestFactory
    fun `requests are read as they were sent`(): List<DynamicTest> =
        listOf(
            Served(
                "a length",
                "POST /a?b=%2F HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                listOf("POST /a?b=%2F abc"),
            ),
            Served(
                "chunks",
                "PUT //a/../b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                listOf("PUT //a/../b abc"),
            ),
            Served(
                "chunks with an extension",
                "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nc\r\n0\r\n\r\n",
                listOf("PUT /a c"),
            ),
            Served(
                "chunks with a trailer",
                "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
                listOf("PUT /a c"),
            ),
            Served("no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", listOf("GET /a ")),
            Served(
                "two at once",
                "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                listOf("POST /1 a", "GET /2 "),
            ),
            Served("a method of its own", "PURGE /a HTTP/1.1\r\nHost: h\r\n\r\n", listOf("PURGE /a ")),
        ).map { case ->
            dynamicTest(case.name) {
                val answer = exchange(listen(), case.request)
                val bodies =
                    answer
                        .removeSuffix(
                            "(open)",
                        ).split("HTTP/1.1 200 OK")
                        .drop(1)
                        .map { it.substringAfter("\r\n\r\n") }
                expectThat(bodies).describedAs(answer).isEqualTo(case.answers)
            }
        }

    // Guards against a caller that waits for a go-ahead before it sends its body.
    @Test
    fun `a caller that expects a go-ahead gets it`() {
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

    // Guards against work that goes on for a caller that has left.
    @TestFactory
    fun `work ends when its caller leaves`(): List<DynamicTest> =
        listOf("before the answer" to false, "within a stream" to true).map { (name, streaming) ->
            dynamicTest(name) {
                val started = CompletableDeferred<Unit>()
                val cancelled = CompletableDeferred<Unit>()
                val listener =
                    listen { _, answer ->
                        if (streaming) answer.start(OutboundHead(200))
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

    private class Written(
        val name: String,
        val request: String,
        val end: String,
        val write: suspend (OutboundAnswer) -> Unit,
        val faults: List<String> = emptyList(),
    )

    // Guards against a part of an answer that looks like a whole one.
    @TestFactory
    fun `a stream is whole only when it was finished`(): List<DynamicTest> =
        listOf(
            Written("finished", "HTTP/1.1", "\r\n0\r\n\r\n", { it.finish() }),
            Written("aborted", "HTTP/1.1", "1\r\na\r\n", { it.abort() }),
            Written("left without an end", "HTTP/1.1", "1\r\na\r\n", { }),
            Written("failed", "HTTP/1.1", "1\r\na\r\n", { error(EXPECTED_FAULT) }, listOf(EXPECTED_FAULT)),
            Written("finished for HTTP/1.0", "HTTP/1.0", "\r\n\r\na", { it.finish() }),
        ).map { case ->
            dynamicTest(case.name) {
                val listener =
                    listen { _, answer ->
                        answer.start(OutboundHead(200, headerFieldsOf("X" to "y")))
                        answer.write("a".toByteArray())
                        case.write(answer)
                    }
                val answer = exchange(listener, "GET / ${case.request}\r\nHost: h\r\n\r\n")
                expectThat(answer).endsWith(case.end)
                expectThat(faults.messages.toList()).describedAs("reported faults").isEqualTo(case.faults)
                faults.messages.clear()
            }
        }

    // Guards against callers that are cut off by a planned stop.
    @Test
    fun `a stop ends connections with their next answer`() {
        val listener = listen()
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 1_500
            listener.closeConnectionsAfterNextAnswer()
            Thread.sleep(50)
            socket.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            val answer = readAll(socket)
            expectThat(answer).contains("connection: close")
            expectThat(answer).endsWith("GET /a ")
        }
    }

    // Guards against a connection that is kept for ever.
    @Test
    fun `an idle connection is closed in silence`() {
        val answers = listOf("", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n").map { exchange(listen(), it) }
        expectThat(answers.map { it.substringAfter("\r\n\r\n") }).containsExactly("", "GET /a ")
    }

    // Guards against a request that comes on a kept connection long after a stop began and is cut with the process: seen 7 s
    // after SIGTERM on a connection that carried a stream when the stop began.
    @Test
    fun `a connection ends with an answer that began before the stop`() {
        val goOn = CompletableDeferred<Unit>()
        val listener =
            listen { _, answer ->
                answer.start(OutboundHead(200))
                goOn.await()
                answer.finish()
            }
        Socket("127.0.0.1", listener.port).use { socket ->
            socket.soTimeout = 300
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            expectThat(readAll(socket)).contains("chunked").contains("(open)")
            listener.closeConnectionsAfterNextAnswer()
            goOn.complete(Unit)
            expectThat(readAll(socket)).isEqualTo("0\r\n\r\n")
        }
    }
}
