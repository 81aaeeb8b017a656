/*
 * An event log that never blocks its caller. A dedicated thread writes the lines. When the output is slow, events are
 * dropped and counted, those about single requests before those about the state of the process.
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

/** Maximum number of queued events. */
private const val QUEUE_CAPACITY = 4_096

/** Queue size at which new events about single requests are dropped. */
private const val REQUEST_EVENT_CAPACITY = QUEUE_CAPACITY * 3 / 4

private const val MAXIMUM_BATCH_SIZE = 256

/** Time for which events are collected before they are written as one batch, in milliseconds. */
private const val BATCH_DELAY_MILLIS = 200L

private val requestEventTypes =
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

/** An event log with a bounded queue and a dedicated writer thread. */
public interface BoundedEventLog : EventLog {
    /** Number of events that were dropped since the log was created. */
    public val dropped: Long

    /** Waits up to [millis] milliseconds until the events that were recorded before the call are written. */
    public fun flush(millis: Long)
}

/** Returns an event log of [process] that writes JSON lines to [output]. */
public fun boundedEventLog(
    process: String,
    availabilityZone: AvailabilityZoneId,
    output: OutputStream,
    currentMillis: () -> Long,
): BoundedEventLog = QueuedEventLog(EventRecordFactory(process, availabilityZone, currentMillis), output)

private class QueuedEventLog(private val factory: EventRecordFactory, private val output: OutputStream) :
    BoundedEventLog {
    private val queue = ArrayBlockingQueue<EventRecord>(QUEUE_CAPACITY)
    private val sequence = AtomicLong()
    private val droppedEvents = AtomicLong()
    private val unwrittenEvents = AtomicLong()

    /** Number of dropped events that was reported last. */
    private var reportedCount = 0L

    init {
        thread(isDaemon = true, name = "events") { writeBatches() }
    }

    override val dropped: Long get() = droppedEvents.get()

    override fun record(type: EventType, cause: String, subject: EventSubject) {
        if (type in requestEventTypes && queue.size >= REQUEST_EVENT_CAPACITY) {
            droppedEvents.incrementAndGet()
            return
        }
        val record = factory.create(sequence.incrementAndGet(), type, cause, subject)
        unwrittenEvents.incrementAndGet()
        if (queue.offer(record)) return
        unwrittenEvents.decrementAndGet()
        droppedEvents.incrementAndGet()
    }

    override fun flush(millis: Long) {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
        while (unwrittenEvents.get() > 0 && System.nanoTime() < end) Thread.sleep(1)
    }

    private fun writeBatches() {
        val batch = ArrayList<EventRecord>(MAXIMUM_BATCH_SIZE)
        while (true) {
            try {
                takeInto(batch)
                write(batch)
            } catch (
                @Suppress("TooGenericExceptionCaught") _: Throwable,
            ) {
                // The output failed, or the memory is exhausted: the batch is lost, and later events must be written.
                droppedEvents.addAndGet(batch.size.toLong())
            } finally {
                unwrittenEvents.addAndGet(-batch.size.toLong())
                batch.clear()
            }
        }
    }

    /** Waits for an event, and moves it and those of the next moment to [batch]. */
    private fun takeInto(batch: MutableList<EventRecord>) {
        batch += queue.take()
        Thread.sleep(BATCH_DELAY_MILLIS)
        queue.drainTo(batch, MAXIMUM_BATCH_SIZE - 1)
    }

    private fun write(batch: List<EventRecord>) {
        val lines = StringBuilder()
        batch.forEach { lines.append(Json.encodeToString(it)).append('\n') }
        output.write(lines.toString().toByteArray())
        output.flush()
        recordDropped()
    }

    private fun recordDropped() {
        val droppedCount = dropped
        if (droppedCount <= reportedCount) return
        reportedCount = droppedCount
        record(
            EventType.EVENTS_DROPPED,
            "$droppedCount events dropped since the start because the output is slow or failed",
        )
    }
}
