/*
 * Counts the requests in flight and closes the door to new ones when the router stops.
 */
package org.primrosesill.request

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

internal class RequestGate {
    private class State(val open: Boolean, val inFlight: Int)

    private val state = MutableStateFlow(State(open = true, inFlight = 0))

    val inFlight: Int get() = state.value.inFlight

    /** Counts a request in and returns true, or returns false when the gate is closed. */
    fun enter(): Boolean {
        while (true) {
            val current = state.value
            if (!current.open) return false
            if (state.compareAndSet(current, State(open = true, current.inFlight + 1))) return true
        }
    }

    fun leave() = state.update { State(it.open, it.inFlight - 1) }

    fun close() = state.update { State(open = false, it.inFlight) }

    /** Waits until nothing is in flight, and returns false if that takes longer than [timeout]. */
    suspend fun awaitIdle(timeout: Duration): Boolean =
        withTimeoutOrNull(timeout) { state.first { it.inFlight == 0 } } != null
}
