/*
 * Parses a server-sent event stream incrementally, wherever the network splits its bytes. An event is emitted only
 * after the empty line that ends it, so that a resumed stream can repeat an incomplete event from its start.
 */
package org.primrosesill.answer

import java.io.ByteArrayOutputStream

/**
 * One complete event.
 *
 * @property bytes the event as received from the upstream, including the empty line at its end
 * @property id value of its last `id` field, or null
 * @property data values of its `data` fields joined by line feeds, or null for an event without one, such as a comment
 * @property isText whether it has neither data nor an id, and a line that is neither a comment nor a field of the format, such
 *     as the body of an error response
 */
public class StreamEvent(
    public val bytes: ByteArray,
    public val id: String?,
    public val data: String?,
    public val isText: Boolean = false,
) {
    /** Whether this is the event that ends a complete chat stream. */
    public val isDone: Boolean get() = data == "[DONE]"
}

/** Parses events from chunks of bytes. Not thread-safe. */
public class EventStreamParser(private val maximumEventBytes: Int = 1024 * 1024) {
    private val pending = ByteArrayOutputStream()
    private val line = ByteArrayOutputStream()
    private var id: String? = null
    private var data: StringBuilder? = null
    private var hasUnknownLine = false

    /** Whether an event was larger than the limit. The rest of the stream cannot be parsed. */
    public var overflow: Boolean = false
        private set

    /** Whether bytes were received after the last complete event. */
    public val hasIncompleteEvent: Boolean get() = pending.size() > 0

    /** Parses the next [bytes] of the stream and returns the events that end in them. */
    public fun feed(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>(1)
        for (byte in bytes) {
            pending.write(byte.toInt())
            if (byte != LINE_FEED) {
                line.write(byte.toInt())
            } else {
                parseLine()?.let(events::add)
            }
        }
        if (pending.size() > maximumEventBytes) overflow = true
        return events
    }

    private fun parseLine(): StreamEvent? {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isNotEmpty()) {
            parseField(text)
            return null
        }
        val isText = hasUnknownLine && id == null && data == null
        val event = StreamEvent(pending.toByteArray(), id, data?.toString(), isText)
        pending.reset()
        id = null
        data = null
        hasUnknownLine = false
        return event
    }

    private fun parseField(text: String) {
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (text.substringBefore(':')) {
            "id" -> id = value
            "data" -> data = data?.append('\n')?.append(value) ?: StringBuilder(value)
            "", "event", "retry" -> Unit
            else -> hasUnknownLine = true
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
