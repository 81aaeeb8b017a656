/*
 * Connection reuse. Bytes left over from one response must not become part of the next one, and a request is sent on a
 * pooled connection only if nothing on that connection is left of the previous exchange.
 */
package org.primrosesill.transport

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.HeadMatch
import org.primrosesill.request.UpstreamCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun response(id: String, body: String = "ok", extra: String = "") =
    "HTTP/1.1 200 OK\r\nId: $id\r\n${extra}Content-Length: ${body.length}\r\n\r\n$body"

class ConnectionReuseTest {
    private val loop = TrafficLoop(throwingReporter)
    private val client = nettyUpstreamClient(loop, UpstreamClientSettings(acceptsCloseDelimited = true))

    @AfterEach
    fun close() = loop.close()

    private fun call(address: String, id: String, connection: ConnectionUse, timeout: Duration = 1.seconds) =
        UpstreamCall(
            upstream = UpstreamId("u"),
            address = address,
            method = "GET",
            path = "/",
            requestId = id,
            headers = headerFieldsOf("Id" to id),
            body = null,
            timeout = timeout,
            connection = connection,
            matchHead = { if (it["Id"] == id) HeadMatch.THIS_CALL else HeadMatch.OTHER_CALL },
        )

    private suspend fun send(address: String, id: String, connection: ConnectionUse = ConnectionUse.Pooled(5.seconds)) =
        when (val result = client.exchange(call(address, id, connection)) { read { it.body.next() } }) {
            is ExchangeResult.Responded -> result.value
            is ExchangeResult.ConnectionFailed -> "failed"
            is ExchangeResult.NotSent -> "not sent"
            ExchangeResult.TimedOut -> "timed out"
        }

    private suspend fun read(next: suspend () -> BodyPart): String {
        val text = StringBuilder()
        while (true) {
            when (val part = next()) {
                is BodyPart.Bytes -> text.append(part.bytes.decodeToString())
                is BodyPart.Truncated -> return "truncated after $text"
                BodyPart.End -> return text.toString()
            }
        }
    }

    /** An upstream that responds to each request with its id, and runs [after] after the first response. */
    private fun echoUpstream(extra: String = "", after: (RawConnection) -> Unit = {}) =
        RawUpstream { connection ->
            var responseCount = 0
            while (true) {
                val head = connection.readRequest()
                if (head.isEmpty()) break
                connection.write(response(headerOf(head, "id").orEmpty(), extra = extra))
                if (responseCount++ == 0) after(connection)
            }
        }

    private class Case(
        val name: String,
        val extra: String = "",
        val connection: ConnectionUse = ConnectionUse.Pooled(5.seconds),
        val pause: Duration = 100.milliseconds,
        val connections: Int,
        val after: (RawConnection) -> Unit = {},
    )

    // Guards against a response that is built from bytes left over from the previous one.
    @TestFactory
    fun `a connection is reused only while it is intact`(): List<DynamicTest> =
        listOf(
            Case("an intact connection", connections = 1),
            Case("Connection: close from the upstream", extra = "Connection: close\r\n", connections = 2),
            Case("closed by the upstream without notice", connections = 2) { it.close() },
            Case("an unsolicited second response", connections = 2) { it.write(response("old", "stale")) },
            Case("unsolicited bytes", connections = 2) { it.write("garbage") },
            Case("idle for longer than allowed", connection = ConnectionUse.Pooled(20.milliseconds), connections = 2),
            Case(
                "idle for over half of the Keep-Alive timeout",
                "Keep-Alive: timeout=1\r\n",
                pause = 600.milliseconds,
                connections = 2,
            ),
            Case("a new connection required by the call", connection = ConnectionUse.NewPersistent, connections = 2),
        ).map { case ->
            dynamicTest(case.name) {
                echoUpstream(case.extra, case.after).use { upstream ->
                    runBlocking {
                        expectThat(send(upstream.address, "1")).isEqualTo("ok")
                        delay(case.pause)
                        expectThat(send(upstream.address, "2", case.connection)).isEqualTo("ok")
                    }
                    expectThat(upstream.connections.get()).describedAs("connections").isEqualTo(case.connections)
                }
            }
        }

    // Guards against a late response to an earlier request that is returned for the next one.
    @Test
    fun `a response to another request is discarded`() {
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(response("1"))
            connection.readRequest()
            connection.write(response("1", "late") + response("2", "right"))
        }.use { upstream ->
            runBlocking {
                expectThat(send(upstream.address, "1")).isEqualTo("ok")
                expectThat(send(upstream.address, "2")).isEqualTo("right")
            }
            expectThat(upstream.connections.get()).isEqualTo(1)
        }
    }

    // Guards against a truncated response without a length that is reported as complete.
    @TestFactory
    fun `a response without a length is complete only after an orderly close`(): List<DynamicTest> =
        listOf(false to "hello", true to "truncated").map { (reset, expected) ->
            dynamicTest(if (reset) "a reset" else "an orderly close") {
                RawUpstream { connection ->
                    connection.readRequest()
                    connection.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello")
                    Thread.sleep(50)
                    if (reset) connection.reset()
                }.use { upstream ->
                    val result = runBlocking { send(upstream.address, "1") }
                    expectThat(result.take(expected.length)).isEqualTo(expected)
                }
            }
        }

    // Guards against an interim response that is returned as the final one.
    @Test
    fun `interim responses are skipped`() {
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("1", "final"),
            )
        }.use { upstream -> expectThat(runBlocking { send(upstream.address, "1") }).isEqualTo("final") }
    }
}
