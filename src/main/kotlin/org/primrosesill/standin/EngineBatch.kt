/*
 * Continuous batching of the stand-in engine: the batch has a fixed number of slots, and a slot that becomes free is
 * assigned at once to the queued request with the highest priority.
 */
package org.primrosesill.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.PriorityQueue

/** Assigns [capacity] slots; at most [queueLimit] requests wait for one. Thread-safe. */
internal class EngineBatch(private val capacity: Int, private val queueLimit: Int) {
    private class QueuedRequest(val priority: Int, val arrival: Long) {
        val admitted = CompletableDeferred<Unit>()
    }

    private val queue = PriorityQueue(compareBy<QueuedRequest> { it.priority }.thenBy { it.arrival })
    private var arrivals = 0L

    var running = 0
        private set
    val queued: Int get() = synchronized(this) { queue.size }

    /**
     * Waits up to [waitMillis] for a slot and returns whether one was acquired. Requests of equal [priority] are served
     * in order of arrival; 0 is the highest priority. Returns false at once if the queue is full.
     */
    suspend fun acquireSlot(priority: Int, waitMillis: Long): Boolean {
        val request =
            synchronized(this) {
                if (running < capacity && queue.isEmpty()) {
                    running++
                    return true
                }
                if (queue.size >= queueLimit) return false
                QueuedRequest(priority, arrivals++).also(queue::add)
            }
        var admitted = false
        try {
            admitted = withTimeoutOrNull(waitMillis) { request.admitted.await() } != null
            return admitted
        } finally {
            // A slot that was assigned just as the wait ended is passed to the next request.
            if (!admitted) synchronized(this) { if (!queue.remove(request)) releaseSlot() }
        }
    }

    fun releaseSlot() {
        synchronized(this) {
            val next = queue.poll()
            if (next == null) running-- else next.admitted.complete(Unit)
        }
    }
}
