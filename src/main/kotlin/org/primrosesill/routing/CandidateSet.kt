/*
 * The eligible upstreams of one pool, stored in parallel arrays so that a decision allocates nothing per candidate and
 * reads memory sequentially. Built once for each snapshot.
 */
package org.primrosesill.routing

import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicInteger

/** The total load is summed again when the requests started since the last sum exceed the total divided by this. */
private const val RECOUNT_DIVISOR = 64

/** A reported load above this multiple of the counts of routers plus this margin shows that counts are missing. */
private const val INCOMPLETE_FACTOR = 2
private const val INCOMPLETE_MARGIN = 4

/** Pools of up to this number of candidates are summed in each decision. */
private const val SMALL_POOL = 64

internal class CandidateSet(pool: PoolView, countersOf: (UpstreamView) -> UpstreamCounters) {
    private val eligible = pool.upstreams.filter { it.ineligibleReason == null && it.state != UpstreamState.LEAVING }
    private val ineligible = pool.upstreams.size - eligible.size
    val size: Int = eligible.size
    val loadMultiple: Double = pool.settings.loadMultiple
    val views: Array<UpstreamView> = eligible.toTypedArray()
    val counters: Array<UpstreamCounters> = Array(size) { countersOf(views[it]) }
    val hashes: LongArray = LongArray(size) { hashOf(views[it].id.value) }
    private val coldInSnapshot: BooleanArray = BooleanArray(size) { views[it].state == UpstreamState.COLD }
    val slowStartFactors: DoubleArray = DoubleArray(size) { views[it].slowStartFactor }
    private val othersInFlight: IntArray = IntArray(size) { views[it].othersInFlight }
    private val reported: IntArray = IntArray(size) { views[it].reportedLoad }

    private val startedRequests = AtomicInteger()

    @Volatile
    private var cachedTotal: PoolTotal? = null

    /** Returns the load of a candidate: the larger of the load that it reported and the requests that routers count. */
    fun load(index: Int): Int = maxOf(reported[index], inFlight(index))

    /**
     * Returns the load of a candidate for sums and comparisons, without the upward bias of the maximum of two noisy
     * values: the counts of routers, unless the report is so much higher that some routers' counts must be missing.
     */
    fun estimatedLoad(index: Int): Int {
        val inFlight = inFlight(index)
        return if (reported[index] > INCOMPLETE_FACTOR * inFlight + INCOMPLETE_MARGIN) reported[index] else inFlight
    }

    private fun inFlight(index: Int): Int = othersInFlight[index] + counters[index].inFlight.get()

    /**
     * Returns the maximum number of concurrent requests at a warm candidate. In a large pool, reading all loads takes
     * longer than the rest of a decision, so the total is summed again only after this router has started a small
     * fraction of it.
     */
    fun bound(nowMillis: Long): Double {
        val last = cachedTotal
        val startedHere = startedRequests.incrementAndGet()
        if (last != null && startedHere - last.startedBefore <= last.total / RECOUNT_DIVISOR && size > SMALL_POOL) {
            return loadBound(last.total + startedHere - last.startedBefore, last.weights, loadMultiple)
        }
        val fresh = sumLoads(startedHere, nowMillis)
        cachedTotal = fresh
        return loadBound(fresh.total + 1, fresh.weights, loadMultiple)
    }

    /** Returns the number of requests at the warm candidates. */
    fun total(nowMillis: Long): Int = sumLoads(startedRequests.get(), nowMillis).total

    /**
     * Returns the maximum number of concurrent requests at [upstream] when at least [knownTotal] requests are in flight
     * in the pool, or null if it is not a warm candidate.
     */
    fun loadLimit(upstream: UpstreamId, knownTotal: Int, nowMillis: Long): Int? {
        val index = views.indexOfFirst { it.id == upstream }
        if (index < 0 || isCold(index, nowMillis)) return null
        val pool = sumLoads(startedRequests.get(), nowMillis)
        val bound = loadBound(maxOf(pool.total, knownTotal) + 1, pool.weights, loadMultiple)
        return maxOf(1.0, bound * slowStartFactors[index]).toInt()
    }

    /** Sums the warm candidates; those in their slow start count as their fraction of a full share. */
    private fun sumLoads(startedBefore: Int, nowMillis: Long): PoolTotal {
        var total = 0
        var weights = 0.0
        for (index in 0 until size) {
            if (isCold(index, nowMillis)) continue
            total += estimatedLoad(index)
            weights += slowStartFactors[index]
        }
        return PoolTotal(total, maxOf(1.0, weights), startedBefore)
    }

    private class PoolTotal(val total: Int, val weights: Double, val startedBefore: Int)

    /** Returns whether the snapshot or a later response reports the candidate as cold. */
    fun isCold(index: Int, nowMillis: Long): Boolean = coldInSnapshot[index] || counters[index].isCold(nowMillis)

    /** Returns the maximum number of concurrent requests at a cold candidate. */
    fun coldConcurrencyLimit(index: Int, nowMillis: Long): Int =
        if (counters[index].isCold(nowMillis)) {
            counters[index].coldConcurrencyLimit
        } else {
            views[index].coldConcurrencyLimit
        }

    /** Describes why no candidate is available. */
    fun refusal(request: RoutingRequest, nowMillis: Long): String {
        val cold = (0 until size).count { isCold(it, nowMillis) }
        val open = (0 until size).count { counters[it].isCircuitOpen(nowMillis) }
        val tried = request.excluded.size
        return "$ineligible ineligible, $open with an open circuit, $cold cold without a free slot, $tried tried"
    }
}
