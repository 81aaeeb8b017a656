/*
 * Batched reads of response streams. They avoid a wake-up of the event loop for each event, and must deliver all events
 * in order.
 */
package org.primrosesill.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Tag
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
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val STREAMS = 4
private const val EVENTS = 50
private const val READS_OF_A_BATCH = 16
private const val EVENT_PAUSE_MILLIS = 10L
private const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

private class StreamResult(val text: String, val end: String, val intervals: Int)

class BatchedReadsTest {
    private val loop = TrafficLoop(throwingReporter)
    private val client =
        nettyUpstreamClient(
            loop,
            UpstreamClientSettings(acceptsCloseDelimited = true, batchedReadInterval = 50.milliseconds),
        )

    @AfterEach
    fun close() = loop.close()

    private suspend fun stream(address: String, batched: Boolean): StreamResult {
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
                connection = ConnectionUse.Pooled(2.seconds),
            )
        val result = client.exchange(call) { read(it, batched) }
        return (result as ExchangeResult.Responded).value
    }

    /** Reads the body and counts the distinct intervals of 5 ms in which parts arrived. */
    private suspend fun read(response: UpstreamResponse, batched: Boolean): StreamResult {
        val text = StringBuilder()
        val intervals = HashSet<Long>()
        val start = System.nanoTime()
        while (true) {
            val part = response.body.next()
            intervals += (System.nanoTime() - start) / 5_000_000
            when (part) {
                is BodyPart.Bytes -> text.append(part.bytes.decodeToString())
                is BodyPart.Truncated -> return StreamResult(text.toString(), "truncated", intervals.size)
                BodyPart.End -> return StreamResult(text.toString(), "complete", intervals.size)
            }
            if (batched) response.body.allowBatching()
        }
    }

    // Guards against a wake-up for each event of each stream, and against events that are lost or reordered.
    @Tag("known-red")
    @Test
    fun `batched reads deliver complete streams with fewer wake-ups`() {
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
                val (unbatched, batched) =
                    listOf(false, true).map { batched ->
                        List(STREAMS) { async { stream(upstream.address, batched) } }.awaitAll()
                    }
                (unbatched + batched).forEach { expectThat(it.text to it.end).isEqualTo(expected to "complete") }
                expectThat(batched.sumOf { it.intervals }).isLessThan(unbatched.sumOf { it.intervals } * 3 / 4)
            }
        }
    }

    // Guards against a stream that is truncated between two batched reads and is reported as complete, or never ends.
    @TestFactory
    fun `the end of a batched stream is detected`(): List<DynamicTest> =
        listOf<Pair<String, (RawConnection) -> Unit>>(
            "truncated" to { it.close() },
            "truncated" to { it.reset() },
            "complete" to { it.write("0\r\n\r\n") },
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
                    runBlocking { expectThat(stream(upstream.address, batched = true).end).isEqualTo(expected) }
                }
            }
        }

    // Guards against a stream whose caller does not read and of which one batch of reads adds 16 buffers of 64 KB to the
    // queue, in chunks of one byte that take eleven times their size.
    @TestFactory
    fun `reading pauses as soon as the queue is full`(): List<DynamicTest> =
        listOf(false, true).map { batched ->
            dynamicTest(if (batched) "batched" else "not batched") {
                val channel = EmbeddedChannel()
                val connection = UpstreamConnection(channel, BatchedReads(loop.eventLoop, 1.hours), loop.buffers)
                connection.send(requestMessage("GET", "/", null, loop.allocator)) { HeadMatch.THIS_CALL }
                channel.writeInbound(Unpooled.copiedBuffer(CHUNKED_HEAD, Charsets.US_ASCII))
                if (batched) connection.batchReads()
                connection.autoRead = true
                var reads = 0
                while (channel.config().isAutoRead && reads < READS_OF_A_BATCH) {
                    reads++
                    channel.writeInbound(Unpooled.copiedBuffer(chunk("x").repeat(10_000), Charsets.US_ASCII))
                }
                expectThat(reads).describedAs("reads").isEqualTo(1)
            }
        }

    // Guards against a connection on which reading stays paused after it carried a batched stream.
    @Test
    fun `a connection that carried a batched stream is reused for the next request`() {
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
                repeat(3) { expectThat(stream(upstream.address, batched = true).end).isEqualTo("complete") }
                expectThat(upstream.connections.get()).isEqualTo(1)
            }
        }
    }
}
