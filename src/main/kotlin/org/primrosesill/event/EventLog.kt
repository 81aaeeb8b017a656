/*
 * The event log of one process. Every decision that an operator may have to explain is recorded as one typed event. The
 * `timeline` command merges the logs of all processes.
 */
package org.primrosesill.event

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import java.io.PrintStream

/**
 * The objects that an event concerns. Properties that do not apply are null.
 *
 * @property subject the zone, VM, router, document or resource that the event concerns
 */
public data class EventSubject(
    val request: RequestId? = null,
    val upstream: UpstreamId? = null,
    val customer: CustomerId? = null,
    val subject: String? = null,
    val configurationRevision: Long? = null,
)

/** Records the events of one process. Implementations are thread-safe. */
public interface EventLog {
    /** Records one event and its [cause], which never contains credentials or chat text. */
    public fun record(type: EventType, cause: String, subject: EventSubject = EventSubject())
}

/** Returns an event log that discards every event. */
public fun noOpEventLog(): EventLog =
    object : EventLog {
        override fun record(type: EventType, cause: String, subject: EventSubject) = Unit
    }

/**
 * Returns an event log that writes one JSON line for each event.
 *
 * @param process router id, or the name of a stand-in process
 * @param currentMillis wall clock in milliseconds since the Unix epoch
 */
public fun jsonEventLog(
    process: String,
    availabilityZone: AvailabilityZoneId?,
    output: PrintStream,
    currentMillis: () -> Long,
): EventLog = JsonEventLog(EventRecordFactory(process, availabilityZone, currentMillis), output)

/** Creates the event records of one process. */
internal class EventRecordFactory(
    private val process: String,
    private val availabilityZone: AvailabilityZoneId?,
    private val currentMillis: () -> Long,
) {
    fun create(sequence: Long, type: EventType, cause: String, subject: EventSubject) =
        EventRecord(
            atMillis = currentMillis(),
            process = process,
            availabilityZone = availabilityZone,
            sequence = sequence,
            type = type,
            cause = cause.take(MAXIMUM_CAUSE_CHARACTERS),
            configurationRevision = subject.configurationRevision,
            request = subject.request,
            upstream = subject.upstream,
            customer = subject.customer,
            subject = subject.subject,
        )

    private companion object {
        /** A cause may quote what others sent; queued events must take a bounded part of the memory. */
        const val MAXIMUM_CAUSE_CHARACTERS = 2_000
    }
}

private class JsonEventLog(private val factory: EventRecordFactory, private val output: PrintStream) : EventLog {
    private var sequence = 0L

    // One lock for numbering and writing keeps the lines in sequence order.
    @Synchronized
    override fun record(type: EventType, cause: String, subject: EventSubject) {
        val record = factory.create(++sequence, type, cause, subject)
        output.println(Json.encodeToString(record))
    }
}
