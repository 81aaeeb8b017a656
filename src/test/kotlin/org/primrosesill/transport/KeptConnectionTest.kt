/*
 * Connections that carry one request after the other. Whatever is left over from one answer must not become a part of the
 * next, and a request goes out on a kept connection only while that is known to be sound.
 */
package org.primrosesill.transport

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwFaults
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun answer(id: String, body: String = "ok", extra: String = "") =
    "HTTP/1.1 200 OK\r\nId: $id\r\n${extra}Content-Length: ${body.length}\r\n\r\n$body"

class KeptConnectionTest {
    private val loop = TrafficLoop(throwFaults)
    private val client = nettyUpstreamClient(loop, UpstreamClientSettings(acceptsUnframed = true))

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
            isAnswer = { fields: HeaderFields -> fields["Id"] == id },
        )

    private suspend fun send(address: String, id: String, connection: ConnectionUse = ConnectionUse.Kept(5.seconds)) =
        when (val result = client.exchange(call(address, id, connection)) { read { it.body.next() } }) {
            is ExchangeResult.Answered -> result.value
            is ExchangeResult.Broken -> "broken"
            is ExchangeResult.NotSent -> "not sent"
            ExchangeResult.TimedOut -> "timed out"
        }

    private suspend fun read(next: suspend () -> BodyPart): String {
        val text = StringBuilder()
        while (true) {
            when (val part = next()) {
                is BodyPart.Bytes -> text.append(part.bytes.decodeToString())
                is BodyPart.Cut -> return "cut after $text"
                BodyPart.End -> return text.toString()
            }
        }
    }

    /** An upstream that answers each request with its id, and does [after] once the first answer is out. */
    private fun echoing(extra: String = "", after: (RawConnection) -> Unit = {}) =
        RawUpstream { connection ->
            var answered = 0
            while (true) {
                val head = connection.readRequest()
                if (head.isEmpty()) break
                connection.write(answer(headerOf(head, "id").orEmpty(), extra = extra))
                if (answered++ == 0) after(connection)
            }
        }

    private class Case(
        val name: String,
        val extra: String = "",
        val connection: ConnectionUse = ConnectionUse.Kept(5.seconds),
        val pause: Duration = 100.milliseconds,
        val connections: Int,
        val after: (RawConnection) -> Unit = {},
    )

    // Guards against an answer that is made of bytes that were left over from the one before.
    @TestFactory
    fun `a connection carries a second request only while it is sound`(): List<DynamicTest> =
        listOf(
            Case("a sound one", connections = 1),
            Case("one that the upstream ends", extra = "Connection: close\r\n", connections = 2),
            Case("one that was closed in silence", connections = 2) { it.close() },
            Case("one with a second whole answer", connections = 2) { it.write(answer("old", "stale")) },
            Case("one with bytes that are no answer", connections = 2) { it.write("garbage") },
            Case("one that is idle for too long", connection = ConnectionUse.Kept(20.milliseconds), connections = 2),
            Case(
                "one with half of its idle time used",
                "Keep-Alive: timeout=1\r\n",
                pause = 600.milliseconds,
                connections = 2,
            ),
            Case("none when a new one is asked for", connection = ConnectionUse.Fresh, connections = 2),
        ).map { case ->
            dynamicTest(case.name) {
                echoing(case.extra, case.after).use { upstream ->
                    runBlocking {
                        expectThat(send(upstream.address, "1")).isEqualTo("ok")
                        delay(case.pause)
                        expectThat(send(upstream.address, "2", case.connection)).isEqualTo("ok")
                    }
                    expectThat(upstream.connections.get()).describedAs("connections").isEqualTo(case.connections)
                }
            }
        }

    // Guards against a late answer to an earlier request that reaches the caller of the next one.
    @Test
    fun `an answer to another request is dropped and the right one is taken`() {
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(answer("1"))
            connection.readRequest()
            connection.write(answer("1", "late") + answer("2", "right"))
        }.use { upstream ->
            runBlocking {
                expectThat(send(upstream.address, "1")).isEqualTo("ok")
                expectThat(send(upstream.address, "2")).isEqualTo("right")
            }
            expectThat(upstream.connections.get()).isEqualTo(1)
        }
    }

    // Guards against a cut answer without a length that is taken for a whole one.
    @TestFactory
    fun `an answer without a length is whole only when its connection ends in order`(): List<DynamicTest> =
        listOf(false to "hello", true to "cut").map { (reset, expected) ->
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

    // Guards against an interim answer that is taken for the final one.
    @Test
    fun `interim answers are passed over`() {
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer("1", "final"),
            )
        }.use { upstream -> expectThat(runBlocking { send(upstream.address, "1") }).isEqualTo("final") }
    }
}
