/*
 * Reads the events of one stream of an upstream. Only a whole event counts as progress, so that an upstream that sends a byte
 * now and then is found to have stalled, and what arrives without an event is bounded.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.answer.StreamEvent
import org.primrosesill.request.BodyPart
import org.primrosesill.request.UpstreamBody
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** What comes next in a stream. */
internal sealed interface StreamPart {
    /** Whole events, each with the comments before it. */
    class Events(val events: List<StreamEvent>) : StreamPart

    class Broken(val reason: String) : StreamPart

    data object End : StreamPart
}

internal class StreamReader(private val body: UpstreamBody) {
    private val parser = EventStreamParser(MAXIMUM_EVENT_BYTES)
    private val comments = ByteArrayOutputStream()
    private var bytesSinceEvent = 0

    /** Waits up to [wait] for the next event. */
    suspend fun next(wait: Duration): StreamPart =
        withTimeoutOrNull(wait) { read() } ?: StreamPart.Broken("no event came for $wait")

    private suspend fun read(): StreamPart {
        while (true) {
            when (val part = body.next()) {
                is BodyPart.Bytes -> take(part.bytes)?.let { return it }
                is BodyPart.Cut -> return StreamPart.Broken(part.reason)
                BodyPart.End -> return StreamPart.End
            }
        }
    }

    private fun take(bytes: ByteArray): StreamPart? {
        bytesSinceEvent += bytes.size
        val events = parser.feed(bytes).mapNotNull(::withComments)
        if (events.isNotEmpty()) {
            bytesSinceEvent = 0
            return StreamPart.Events(events)
        }
        if (bytesSinceEvent <= MAXIMUM_EVENT_BYTES) return null
        return StreamPart.Broken("$bytesSinceEvent bytes came without an event")
    }

    /** Returns [event] with the comments before it, or null when it is a comment itself. */
    private fun withComments(event: StreamEvent): StreamEvent? {
        comments.write(event.bytes)
        if (event.data == null && event.id == null) return null
        return StreamEvent(comments.toByteArray(), event.id, event.data).also { comments.reset() }
    }

    private companion object {
        /** Events hold some tokens each; a VM keeps one for each of hundreds of streams. */
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
    }
}
