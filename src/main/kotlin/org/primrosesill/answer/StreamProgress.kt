/*
 * Tracks how much of a chat stream was forwarded to the caller. It decides for each event whether to forward it, so
 * that a resumed stream neither loses nor duplicates an event. Engines number the events of a stream without gaps from
 * 0 or 1.
 */
package org.primrosesill.answer

/** Action for one event. */
public enum class StreamAction {
    /** Forward the event. */
    FORWARD,

    /** Forward the event, which completes the stream. */
    DONE,

    /** Ignore the event, because it has no data, such as a comment. */
    COMMENT,

    /** Drop the event, because it was forwarded already. */
    DUPLICATE,

    /** Resume the stream after [StreamProgress.lastId], because events before this one are missing. */
    GAP,
}

/** Progress of one stream. Not thread-safe. */
public class StreamProgress {
    /** Number of the last forwarded event, or null before the first numbered one. */
    public var lastId: Long? = null
        private set

    /** Number of forwarded events with data, without the final one. */
    public var events: Int = 0
        private set

    private var allNumbered = true

    /** Whether all events so far were numbered, so that the stream can be resumed after [lastId]. */
    public val resumable: Boolean get() = allNumbered && lastId != null

    /** Returns the action for [event] and counts it if it is forwarded. */
    public fun step(event: StreamEvent): StreamAction {
        if (event.data == null) return StreamAction.COMMENT
        val eventNumber = event.id?.toLongOrNull()
        if (eventNumber == null) {
            if (!event.isDone) allNumbered = false
        } else {
            val last = lastId
            if (last != null && eventNumber <= last) return StreamAction.DUPLICATE
            if (eventNumber > (last ?: 0) + 1) return StreamAction.GAP
            lastId = eventNumber
        }
        if (event.isDone) return StreamAction.DONE
        events++
        return StreamAction.FORWARD
    }
}
