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
import java.io.IOException
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
        val lines = written.toString().lines()
        expectThat(dropped).isGreaterThan(10_000)
        expectThat(lines.count { "upstream-lost" in it }).isEqualTo(100)
        expectThat(lines.size).isLessThan(5_000)
        expectThat(written.toString()).contains("events-dropped")
    }

    // Guards against a process that writes no events any more after its output has failed once.
    @Test
    fun `events after a failed write are written`() {
        val written = ByteArrayOutputStream()
        var failures = 0
        val output =
            object : OutputStream() {
                override fun write(byte: Int) = written.write(byte)

                override fun write(bytes: ByteArray) {
                    if (failures++ == 0) throw IOException("no space left")
                    written.write(bytes)
                }
            }
        val log = boundedEventLog("p", AvailabilityZoneId("a"), output) { 0 }
        log.record(EventType.UPSTREAM_LOST, "first")
        log.flush(5_000)
        log.record(EventType.UPSTREAM_LOST, "second")
        log.flush(5_000)
        expectThat(written.toString()).contains("second")
    }

    // Guards against events that quote a megabyte each, thousands of which wait to be written.
    @Test
    fun `a long cause is cut`() {
        val written = ByteArrayOutputStream()
        val log = boundedEventLog("p", AvailabilityZoneId("a"), written) { 0 }
        log.record(EventType.ITEM_REFUSED, "x".repeat(1_000_000))
        log.flush(5_000)
        expectThat(written.size()).isGreaterThan(1_000).isLessThan(3_000)
    }
}
