/*
 * An event log that never makes its caller wait. Lines are written by a thread of their own; when the reader of the output
 * is slow, lines are dropped and counted, those about single requests before those about the state of the process.
 */
package org.primrosesill.event

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Lines that wait to be written, at the most. */
private const val CAPACITY = 4_096

/** Up to this many waiting lines, those about single requests are taken as well. */
private const val REQUEST_CAPACITY = CAPACITY * 3 / 4

private const val MAXIMUM_BATCH = 256

/** How long lines are collected before they are written together, in milliseconds. */
private const val BATCH_MILLIS = 200L

private val requestTypes =
    setOf(
        EventType.REQUEST_ROUTED,
        EventType.REQUEST_EXECUTED,
        EventType.REQUEST_REFUSED,
        EventType.REQUEST_FINISHED,
        EventType.REQUEST_RETRIED,
        EventType.OUTCOME_UNKNOWN,
        EventType.ANSWER_CUT,
        EventType.ANSWER_DROPPED,
    )

/** An event log with a thread of its own. */
public interface BoundedEventLog : EventLog {
    /** Lines that were dropped so far. */
    public val dropped: Long

    /** Waits up to [millis] until the lines that were recorded before are written. */
    public fun flush(millis: Long)
}

/** Returns a log of [process] that writes JSON lines to [output]. */
public fun boundedEventLog(
    process: String,
    availabilityZone: AvailabilityZoneId,
    output: OutputStream,
    currentMillis: () -> Long,
): BoundedEventLog = QueuedEventLog(EventSource(process, availabilityZone, currentMillis), output)

private class QueuedEventLog(private val source: EventSource, private val output: OutputStream) : BoundedEventLog {
    private val queue = ArrayBlockingQueue<EventRecord>(CAPACITY)
    private val sequence = AtomicLong()
    private val drops = AtomicLong()
    private val writing = AtomicLong()

    init {
        thread(isDaemon = true, name = "events") { write() }
    }

    override val dropped: Long get() = drops.get()

    override fun record(type: EventType, cause: String, subject: EventSubject) {
        if (type in requestTypes && queue.size >= REQUEST_CAPACITY) {
            drops.incrementAndGet()
            return
        }
        val record = source.record(sequence.incrementAndGet(), type, cause, subject)
        if (!queue.offer(record)) drops.incrementAndGet()
    }

    override fun flush(millis: Long) {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
        while ((queue.isNotEmpty() || writing.get() > 0) && System.nanoTime() < end) Thread.sleep(1)
    }

    private fun write() {
        val batch = ArrayList<EventRecord>(MAXIMUM_BATCH)
        var reported = 0L
        while (true) {
            val first = queue.take()
            writing.set(1)
            Thread.sleep(BATCH_MILLIS)
            batch += first
            queue.drainTo(batch, MAXIMUM_BATCH - 1)
            val lines = StringBuilder()
            batch.forEach { lines.append(Json.encodeToString(it)).append('\n') }
            batch.clear()
            output.write(lines.toString().toByteArray())
            output.flush()
            writing.set(0)
            val lost = dropped
            if (lost > reported) {
                reported = lost
                record(EventType.EVENTS_DROPPED, "$lost lines were dropped since the start, as the output was slow")
            }
        }
    }
}
