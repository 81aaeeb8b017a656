/*
 * Watches the waits of one attempt for its upstream. A wait over its limit is only reported: the attempt remains open until
 * another one has made progress, since a silent upstream may be sound and slow.
 *
 * Load pattern: upstreams that hang or become unreachable without closing their connections while others would respond at once,
 * and sound ones that pause for longer than the limit.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration

/**
 * A wait for the head of a response or for the next event of a stream.
 *
 * @property limit time after which the upstream counts as stalled
 * @property startupTime time from the start of the attempt to the latest stage that it has reached: the head of the response or
 *     the first event; 0 before both
 * @property hasIncompleteData returns whether the upstream has sent bytes since that complete no event
 */
internal class UpstreamWait(
    val limit: Duration,
    val startupTime: Duration = Duration.ZERO,
    val hasIncompleteData: () -> Boolean = { false },
)

/** Receives the waits of an attempt that are longer than their limits. */
internal fun interface StallListener {
    /** Called when [wait] has lasted for its limit, and every [MOVE_CHECK_INTERVAL] after that until it ends. */
    fun onStalled(wait: UpstreamWait, waited: Duration)
}

/**
 * Confined to the traffic thread. Consecutive waits share one timer, since a stream waits for each of its events.
 *
 * @param timeLeft returns the time until the deadline of the request
 */
internal class StallWatch(
    private val scope: CoroutineScope,
    private val timeLeft: () -> Duration,
    private val listener: StallListener,
) {
    private var current: UpstreamWait? = null

    /** Time left when the current wait began. */
    private var beganWith = Duration.ZERO
    private var timer: Job? = null

    /** Time left when the timer expires. */
    private var expiresWith = Duration.ZERO

    /** Begins to measure [wait]. */
    fun begin(wait: UpstreamWait) {
        current = wait
        beganWith = timeLeft()
        val isActive = timer?.isActive ?: false
        val expiresInTime = expiresWith >= beganWith - wait.limit
        if (isActive && expiresInTime) return
        timer?.cancel()
        timer = scope.launch(start = CoroutineStart.UNDISPATCHED) { watch() }
    }

    /** Ends the current wait: what was awaited has arrived. */
    fun end() {
        current = null
    }

    /** Reports the current wait at once if it has lasted for its limit. */
    fun check() {
        val wait = current ?: return
        if (waited() >= wait.limit) listener.onStalled(wait, waited())
    }

    /** Ends the watch together with its attempt. */
    fun stop() {
        current = null
        timer?.cancel()
    }

    private suspend fun watch() {
        while (true) {
            val wait = current ?: return
            sleep(wait.limit - waited())
            while (current === wait) {
                listener.onStalled(wait, waited())
                sleep(MOVE_CHECK_INTERVAL)
            }
        }
    }

    private fun waited(): Duration = beganWith - timeLeft()

    private suspend fun sleep(duration: Duration) {
        expiresWith = timeLeft() - duration
        delay(duration)
    }
}
