/*
 * Continuous batching of the stand-in engine: a fixed number of requests run together, and the most urgent of the rest
 * joins as soon as one leaves.
 */
package org.primrosesill.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.PriorityQueue

/** Lets [capacity] requests run at once. Safe to call from any thread. */
internal class EngineBatch(private val capacity: Int, private val queueLimit: Int) {
    private class Waiting(val priority: Int, val order: Long) {
        val admitted = CompletableDeferred<Unit>()
    }

    private val queue = PriorityQueue(compareBy<Waiting> { it.priority }.thenBy { it.order })
    private var arrivals = 0L

    var running = 0
        private set
    val queued: Int get() = synchronized(this) { queue.size }

    /** Waits for a place, 0 being the most urgent [priority], and returns false without one in [waitMillis]. */
    suspend fun enter(priority: Int, waitMillis: Long): Boolean {
        val waiting =
            synchronized(this) {
                if (running < capacity && queue.isEmpty()) {
                    running++
                    return true
                }
                if (queue.size >= queueLimit) return false
                Waiting(priority, arrivals++).also(queue::add)
            }
        var admitted = false
        try {
            admitted = withTimeoutOrNull(waitMillis) { waiting.admitted.await() } != null
            return admitted
        } finally {
            // A place that was given while the wait ended goes to the next request.
            if (!admitted) synchronized(this) { if (!queue.remove(waiting)) leave() }
        }
    }

    fun leave() {
        synchronized(this) {
            val next = queue.poll()
            if (next == null) running-- else next.admitted.complete(Unit)
        }
    }
}
