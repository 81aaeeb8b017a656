/*
 * How far the caller's copy of a chat stream has come. It decides for each event whether the caller gets it, so that a
 * resumed stream neither loses nor doubles an event. Engines number the events of a stream without gaps from 0 or 1.
 */
package org.primrosesill.answer

/** What to do with one event. */
public enum class StreamStep {
    /** Hand the event on. */
    FORWARD,

    /** Hand the event on; the stream is whole with it. */
    DONE,

    /** A comment without data, which counts as nothing. */
    COMMENT,

    /** The caller has the event already. */
    DOUBLED,

    /** Events before this one are missing. The stream has to be resumed after [StreamProgress.lastId]. */
    LOST,
}

/** The state of one stream. Not safe for use by two threads at once. */
public class StreamProgress {
    /** Number of the last event that was handed on, or null before the first numbered one. */
    public var lastId: Long? = null
        private set

    /** Events with data that were handed on, without the final one. */
    public var events: Int = 0
        private set

    private var numbered = true

    /** True when all events so far carried a number, so that the engine can be asked for the ones after [lastId]. */
    public val resumable: Boolean get() = numbered && lastId != null

    /** Decides about [event] and counts it if it is handed on. */
    public fun step(event: StreamEvent): StreamStep {
        if (event.data == null) return StreamStep.COMMENT
        val number = event.id?.toLongOrNull()
        if (number == null) {
            if (!event.isDone) numbered = false
        } else {
            val last = lastId
            if (last != null && number <= last) return StreamStep.DOUBLED
            if (number > (last ?: 0) + 1) return StreamStep.LOST
            lastId = number
        }
        if (event.isDone) return StreamStep.DONE
        events++
        return StreamStep.FORWARD
    }
}
