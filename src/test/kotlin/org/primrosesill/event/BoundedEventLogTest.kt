/*
 * An event log whose reader stands still.
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
    private class Gate(private val target: ByteArrayOutputStream) : OutputStream() {
        val open = CountDownLatch(1)

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            open.await()
            target.write(bytes, offset, length)
        }
    }

    // Guards against a slow reader of the output that stops the traffic, or fills the memory.
    @Test
    fun `lines beyond the bound are dropped and counted, those about requests first`() {
        val written = ByteArrayOutputStream()
        val gate = Gate(written)
        val log = boundedEventLog("p", AvailabilityZoneId("a"), gate) { 0 }
        val started = System.nanoTime()
        repeat(20_000) { log.record(EventType.REQUEST_FINISHED, "request $it") }
        repeat(100) { log.record(EventType.UPSTREAM_LOST, "upstream $it") }
        val millis = (System.nanoTime() - started) / 1_000_000
        val dropped = log.dropped
        println("20100 lines recorded in $millis ms, $dropped dropped")
        gate.open.countDown()
        log.flush(5_000)
        Thread.sleep(200)
        val lines = written.toString().lines()
        expectThat(dropped).isGreaterThan(10_000)
        expectThat(lines.count { "upstream-lost" in it }).isEqualTo(100)
        expectThat(lines.size).isLessThan(5_000)
        expectThat(written.toString()).contains("events-dropped")
    }
}
