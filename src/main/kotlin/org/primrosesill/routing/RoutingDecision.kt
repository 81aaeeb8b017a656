/*
 * One routing decision: the candidates of a pool with capacity, ranked for one key.
 *
 * The counts of other routers are up to a second or two old. If every router filled an upstream up to the load bound by
 * such counts, all of them would use the same remaining capacity. Therefore the capacity just below the bound is
 * available only to a fraction of the keys, which decreases with the remaining capacity. Whether a key is admitted
 * depends on key and upstream alone, so that all routers send the same chats to other upstreams and these chats find
 * their cache there again.
 */
package org.primrosesill.routing

import org.primrosesill.model.UpstreamId

/**
 * Fraction of the load bound, counted from the bound down, within which a decreasing fraction of keys is admitted. A
 * higher value lowers the load skew and reduces cache reuse: docs/decisions/routing.md has the measurements.
 */
private const val PARTIAL_ADMISSION_FRACTION = 0.1

private const val FRACTION_BITS = 32
private const val FRACTION_MASK = (1L shl FRACTION_BITS) - 1
private const val FRACTION_UNIT = 1.0 / (1L shl FRACTION_BITS)

/** Returns candidates for [key] one after the other. Not thread-safe; used for one request. */
internal class RoutingDecision(
    private val candidates: CandidateSet,
    private val key: Long,
    private val excluded: Set<UpstreamId>,
    private val nowMillis: Long,
) {
    private var lastReturned = -1
    private var returned: BooleanArray? = null

    /** Returns the index of the next candidate, or -1 when none is left. */
    fun next(): Int {
        if (lastReturned >= 0) markReturned(lastReturned)
        val bound = candidates.bound(nowMillis)
        var best = -1
        var bestScore = Long.MIN_VALUE
        for (index in 0 until candidates.size) {
            val score = scoreOf(key, candidates.hashes[index])
            // The score is compared first, so that loads are read for only a few candidates.
            if (score <= bestScore && best >= 0) continue
            if (!isAvailable(index) || !hasCapacity(index, score, bound)) continue
            best = index
            bestScore = score
        }
        lastReturned = if (best >= 0) best else leastLoaded()
        return lastReturned
    }

    /** Excludes a candidate that was returned once from later results. */
    private fun markReturned(index: Int) {
        val returnedMarks = returned ?: BooleanArray(candidates.size).also { returned = it }
        returnedMarks[index] = true
    }

    private fun hasCapacity(index: Int, score: Long, bound: Double): Boolean {
        val load = candidates.load(index)
        if (candidates.isCold(index, nowMillis)) return load < candidates.coldConcurrencyLimit(index, nowMillis)
        val room = maxOf(1.0, bound * candidates.slowStartFactors[index]) - load
        val partialAdmissionRoom = bound * PARTIAL_ADMISSION_FRACTION
        // The high bits of the score determine the rank; the low bits are independent of it.
        return room >= partialAdmissionRoom ||
            (room > 0 && (score and FRACTION_MASK) * FRACTION_UNIT < room / partialAdmissionRoom)
    }

    private fun isAvailable(index: Int): Boolean =
        returned?.get(index) != true &&
            !candidates.counters[index].isCircuitOpen(nowMillis) &&
            (excluded.isEmpty() || candidates.views[index].id !in excluded)

    /** Returns the least loaded warm candidate if none has capacity for the key; queueing is better than a refusal. */
    private fun leastLoaded(): Int {
        var best = -1
        var bestLoad = Double.MAX_VALUE
        for (index in 0 until candidates.size) {
            if (candidates.isCold(index, nowMillis) || !isAvailable(index)) continue
            // The key breaks ties between upstreams of equal load, so that routers do not all choose the same one.
            val load =
                candidates.estimatedLoad(index) +
                    (scoreOf(key, candidates.hashes[index]) and FRACTION_MASK) * FRACTION_UNIT
            if (load < bestLoad) {
                best = index
                bestLoad = load
            }
        }
        return best
    }
}
