/*
 * Reading of event lines. Logs may be cut, mixed with other output or given twice, and still tell what they can.
 */
package org.primrosesill.event

import kotlinx.serialization.json.Json
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.RequestId

// Newer releases may add fields.
private val eventJson = Json { ignoreUnknownKeys = true }

/** Reads the events in [lines] of the file [name]. Empty lines do not count as malformed. */
internal fun readEvents(name: String, lines: Sequence<String>): EventFile {
    var malformed = 0
    val records =
        lines
            .filter(String::isNotBlank)
            .mapNotNull { line -> decodeEvent(line).also { if (it == null) malformed++ } }
            .toList()
    return EventFile(name, records, malformed)
}

// The decoder's own exception is an IllegalArgumentException, and so is that of a value out of its range.
private fun decodeEvent(line: String): EventRecord? =
    try {
        eventJson.decodeFromString<EventRecord>(line)
    } catch (_: IllegalArgumentException) {
        null
    }

/** Finds the caller's name of a request. Routers add a dot and a suffix to it in their calls to upstreams. */
internal class RequestNames(records: List<EventRecord>) {
    private val routed =
        records.filter { it.type == EventType.REQUEST_ROUTED }.mapNotNullTo(hashSetOf()) { it.request }

    fun callersName(record: EventRecord): RequestId? {
        val request = record.request ?: return null
        val withoutSuffix = RequestId(request.value.substringBeforeLast('.'))
        return if (request !in routed && withoutSuffix in routed) withoutSuffix else request
    }
}
