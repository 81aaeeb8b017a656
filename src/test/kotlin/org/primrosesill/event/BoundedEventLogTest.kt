/*
 * Tests the bounded event log with an output that blocks.
 */
package org.primrosesill.event

import org.junit.jupiter.api.Test
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch

class BoundedEventLogTest {
    private class BlockingOutput(private val target: ByteArrayOutputStream) : OutputStream() {
        val unblocked = CountDownLatch(1)

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            unblocked.await()
            target.write(bytes, offset, length)
        }
    }

    // Guards against a slow output that blocks traffic threads or exhausts the memory.
    @Test
    fun `events beyond the capacity are dropped and counted, those about requests first`() {
        val written = ByteArrayOutputStream()
        val output = BlockingOutput(written)
        val log = boundedEventLog("p", AvailabilityZoneId("a"), output) { 0 }
        val started = System.nanoTime()
        repeat(20_000) { log.record(EventType.REQUEST_FINISHED, "request $it") }
        repeat(100) { log.record(EventType.UPSTREAM_LOST, "upstream $it") }
        val millis = (System.nanoTime() - started) / 1_000_000
        val dropped = log.dropped
        println("20100 events recorded in $millis ms, $dropped dropped")
        output.unblocked.countDown()
        log.flush(5_000)
        Thread.sleep(200)
        val lines = written.toString().lines()
        expectThat(dropped).isGreaterThan(10_000)
        expectThat(lines.count { "upstream-lost" in it }).isEqualTo(100)
        expectThat(lines.size).isLessThan(5_000)
        expectThat(written.toString()).contains("events-dropped")
    }
}
