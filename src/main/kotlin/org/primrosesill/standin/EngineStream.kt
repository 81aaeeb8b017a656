/*
 * The events of one chat response, stored so that a client can resume an interrupted stream after its last event.
 */
package org.primrosesill.standin

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import java.util.concurrent.CopyOnWriteArrayList

/** The end of a response, or of one reader's connection to it. The names in lower case appear in execution logs. */
internal enum class StreamEnd { FINISHED, CANCELLED, FELL_OVER, CONNECTION_CUT }

/** A chat response during and after its generation. Events are numbered from 1. Thread-safe. */
internal class EngineStream(val execution: Execution) {
    private data class Progress(val events: Int = 0, val end: StreamEnd? = null, val disconnects: Int = 0)

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

    /** Aborts the connections of all current readers. Generation continues. */
    fun disconnectReaders() {
        progress.update { it.copy(disconnects = it.disconnects + 1) }
    }

    /** Returns the milliseconds since the start or since the last reader stopped, or 0 while there is a reader. */
    @Synchronized
    fun unreadMillis(nowMillis: Long): Long = if (readers > 0) 0 else nowMillis - unreadSinceMillis

    /**
     * Passes each event after number [after] to [emit], with its number, until the response or this reader's connection
     * ends. Returns the cause of the end.
     */
    suspend fun follow(after: Int, currentMillis: () -> Long, emit: suspend (Int, String) -> Unit): StreamEnd {
        synchronized(this) { readers++ }
        val disconnects = progress.value.disconnects
        var lastRead = after
        try {
            while (true) {
                val current = progress.first { it.events > lastRead || it.end != null || it.disconnects != disconnects }
                if (current.disconnects != disconnects) return StreamEnd.CONNECTION_CUT
                while (lastRead < current.events) emit(++lastRead, events[lastRead - 1])
                if (current.end != null) return current.end
            }
        } finally {
            synchronized(this) {
                readers--
                unreadSinceMillis = currentMillis()
            }
        }
    }
}
