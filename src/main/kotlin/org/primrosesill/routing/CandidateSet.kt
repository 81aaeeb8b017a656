/*
 * The upstreams of one pool that may take work, laid out in arrays so that a decision allocates nothing and reads
 * memory in order. Built once for each snapshot.
 */
package org.primrosesill.routing

import org.primrosesill.generated.UpstreamState
import java.util.concurrent.atomic.AtomicInteger

/** The total is counted again after this part of it. */
private const val RECOUNT_PART = 64

/** A report over this multiple of the counts, and over them by this margin, shows that counts are missing. */
private const val INCOMPLETE_FACTOR = 2
private const val INCOMPLETE_MARGIN = 4

/** Pools up to this size are counted in each decision. */
private const val SMALL_POOL = 64

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

    private val started = AtomicInteger()

    @Volatile
    private var counted: Count? = null

    /** Requests at a candidate: what it reported, or what routers count when that is more. */
    fun load(index: Int): Int = maxOf(reported[index], inFlight(index))

    /**
     * Requests at a candidate for sums and comparisons, without the upward error of the larger of two noisy values: the
     * counts of routers, unless the report is so much higher that the counts of some routers must be missing.
     */
    fun typicalLoad(index: Int): Int {
        val inFlight = inFlight(index)
        return if (reported[index] > INCOMPLETE_FACTOR * inFlight + INCOMPLETE_MARGIN) reported[index] else inFlight
    }

    private fun inFlight(index: Int): Int = others[index] + counters[index].inFlight.get()

    /**
     * The most requests that a warm candidate may carry. In a large pool, reading all loads takes longer than the rest
     * of a decision, so that the total is counted again only after a small part of it has started here.
     */
    fun bound(nowMillis: Long): Double {
        val held = counted
        val startedHere = started.incrementAndGet()
        if (held != null && startedHere - held.startedBefore <= held.total / RECOUNT_PART && size > SMALL_POOL) {
            return loadBound(held.total + startedHere - held.startedBefore, held.shares, loadMultiple)
        }
        val fresh = count(startedHere, nowMillis)
        counted = fresh
        return loadBound(fresh.total + 1, fresh.shares, loadMultiple)
    }

    /** Counts the warm candidates; those that have just become warm as the part that they may carry. */
    private fun count(startedBefore: Int, nowMillis: Long): Count {
        var total = 0
        var shares = 0.0
        for (index in 0 until size) {
            if (isCold(index, nowMillis)) continue
            total += typicalLoad(index)
            shares += rampShares[index]
        }
        return Count(total, maxOf(1.0, shares), startedBefore)
    }

    private class Count(val total: Int, val shares: Double, val startedBefore: Int)

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
