/*
 * What a caller receives, over raw sockets on both sides, when an upstream breaks off its response. A truncated
 * response must look truncated to callers of HTTP/1.0 and HTTP/1.1, and a whole one must be delivered.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.transport.RawCaller
import org.primrosesill.transport.RawConnection
import org.primrosesill.transport.RawResponse
import org.primrosesill.transport.RawUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

private const val SIGNED = "X-Attempt-Id: $RAW_REQUEST_ID\r\nX-Server-Signature: s\r\n"
private val versions = listOf("HTTP/1.0", "HTTP/1.1")

private fun event(id: Int) = "id: $id\ndata: x\n\n"

private fun head(fields: String = "", status: Int = 200) = "HTTP/1.1 $status S\r\n$SIGNED$fields\r\n"

private fun withLength(body: String, status: Int = 200, fields: String = "") =
    head("${fields}Content-Length: ${body.length}\r\n", status) + body

private fun chunk(body: String) = "${body.length.toString(radix = 16)}\r\n$body\r\n"

/** What an upstream writes, and whether it then closes the connection in order or resets it. */
private class Script(val text: String, val reset: Boolean = false, val pauseMillis: Long = 0)

class TruncatedResponseTest {
    private val forwarding = RawForwarding()

    @AfterEach
    fun close() = forwarding.close()

    private fun play(script: Script): RawUpstream = RawUpstream { connection -> respond(connection, script) }

    private fun respond(connection: RawConnection, script: Script) {
        connection.readRequest()
        connection.write(script.text)
        Thread.sleep(script.pauseMillis)
        if (script.reset) connection.reset()
    }

    /** Sends a request for [target] through a forwarder to the first of [upstreams] and, if it fails, to the next ones. */
    private fun send(
        target: String,
        upstreams: List<RawUpstream>,
        version: String = "HTTP/1.1",
        readPauseMillis: Long = 0,
    ): RawResponse =
        forwarding.send(upstreams) { port, headers ->
            RawCaller(port, version, readPauseMillis).send(target, headers)
        }

    private class Case(
        val name: String,
        val target: String,
        val script: Script,
        val status: Int,
        val complete: Boolean,
        val body: String = "",
    )

    // Guards against a truncated response that its caller takes for complete, and against whole responses without a
    // length that are not delivered.
    @TestFactory
    fun `a truncated response does not look complete`(): List<DynamicTest> =
        listOf(
            Case("whole stream, by its connection", "/stream/x", Script(head() + event(1)), 200, true, event(1)),
            Case("whole plain, by its connection", "/unsafe/x", Script(head() + "body"), 200, true, "body"),
            Case("within an event", "/stream/x", Script(head() + event(1) + "id: 2\nda"), 200, false, event(1)),
            Case(
                "reset between two events",
                "/stream/x",
                Script(head() + event(1), reset = true, pauseMillis = 100),
                200,
                false,
                event(1),
            ),
            Case(
                "between two chunks",
                "/stream/x",
                Script(head("Transfer-Encoding: chunked\r\n") + chunk(event(1))),
                200,
                false,
                event(1),
            ),
            Case(
                "within the length",
                "/stream/x",
                Script(head("Content-Length: 40\r\n") + event(1)),
                200,
                false,
                event(1),
            ),
            Case("stream without an event", "/stream/x", Script(head()), 502, true),
            Case("stream with comments only", "/stream/x", Script(head() + ": ping\n\n"), 502, true),
            Case("plain without a byte", "/unsafe/x", Script(head()), 502, true),
            Case("plain, reset", "/unsafe/x", Script(head() + "body", reset = true, pauseMillis = 100), 502, true),
        ).flatMap { case -> versions.map { version -> truncationTest(case, version) } }

    private fun truncationTest(case: Case, version: String): DynamicTest =
        dynamicTest("${case.name}, to $version") {
            play(case.script).use { upstream ->
                expectThat(send(case.target, listOf(upstream), version))
                    .isEqualTo(RawResponse(case.status, case.body, case.complete))
            }
        }

    // Guards against an end of the response that is noticed before the reset, because reads are batched.
    @TestFactory
    fun `a reset while reads are batched does not look like an end`(): List<DynamicTest> =
        versions.map { version ->
            dynamicTest("to $version") {
                repeat(20) { round ->
                    RawUpstream { connection ->
                        connection.readRequest()
                        connection.write(head() + event(1))
                        Thread.sleep(5L * round)
                        connection.write(event(2))
                        connection.reset()
                    }.use { upstream ->
                        val response = send("/stream/x", listOf(upstream), version)
                        expectThat(response.complete && response.status == 200)
                            .describedAs("complete in round $round: $response")
                            .isFalse()
                    }
                }
            }
        }

    // Guards against an end of the response that is noticed before the reset, because the caller reads slowly.
    @TestFactory
    fun `a reset while a slow caller reads does not look like an end`(): List<DynamicTest> =
        versions.map { version ->
            dynamicTest("to $version") {
                val script = Script(head() + "x".repeat(3_000_000), reset = true)
                play(script).use { upstream ->
                    val response = send("/unsafe/x", listOf(upstream), version, readPauseMillis = 1)
                    expectThat(response.complete && response.status == 200).isFalse()
                }
            }
        }

    // Guards against a stream that looks complete because its engine crashed exactly between two of its events, and against
    // a whole stream that looks truncated because its engine broke off another one.
    @TestFactory
    fun `a stream that ends together with other connections of its engine is truncated`(): List<DynamicTest> =
        listOf(true to "200 aborted", false to "200").map { (crashes, result) ->
            dynamicTest(if (crashes) "the engine crashes" else "the engine goes on") {
                val close = CountDownLatch(1)
                RawUpstream { connection -> serveUntil(close, connection, crashes) }.use { upstream ->
                    expectThat(endOfStreamBeside(upstream, close)).isEqualTo(result)
                }
            }
        }

    /** Serves a stream that ends within an event, one that ends between two, and one that goes on unless [crashes]. */
    private fun serveUntil(close: CountDownLatch, connection: RawConnection, crashes: Boolean) {
        val target = connection.readRequest().substringBefore(" HTTP/")
        connection.write(head() + event(1))
        if (target.endsWith("broken")) connection.write("id: 2\nda")
        var next = 2
        while (!close.await(10, TimeUnit.MILLISECONDS)) if (target.endsWith("other")) connection.write(event(next++))
        if (!target.endsWith("other") || crashes) return
        repeat(20) {
            connection.write(event(next++))
            Thread.sleep(10)
        }
    }

    /** Returns how the stream that ends between two events ended for its caller. */
    private fun endOfStreamBeside(upstream: RawUpstream, close: CountDownLatch): String =
        runBlocking {
            val fixture = forwarding.fixture(listOf(upstream))
            val started = TimeSource.Monotonic.markNow()
            val clock =
                launch {
                    while (true) {
                        fixture.nowMillis = started.elapsedNow().inWholeMilliseconds
                        delay(1)
                    }
                }
            val streams = listOf("whole", "broken", "other").map { async { fixture.send("/stream/$it") } }
            delay(300)
            close.countDown()
            streams
                .awaitAll()
                .first()
                .result
                .also { clock.cancel() }
        }

    private class ResumeCase(
        val name: String,
        val second: Script,
        val complete: Boolean = false,
        val delivered: String = "",
    )

    // Guards against the text of a second upstream's error within a stream that had begun, and against a stream that ends
    // as complete although the second upstream added nothing to it.
    @TestFactory
    fun `after a stream broke off its caller receives further events or a truncated stream`(): List<DynamicTest> =
        listOf(
            ResumeCase("the rest", Script(withLength(event(3))), complete = true, delivered = event(3)),
            ResumeCase("the rest, by its connection", Script(head() + event(3)), complete = true, delivered = event(3)),
            ResumeCase("a rejection", Script("HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy")),
            ResumeCase("a signed error", Script(withLength("failed", status = 500))),
            ResumeCase("a signed error, broken off", Script(head("Content-Length: 99\r\n", status = 500) + "failed")),
            ResumeCase("an error without a signature", Script("HTTP/1.1 500 S\r\nContent-Length: 6\r\n\r\nfailed")),
            ResumeCase("a client error", Script(withLength("no such run\n\n", status = 404))),
            ResumeCase("an empty body with a length", Script(withLength(""))),
            ResumeCase("an empty body by its connection", Script(head())),
            ResumeCase("text", Script(withLength("failed\n\n"))),
            ResumeCase("text before the rest", Script(withLength("failed\n\n" + event(3)))),
            ResumeCase("JSON", Script(withLength("{\"error\":1}\n\n", fields = "Content-Type: application/json\r\n"))),
            ResumeCase("an HTTP head as the body", Script(head() + "HTTP/1.1 500 S\r\nX: y\r\n\r\n")),
            ResumeCase("the stream from its start", Script(withLength(event(1) + event(2) + event(3)))),
            ResumeCase("a status that is none", Script(withLength(event(3), status = 0))),
            ResumeCase("a field name with a blank", Script(withLength(event(3), fields = "X Bad: 1\r\n"))),
            ResumeCase("part of a head", Script("HTTP/1.1 200 OK\r\nX-Att")),
            ResumeCase("bytes that are no response", Script("garbage\r\n\r\n")),
            ResumeCase("a reset", Script("", reset = true)),
        ).flatMap { case -> versions.map { version -> resumeTest(case, version) } }

    private fun resumeTest(case: ResumeCase, version: String): DynamicTest =
        dynamicTest("${case.name}, to $version") {
            val first = Script(head() + event(1) + event(2) + "id: 3\nda")
            play(first).use { firstUpstream ->
                play(case.second).use { secondUpstream ->
                    val response = send("/resumable/x", listOf(firstUpstream, secondUpstream), version)
                    val expected = RawResponse(200, event(1) + event(2) + case.delivered, case.complete)
                    expectThat(response).isEqualTo(expected)
                }
            }
        }

    // Guards against a 200 with an empty or short body from an upstream that stopped within the head of its response.
    @TestFactory
    fun `a response cut within its head is no success`(): List<DynamicTest> {
        val responses =
            mapOf(
                "with a length" to head("Content-Length: 12\r\n"),
                "with chunks" to head("Transfer-Encoding: chunked\r\n"),
                "by its connection" to head(),
            )
        val targets = listOf("/safe/x", "/unsafe/x", "/stream/x")
        return responses.flatMap { (name, head) -> targets.map { target -> headCutTest(name, head, target) } }
    }

    private fun headCutTest(name: String, head: String, target: String): DynamicTest =
        dynamicTest("$name, $target, after each byte") {
            for (bytes in 1..head.length) {
                play(Script(head.take(bytes))).use { upstream ->
                    val response = send(target, listOf(upstream))
                    expectThat(response).describedAs("after $bytes bytes").isEqualTo(RawResponse(502, "", true))
                }
            }
        }
}
