/*
 * How many requests this router may send to a cold upstream. All routers share what the upstream bears in any second. Each
 * of a few routers gets a share; when the fleet is larger than the bound, most get none. A router that does not know the
 * fleet yet sends nothing to cold upstreams.
 *
 * Load pattern: upstreams that have just started, or whose zone comes back, while every router sees them as idle.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * The bound on requests to a cold upstream in any second, by all routers together: [overage] times the rate that it bears,
 * and [tolerance] beside.
 */
public data class ColdStartBound(val overage: Double, val tolerance: Int)

/**
 * The routers among which a budget is divided.
 *
 * @property others all other routers that may be alive
 * @property settled whether [others] can be complete
 */
public class FleetMembers(public val self: RouterId, public val others: Set<RouterId>, public val settled: Boolean)

/** Owned by the traffic thread. Times are milliseconds of a steady clock. */
public class ColdStartBudget(
    private val bound: () -> ColdStartBound,
    private val members: () -> FleetMembers,
    private val nowMillis: () -> Long,
) {
    private val sent = HashMap<UpstreamId, ArrayDeque<Long>>()

    /** Returns whether one more request may go to [upstream], which bears [ratePerSecond]. */
    public fun hasRoom(upstream: UpstreamId, ratePerSecond: Double): Boolean {
        val instants = sent[upstream]
        val now = nowMillis()
        while (instants != null && instants.isNotEmpty() && instants.first() <= now - WINDOW_MILLIS) {
            instants.removeFirst()
        }
        return (instants?.size ?: 0) < share(upstream, ratePerSecond)
    }

    /** Counts a request to [upstream]. Requests to warm upstreams count as well, since they may turn cold unnoticed. */
    public fun count(upstream: UpstreamId) {
        val instants = sent.getOrPut(upstream) { ArrayDeque() }
        instants.addLast(nowMillis())
        if (instants.size > MAXIMUM_COUNTED) instants.removeFirst()
    }

    /** Forgets upstreams that are no longer known. */
    public fun retain(known: Set<UpstreamId>) {
        sent.keys.retainAll(known)
    }

    /** Requests in a second that this router may send. */
    private fun share(upstream: UpstreamId, ratePerSecond: Double): Int {
        val fleet = members()
        if (!fleet.settled) return 0
        val inForce = bound()
        val total = ((ratePerSecond * inForce.overage + inForce.tolerance) * USED_PART).toInt()
        val routers = fleet.others.size + 1
        if (routers <= total) return total / routers
        val own = rank(upstream, fleet.self)
        val ahead = fleet.others.count { rank(upstream, it) > own }
        return if (ahead < total) 1 else 0
    }

    private fun rank(upstream: UpstreamId, router: RouterId): Long =
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(upstream.value)
            .putString(router.value)
            .asLong

    private companion object {
        const val WINDOW_MILLIS = 1_050L
        const val MAXIMUM_COUNTED = 64

        /** The rest covers routers that are not known, and requests that arrive closer together than they were sent. */
        const val USED_PART = 0.8
    }
}
