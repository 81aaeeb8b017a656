/*
 * Counts the requests in flight, and rejects new ones when the router stops.
 */
package org.primrosesill.request

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

internal class InFlightRequests {
    private class State(val open: Boolean, val inFlight: Int)

    private val state = MutableStateFlow(State(open = true, inFlight = 0))

    val inFlight: Int get() = state.value.inFlight

    /** Adds a request and returns true, or returns false after [close]. */
    fun tryAdd(): Boolean {
        while (true) {
            val current = state.value
            if (!current.open) return false
            if (state.compareAndSet(current, State(open = true, current.inFlight + 1))) return true
        }
    }

    fun remove() = state.update { State(it.open, it.inFlight - 1) }

    fun close() = state.update { State(open = false, it.inFlight) }

    /** Waits until no request is in flight. Returns false if that takes longer than [timeout]. */
    suspend fun awaitIdle(timeout: Duration): Boolean =
        withTimeoutOrNull(timeout) { state.first { it.inFlight == 0 } } != null
}
