/*
 * Reads event logs. A log may be truncated, mixed with other output or passed twice; its valid events are still read.
 */
package org.primrosesill.event

import kotlinx.serialization.json.Json
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.RequestId

// Events of newer releases may have additional fields.
private val eventJson = Json { ignoreUnknownKeys = true }

/** Reads the events in [lines] of the file [name]. Blank lines do not count as malformed. */
internal fun readEvents(name: String, lines: Sequence<String>): EventFile {
    var malformed = 0
    val records =
        lines
            .filter(String::isNotBlank)
            .mapNotNull { line -> decodeEventOrNull(line).also { if (it == null) malformed++ } }
            .toList()
    return EventFile(name, records, malformed)
}

// SerializationException is an IllegalArgumentException, as is the exception for a value out of its range.
private fun decodeEventOrNull(line: String): EventRecord? =
    try {
        eventJson.decodeFromString<EventRecord>(line)
    } catch (_: IllegalArgumentException) {
        null
    }

/** Maps events to the request id of the caller. Routers append a dot and a suffix to it in their calls to upstreams. */
internal class CallerRequestIds(records: List<EventRecord>) {
    private val routedIds =
        records.filter { it.type == EventType.REQUEST_ROUTED }.mapNotNullTo(hashSetOf()) { it.request }

    fun callerRequestId(record: EventRecord): RequestId? {
        val request = record.request ?: return null
        val withoutSuffix = RequestId(request.value.substringBeforeLast('.'))
        return if (request !in routedIds && withoutSuffix in routedIds) withoutSuffix else request
    }
}
