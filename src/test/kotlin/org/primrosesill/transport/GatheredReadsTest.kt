/*
 * Streams are read together, so that a router does not wake up for each event. What arrives must stay whole and in order.
 */
package org.primrosesill.transport

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwFaults
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val STREAMS = 4
private const val EVENTS = 50
private const val EVENT_PAUSE_MILLIS = 10L
private const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

private class Gathered(val text: String, val end: String, val reads: Int)

class GatheredReadsTest {
    private val loop = TrafficLoop(throwFaults)
    private val client =
        nettyUpstreamClient(
            loop,
            UpstreamClientSettings(acceptsUnframed = true, gatheringInterval = 50.milliseconds),
        )

    @AfterEach
    fun close() = loop.close()

    private suspend fun stream(address: String, gathers: Boolean): Gathered {
        val call =
            UpstreamCall(
                UpstreamId("u"),
                address,
                "GET",
                "/",
                "1",
                headerFieldsOf(),
                null,
                2.seconds,
                connection = ConnectionUse.Kept(2.seconds),
            )
        val result = client.exchange(call) { read(it, gathers) }
        return (result as ExchangeResult.Answered).value
    }

    /** Counts how often parts had to be waited for. */
    private suspend fun read(answer: UpstreamAnswer, gathers: Boolean): Gathered {
        val text = StringBuilder()
        val arrivals = HashSet<Long>()
        val start = System.nanoTime()
        while (true) {
            val part = answer.body.next()
            arrivals += (System.nanoTime() - start) / 5_000_000
            when (part) {
                is BodyPart.Bytes -> text.append(part.bytes.decodeToString())
                is BodyPart.Cut -> return Gathered(text.toString(), "cut", arrivals.size)
                BodyPart.End -> return Gathered(text.toString(), "whole", arrivals.size)
            }
            if (gathers) answer.body.gather()
        }
    }

    // Guards against a router that wakes up for each event of each stream, and against events that are lost or swapped.
    @Tag("known-red")
    @Test
    fun `streams that gather are handed on in fewer turns and whole`() {
        val expected = (1..EVENTS).joinToString("") { "id: $it\n\n" }
        val upstream =
            RawUpstream { connection ->
                connection.readRequest()
                connection.write(CHUNKED_HEAD)
                for (number in 1..EVENTS) {
                    connection.write(chunk("id: $number\n\n"))
                    Thread.sleep(EVENT_PAUSE_MILLIS)
                }
                connection.write("0\r\n\r\n")
            }
        upstream.use {
            runBlocking {
                val (single, gathered) =
                    listOf(false, true).map { gathers ->
                        List(STREAMS) { async { stream(upstream.address, gathers) } }.awaitAll()
                    }
                (single + gathered).forEach { expectThat(it.text to it.end).isEqualTo(expected to "whole") }
                expectThat(gathered.sumOf { it.reads }).isLessThan(single.sumOf { it.reads } * 3 / 4)
            }
        }
    }

    // Guards against a stream that was cut between two common reads and looks whole, or is never noticed.
    @TestFactory
    fun `the end of a stream that gathers is noticed`(): List<DynamicTest> =
        listOf<Pair<String, (RawConnection) -> Unit>>(
            "cut" to { it.close() },
            "cut" to { it.reset() },
            "whole" to { it.write("0\r\n\r\n") },
        ).mapIndexed { number, (expected, end) ->
            dynamicTest("end $number, $expected") {
                val upstream =
                    RawUpstream { connection ->
                        connection.readRequest()
                        connection.write(CHUNKED_HEAD + chunk("id: 1\n\n"))
                        Thread.sleep(120)
                        end(connection)
                    }
                upstream.use {
                    runBlocking { expectThat(stream(upstream.address, gathers = true).end).isEqualTo(expected) }
                }
            }
        }

    // Guards against a connection that is read only by chance after it carried a stream.
    @Test
    fun `a connection that carried a stream serves the next request`() {
        val upstream =
            RawUpstream { connection ->
                while (connection.readRequest().isNotEmpty()) {
                    connection.write(CHUNKED_HEAD + chunk("id: 1\n\n"))
                    Thread.sleep(20)
                    connection.write("0\r\n\r\n")
                }
            }
        upstream.use {
            runBlocking {
                repeat(3) { expectThat(stream(upstream.address, gathers = true).end).isEqualTo("whole") }
                expectThat(upstream.connections.get()).isEqualTo(1)
            }
        }
    }
}
