/*
 * The events of one chat answer, kept so that a broken stream can be resumed after the last event that arrived.
 */
package org.primrosesill.standin

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import java.util.concurrent.CopyOnWriteArrayList

/** How an answer, or one reading of it, ended. */
internal enum class StreamEnd { FINISHED, CANCELLED, FELL_OVER, CONNECTION_CUT }

/** One answer in the making. Events are numbered from 1. Safe to call from any thread. */
internal class EngineStream(val execution: Execution) {
    private data class Progress(val events: Int = 0, val end: StreamEnd? = null, val cuts: Int = 0)

    private val events = CopyOnWriteArrayList<String>()
    private val progress = MutableStateFlow(Progress())
    private var readers = 0
    private var unreadSinceMillis = execution.startedAtMillis

    val end: StreamEnd? get() = progress.value.end

    fun append(event: String) {
        events += event
        progress.update { it.copy(events = events.size) }
    }

    fun end(end: StreamEnd) {
        progress.update { it.copy(end = it.end ?: end) }
    }

    /** Breaks the connections of all present readers. The engine goes on generating. */
    fun cutReaders() {
        progress.update { it.copy(cuts = it.cuts + 1) }
    }

    /** Returns for how long nobody has read this stream. */
    @Synchronized
    fun unreadMillis(nowMillis: Long): Long = if (readers > 0) 0 else nowMillis - unreadSinceMillis

    /** Hands each event after [after] to [emit] with its number, and returns how the reading ended. */
    suspend fun follow(after: Int, currentMillis: () -> Long, emit: suspend (Int, String) -> Unit): StreamEnd {
        synchronized(this) { readers++ }
        val cuts = progress.value.cuts
        var read = after
        try {
            while (true) {
                val seen = progress.first { it.events > read || it.end != null || it.cuts != cuts }
                if (seen.cuts != cuts) return StreamEnd.CONNECTION_CUT
                while (read < seen.events) emit(++read, events[read - 1])
                if (seen.end != null) return seen.end
            }
        } finally {
            synchronized(this) {
                readers--
                unreadSinceMillis = currentMillis()
            }
        }
    }
}
