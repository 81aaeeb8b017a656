/*
 * One routing decision: the candidates of a pool in the ranking of one key, limited to those with room.
 *
 * The counts of other routers are up to a second or two old. If every router filled an upstream up to the bound by such
 * counts, all of them would use the same last place. Therefore the last places below the bound are given only to a part
 * of the keys, smaller the less room is left. The part depends on key and upstream alone, so that all routers send the
 * same chats elsewhere and these chats find their cache there again.
 */
package org.primrosesill.routing

import org.primrosesill.model.UpstreamId

/**
 * Part of the bound over which room is given out to ever fewer keys. A wider part lowers the skew and costs reuse of
 * caches: docs/decisions/routing.md has the figures.
 */
private const val THINNED_PART = 0.1

private const val FRACTION_BITS = 32
private const val FRACTION_MASK = (1L shl FRACTION_BITS) - 1
private const val FRACTION_UNIT = 1.0 / (1L shl FRACTION_BITS)

/** Returns candidates of [key] one after the other. Not thread-safe; lives for one request. */
internal class RoutingDecision(
    private val candidates: CandidateSet,
    private val key: Long,
    private val excluded: Set<UpstreamId>,
    private val nowMillis: Long,
) {
    private var last = -1
    private var returned: BooleanArray? = null

    /** Returns the index of the next candidate, or -1 when none is left. */
    fun next(): Int {
        if (last >= 0) markReturned(last)
        val bound = candidates.bound(nowMillis)
        var best = -1
        var bestScore = Long.MIN_VALUE
        for (index in 0 until candidates.size) {
            val score = scoreOf(key, candidates.hashes[index])
            // The rank is compared first, so that loads are read for only a few candidates.
            if (score <= bestScore && best >= 0) continue
            if (!isOpen(index) || !hasRoom(index, score, bound)) continue
            best = index
            bestScore = score
        }
        last = if (best >= 0) best else leastLoaded()
        return last
    }

    /** A candidate that was returned once is not returned again. */
    private fun markReturned(index: Int) {
        val marks = returned ?: BooleanArray(candidates.size).also { returned = it }
        marks[index] = true
    }

    private fun hasRoom(index: Int, score: Long, bound: Double): Boolean {
        val load = candidates.load(index)
        if (candidates.isCold(index, nowMillis)) return load < candidates.bears(index, nowMillis)
        val room = maxOf(1.0, bound * candidates.rampShares[index]) - load
        val thinned = bound * THINNED_PART
        // The high bits of the score rank it; the low bits are independent of the rank.
        return room >= thinned || (room > 0 && (score and FRACTION_MASK) * FRACTION_UNIT < room / thinned)
    }

    private fun isOpen(index: Int): Boolean =
        returned?.get(index) != true &&
            !candidates.counters[index].isBlocked(nowMillis) &&
            (excluded.isEmpty() || candidates.views[index].id !in excluded)

    /** When no upstream has room for the key, the least loaded warm one takes it; a queue there beats a refusal. */
    private fun leastLoaded(): Int {
        var best = -1
        var bestLoad = Double.MAX_VALUE
        for (index in 0 until candidates.size) {
            if (candidates.isCold(index, nowMillis) || !isOpen(index)) continue
            // Upstreams of equal load are told apart by the key, so that routers do not all choose the same one.
            val load =
                candidates.typicalLoad(index) +
                    (scoreOf(key, candidates.hashes[index]) and FRACTION_MASK) * FRACTION_UNIT
            if (load < bestLoad) {
                best = index
                bestLoad = load
            }
        }
        return best
    }
}
