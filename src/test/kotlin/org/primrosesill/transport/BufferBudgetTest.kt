/*
 * What one connection buffers while all connections together are within or above the budget.
 */
package org.primrosesill.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.request.HeadMatch
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.time.Duration.Companion.hours

class BufferBudgetTest {
    private val loop = TrafficLoop(throwingReporter)

    @AfterEach
    fun close() = loop.close()

    private class Case(val name: String, val othersBytes: Int, val expectedBytes: IntRange)

    // Guards against hundreds of responses that each stay below their own limit and exhaust the memory of the process.
    @TestFactory
    fun `a response is read ahead as far as the budget allows`(): List<DynamicTest> =
        listOf(
            Case("within the budget", othersBytes = 0, expectedBytes = 240_000..264_000),
            Case("above the budget", othersBytes = 33 * 1024 * 1024, expectedBytes = 14_000..24_000),
        ).map { case ->
            dynamicTest(case.name) {
                loop.buffers.add(case.othersBytes)
                val channel = EmbeddedChannel()
                val connection = UpstreamConnection(channel, BatchedReads(loop.eventLoop, 1.hours), loop.buffers)
                connection.send(requestMessage("GET", "/", null, loop.allocator)) { HeadMatch.THIS_CALL }
                channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\n", Charsets.US_ASCII))
                var read = 0
                while (channel.config().isAutoRead && read < MAXIMUM_READ_BYTES) {
                    channel.writeInbound(Unpooled.wrappedBuffer(ByteArray(READ_BYTES)))
                    read += READ_BYTES
                }
                expectThat(read).describedAs("bytes read").isIn(case.expectedBytes)
                connection.close()
                expectThat(loop.buffers.usedBytes).isEqualTo(case.othersBytes.toLong())
                loop.buffers.add(-case.othersBytes)
            }
        }

    private companion object {
        const val READ_BYTES = 4_000
        const val MAXIMUM_READ_BYTES = 1_000_000
    }
}
