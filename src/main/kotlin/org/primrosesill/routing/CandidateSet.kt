/*
 * The upstreams of one pool that may take work, laid out in arrays so that a decision allocates nothing and reads
 * memory in order. Built once for each snapshot.
 */
package org.primrosesill.routing

import org.primrosesill.generated.UpstreamState

internal class CandidateSet(pool: PoolView, countersOf: (UpstreamView) -> UpstreamCounters) {
    private val eligible = pool.upstreams.filter { it.blockedBecause == null && it.state != UpstreamState.LEAVING }
    private val blocked = pool.upstreams.size - eligible.size
    val size: Int = eligible.size
    val loadMultiple: Double = pool.settings.loadMultiple
    val views: Array<UpstreamView> = eligible.toTypedArray()
    val counters: Array<UpstreamCounters> = Array(size) { countersOf(views[it]) }
    val hashes: LongArray = LongArray(size) { hashOf(views[it].id.value) }
    private val cold: BooleanArray = BooleanArray(size) { views[it].state == UpstreamState.COLD }
    val rampShares: DoubleArray = DoubleArray(size) { views[it].rampShare }
    private val others: IntArray = IntArray(size) { views[it].othersInFlight }
    private val reported: IntArray = IntArray(size) { views[it].reportedLoad }

    /** Requests at a candidate: what it reported, or what routers count when that is more. */
    fun load(index: Int): Int = maxOf(reported[index], others[index] + counters[index].inFlight.get())

    /** True when the snapshot or an answer since says that the candidate is cold. */
    fun isCold(index: Int, nowMillis: Long): Boolean = cold[index] || counters[index].isCold(nowMillis)

    /** Concurrent requests that a cold candidate bears. */
    fun bears(index: Int, nowMillis: Long): Int =
        if (counters[index].isCold(nowMillis)) counters[index].coldBears else views[index].bears

    /** Says why no candidate was found. */
    fun refusal(request: RoutingRequest, nowMillis: Long): String {
        val cold = (0 until size).count { isCold(it, nowMillis) }
        val failing = (0 until size).count { counters[it].isBlocked(nowMillis) }
        val tried = request.excluded.size
        return "$blocked blocked, $failing failing, $cold cold without a free slot, $tried tried before"
    }
}
