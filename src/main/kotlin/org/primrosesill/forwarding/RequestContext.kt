/*
 * A request that was accepted for forwarding, with its route, client account, pool and deadline.
 */
package org.primrosesill.forwarding

import org.primrosesill.answer.StreamEvent
import org.primrosesill.model.PoolId
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.Route
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * @property account null when the route requires no credential
 * @property pool the target of the route that was selected at random for this request
 * @property deadline the time at which the timeout of the caller or of the route expires, whichever is earlier
 */
internal class RequestContext(
    val request: InboundRequest,
    val metadata: RequestMetadata,
    val route: Route,
    val account: ClientAccount?,
    val pool: PoolId,
    val deadline: ComparableTimeMark,
) {
    /** Id of the last event that was written to the caller, from which a stream is resumed at another upstream. */
    var lastEventId: String? = null

    /** Returns why [event] cannot follow the events that the caller has received, or null if it can. */
    fun orderViolation(event: StreamEvent): String? {
        val last = lastEventId?.toLongOrNull() ?: return null
        val next = event.id?.toLongOrNull() ?: return null
        return if (next > last) null else "event $next follows event $last"
    }

    fun timeLeft(): Duration = -deadline.elapsedNow()

    val priority: Int get() = (account?.priority ?: route.priority).coerceIn(0, 9)
}
