/*
 * Limits how many requests this router sends to a cold upstream. The requests of all routers together stay within a
 * bound for each second. If the bound allows at least one request for each router, all get an equal share of it;
 * otherwise some routers may send one request and the others none. A router that does not have a complete view of the
 * fleet yet sends nothing to cold upstreams.
 *
 * Load pattern: upstreams that have just started, or whose zone returns to service, while every router sees them as idle.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * The bound on the requests that all routers together send to a cold upstream in any second: [overage] times the rate that
 * the upstream can serve, plus [tolerance] requests.
 */
public data class ColdStartBound(val overage: Double, val tolerance: Int)

/**
 * The routers that share a fleet-wide budget.
 *
 * @property others all other routers that may be alive
 * @property isComplete whether the membership view has settled, so that [others] can be complete
 */
public class FleetMembers(public val self: RouterId, public val others: Set<RouterId>, public val isComplete: Boolean)

/** Confined to the traffic thread. Times are milliseconds of a monotonic clock. */
public class ColdStartBudget(
    private val bound: () -> ColdStartBound,
    private val members: () -> FleetMembers,
    private val nowMillis: () -> Long,
) {
    private val sentAtMillis = HashMap<UpstreamId, ArrayDeque<Long>>()

    /** Returns whether this router may send one more request to [upstream], which can serve [ratePerSecond] while cold. */
    public fun allowsRequest(upstream: UpstreamId, ratePerSecond: Double): Boolean {
        val sentTimes = sentAtMillis[upstream]
        val now = nowMillis()
        while (sentTimes != null && sentTimes.isNotEmpty() && sentTimes.first() <= now - WINDOW_MILLIS) {
            sentTimes.removeFirst()
        }
        return (sentTimes?.size ?: 0) < share(upstream, ratePerSecond)
    }

    /**
     * Counts a request sent to [upstream]. Requests to warm upstreams count as well, since an upstream may turn cold before
     * the router detects it.
     */
    public fun recordRequest(upstream: UpstreamId) {
        val sentTimes = sentAtMillis.getOrPut(upstream) { ArrayDeque() }
        sentTimes.addLast(nowMillis())
        if (sentTimes.size > MAXIMUM_RECORDED_REQUESTS) sentTimes.removeFirst()
    }

    /** Removes the state of all upstreams that are not in [known]. */
    public fun retain(known: Set<UpstreamId>) {
        sentAtMillis.keys.retainAll(known)
    }

    /** Returns how many requests this router may send to [upstream] in a second. */
    private fun share(upstream: UpstreamId, ratePerSecond: Double): Int {
        val fleet = members()
        if (!fleet.isComplete) return 0
        val currentBound = bound()
        val total = ((ratePerSecond * currentBound.overage + currentBound.tolerance) * USABLE_FRACTION).toInt()
        val routers = fleet.others.size + 1
        if (routers <= total) return total / routers
        val ownRank = rank(upstream, fleet.self)
        val higherRanked = fleet.others.count { rank(upstream, it) > ownRank }
        return if (higherRanked < total) 1 else 0
    }

    /** Returns the rendezvous hash of [router] for [upstream], which is the same on all routers. */
    private fun rank(upstream: UpstreamId, router: RouterId): Long =
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(upstream.value)
            .putString(router.value)
            .asLong

    private companion object {
        const val WINDOW_MILLIS = 1_050L
        const val MAXIMUM_RECORDED_REQUESTS = 64

        /**
         * Fraction of the bound that is divided among the routers. The rest is reserved for routers missing from the
         * membership view, and for requests that arrive closer together than they were sent.
         */
        const val USABLE_FRACTION = 0.8
    }
}
