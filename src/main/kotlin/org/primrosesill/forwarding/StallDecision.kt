/*
 * Whether a request leaves an upstream that has stalled for another one. A move costs another wait for the first event, and it
 * gains nothing if the next upstream pauses as well.
 *
 * Load pattern: upstreams that hang while others respond, which are left at once; upstreams that all pause at the same time, as
 * when a wave of long prompts or a lack of memory slows down a pool, which are waited for as long as a second pause of the
 * same length fits into the time left.
 */
package org.primrosesill.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A wait for a stalled upstream.
 *
 * @property limit time after which the upstream counts as stalled
 * @property waited time since the upstream sent the last data for the request, or since it received the request
 * @property timeLeft time until the deadline of the request
 * @property startupTime time from the start of the attempt to the head of its response or its first event, 0 before both
 * @property isUpstreamStalled whether the upstream has sent nothing for any request, while most others of its pool responded, or
 *     sends bytes for this request that complete no event: one that only pauses sends nothing
 */
internal class StalledWait(
    val limit: Duration,
    val waited: Duration,
    val timeLeft: Duration,
    val startupTime: Duration,
    val isUpstreamStalled: Boolean,
) {
    /** Time left after a move to an upstream that pauses for as long as the present one has so far. */
    private val spareTime: Duration get() = timeLeft - startupTime - waited

    /** [spareTime] when the limit passed: since then the pause has grown and the time left has shrunk. */
    private val spareTimeAtLimit: Duration get() = spareTime + (waited - limit) * 2

    /**
     * Returns whether the request should be sent to another upstream.
     *
     * Unless the upstream has stalled, the move is put off to the last moment at which the time left bears a second such pause,
     * as the present one may end at any time. If that moment had passed before the limit, the request stays: a pause that has
     * lasted for as long as the time left is as likely to end as the next upstream is not to pause.
     */
    fun shouldLeave(): Boolean =
        isUpstreamStalled || (!spareTimeAtLimit.isNegative() && spareTime < MOVE_CHECK_INTERVAL * 2)
}

/** Time after which a move that was put off, or for which no upstream was free, is considered again. */
internal val MOVE_CHECK_INTERVAL: Duration = 100.milliseconds
