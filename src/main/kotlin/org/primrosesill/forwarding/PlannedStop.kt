/*
 * Which requests a gateway that is being stopped still accepts. Requests that are in flight at the end of the grace period
 * are cut, so that one that may last longer is better sent to another gateway at once.
 *
 * Load pattern: callers that send on open connections, or finish long bodies, late in the grace period.
 */
package org.primrosesill.forwarding

import org.primrosesill.route.Route
import org.primrosesill.route.RouteKind
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * @property routedUntil time until which the platform may send callers to this gateway
 * @property cutAt time at which requests in flight are cut
 */
public class PlannedStop(private val routedUntil: ComparableTimeMark, private val cutAt: ComparableTimeMark) {
    /**
     * Returns whether a request of [route] with [timeLeft] until its deadline is accepted at [now]. Streams and idempotent
     * requests usually end long before their deadline, so that they are accepted while callers cannot know of the stop.
     */
    public fun accepts(route: Route, timeLeft: Duration, now: ComparableTimeMark): Boolean {
        if (now + timeLeft <= cutAt) return true
        return now < routedUntil && route.kind != RouteKind.NON_IDEMPOTENT
    }
}
