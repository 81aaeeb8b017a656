/*
 * Splits the bytes of a server-sent event stream into whole events, wherever the network cut them. An event that has
 * not ended with its empty line is never handed on, so that a resumed stream can repeat it from its start.
 */
package org.primrosesill.answer

import java.io.ByteArrayOutputStream

/**
 * One whole event.
 *
 * @property bytes the event as the upstream sent it, with the empty line at its end
 * @property id value of its last `id` field, or null
 * @property data its `data` lines joined by line feeds, or null for a comment
 */
public class StreamEvent(public val bytes: ByteArray, public val id: String?, public val data: String?) {
    /** The event that ends a whole chat stream. */
    public val isDone: Boolean get() = data == "[DONE]"
}

/** Reads events from chunks of bytes. Not safe for use by two threads at once. */
public class EventStreamParser(private val maximumEventBytes: Int = 1024 * 1024) {
    private val pending = ByteArrayOutputStream()
    private val line = ByteArrayOutputStream()
    private var id: String? = null
    private var data: StringBuilder? = null

    /** True when one event was larger than the limit. The stream cannot be read any further. */
    public var overflow: Boolean = false
        private set

    /** Takes the next [bytes] of the stream and returns the events that ended in them. */
    public fun feed(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>(1)
        for (byte in bytes) {
            pending.write(byte.toInt())
            if (byte != LINE_FEED) {
                line.write(byte.toInt())
            } else {
                endLine()?.let(events::add)
            }
        }
        if (pending.size() > maximumEventBytes) overflow = true
        return events
    }

    private fun endLine(): StreamEvent? {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isNotEmpty()) {
            readField(text)
            return null
        }
        val event = StreamEvent(pending.toByteArray(), id, data?.toString())
        pending.reset()
        id = null
        data = null
        return event
    }

    private fun readField(text: String) {
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (text.substringBefore(':')) {
            "id" -> id = value
            "data" -> data = data?.append('\n')?.append(value) ?: StringBuilder(value)
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
