/*
 * Reads events from the response stream of an upstream. Only a complete event counts as progress, so that an upstream
 * that sends single bytes at intervals is detected as stalled, and the number of bytes without a complete event is
 * limited.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.answer.StreamEvent
import org.primrosesill.request.BodyPart
import org.primrosesill.request.BufferBudget
import org.primrosesill.request.UpstreamBody
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** The result of one read from a stream. */
internal sealed interface StreamPart {
    /** Complete events, each with the comments that precede it. */
    class Events(val events: List<StreamEvent>) : StreamPart

    /** The stream failed or stalled before its end. */
    class Interrupted(val reason: String, val connectionLost: Boolean = false) : StreamPart

    /** The stream is complete. [comments] follow its last event. */
    class End(val comments: ByteArray) : StreamPart
}

internal class EventStreamReader(private val body: UpstreamBody, private val buffers: BufferBudget) {
    private val parser = EventStreamParser(MAXIMUM_EVENT_BYTES)
    private val pendingComments = ByteArrayOutputStream()
    private var bytesSinceEvent = 0
    private var receivedText = false

    /** Whether bytes have been received that do not complete an event. */
    val hasIncompleteData: Boolean get() = bytesSinceEvent > 0

    /** Waits up to [timeout] for the next event. */
    suspend fun next(timeout: Duration): StreamPart =
        withTimeoutOrNull(timeout) { read() } ?: StreamPart.Interrupted("no event received for $timeout")

    /** Must be called when nothing is read any more. */
    fun release() {
        buffers.add(-bytesSinceEvent)
        bytesSinceEvent = 0
    }

    private suspend fun read(): StreamPart {
        while (true) {
            if (receivedText) return StreamPart.Interrupted("received text that is no event")
            when (val part = body.next()) {
                is BodyPart.Bytes -> parse(part.bytes)?.let { return it }
                is BodyPart.Truncated -> return StreamPart.Interrupted(part.reason, connectionLost = true)
                BodyPart.End -> return endOfBody()
            }
        }
    }

    /** A response without a length ends with its connection, so that a truncated one may end like a complete one. */
    private fun endOfBody(): StreamPart =
        if (parser.hasIncompleteEvent) {
            StreamPart.Interrupted("the response ended within an event", connectionLost = true)
        } else {
            StreamPart.End(pendingComments.toByteArray())
        }

    /** Returns the events that are complete with [bytes], or null when none is and the limit is not exceeded. */
    private fun parse(bytes: ByteArray): StreamPart? {
        bytesSinceEvent += bytes.size
        buffers.add(bytes.size)
        val parsed = parser.feed(bytes)
        receivedText = parsed.any { it.isText }
        val events = parsed.takeWhile { !it.isText }.mapNotNull(::withPrecedingComments)
        if (events.isNotEmpty()) {
            release()
            return StreamPart.Events(events)
        }
        if (bytesSinceEvent <= buffers.limit(MAXIMUM_EVENT_BYTES)) return null
        return StreamPart.Interrupted("$bytesSinceEvent bytes received without a complete event")
    }

    /** Returns [event] with the comments that precede it, or null when it is a comment itself. */
    private fun withPrecedingComments(event: StreamEvent): StreamEvent? {
        pendingComments.write(event.bytes)
        if (event.data == null && event.id == null) return null
        return StreamEvent(pendingComments.toByteArray(), event.id, event.data).also { pendingComments.reset() }
    }

    private companion object {
        /** An event holds a few tokens. A VM buffers up to one event for each of hundreds of streams. */
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
    }
}
