/*
 * A request that passed all checks and may be sent on.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.PoolId
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.Route
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * @property account null when the route needs no credential
 * @property pool the target of the route that was drawn for this request
 * @property deadline when the caller or the route gives up
 */
internal class ForwardingJob(
    val request: InboundRequest,
    val description: RequestDescription,
    val route: Route,
    val account: ClientAccount?,
    val pool: PoolId,
    val deadline: ComparableTimeMark,
) {
    /** The last event that the caller has, when a stream goes on at another upstream. */
    var lastEventId: String? = null

    fun timeLeft(): Duration = -deadline.elapsedNow()

    val urgency: Int get() = (account?.priority ?: route.priority).coerceIn(0, 9)
}
