/*
 * The event log of one process. Every decision that an operator may have to answer for is one typed event; the
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
 * What an event is about. Fields that do not apply stay null.
 *
 * @property subject the zone, VM, router, document or resource that the event is about
 */
public data class EventSubject(
    val request: RequestId? = null,
    val upstream: UpstreamId? = null,
    val customer: CustomerId? = null,
    val subject: String? = null,
    val configurationRevision: Long? = null,
)

/** Takes the events of one process. Implementations are safe to call from any thread. */
public interface EventLog {
    /** Records one event with the reason for it. [cause] never holds credentials or chat text. */
    public fun record(type: EventType, cause: String, subject: EventSubject = EventSubject())
}

/** Returns a log that drops every event. */
public fun silentEventLog(): EventLog =
    object : EventLog {
        override fun record(type: EventType, cause: String, subject: EventSubject) = Unit
    }

/**
 * Returns a log that writes one JSON line for each event.
 *
 * @param process router id, or the name of a stand-in
 * @param currentMillis wall clock in milliseconds since the Unix epoch
 */
public fun jsonEventLog(
    process: String,
    availabilityZone: AvailabilityZoneId?,
    output: PrintStream,
    currentMillis: () -> Long,
): EventLog = JsonEventLog(EventSource(process, availabilityZone, currentMillis), output)

/** Makes the records of one process. */
internal class EventSource(
    private val process: String,
    private val availabilityZone: AvailabilityZoneId?,
    private val currentMillis: () -> Long,
) {
    fun record(sequence: Long, type: EventType, cause: String, subject: EventSubject) =
        EventRecord(
            atMillis = currentMillis(),
            process = process,
            availabilityZone = availabilityZone,
            sequence = sequence,
            type = type,
            cause = cause,
            configurationRevision = subject.configurationRevision,
            request = subject.request,
            upstream = subject.upstream,
            customer = subject.customer,
            subject = subject.subject,
        )
}

private class JsonEventLog(private val source: EventSource, private val output: PrintStream) : EventLog {
    private var sequence = 0L

    // Numbering and writing under one lock keep the lines in the order of their numbers.
    @Synchronized
    override fun record(type: EventType, cause: String, subject: EventSubject) {
        val record = source.record(++sequence, type, cause, subject)
        output.println(Json.encodeToString(record))
    }
}
