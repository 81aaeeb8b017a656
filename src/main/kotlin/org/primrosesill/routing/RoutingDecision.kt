/*
 * One routing decision: the candidates of a pool in the ranking of one key, limited to those with room.
 */
package org.primrosesill.routing

import org.primrosesill.model.UpstreamId

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
        val bound = bound()
        var best = -1
        var bestScore = Long.MIN_VALUE
        for (index in 0 until candidates.size) {
            if (!mayTake(index, bound)) continue
            val score = scoreOf(key, candidates.hashes[index])
            if (best < 0 || score > bestScore) {
                best = index
                bestScore = score
            }
        }
        last = best
        return best
    }

    /** A candidate that was returned once is not returned again. */
    private fun markReturned(index: Int) {
        val marks = returned ?: BooleanArray(candidates.size).also { returned = it }
        marks[index] = true
    }

    private fun bound(): Int {
        var total = 0
        var count = 0
        for (index in 0 until candidates.size) {
            if (candidates.isCold(index, nowMillis)) continue
            total += candidates.load(index)
            count++
        }
        return loadBound(total + 1, count, candidates.loadMultiple)
    }

    private fun mayTake(index: Int, bound: Int): Boolean {
        if (returned?.get(index) == true || candidates.counters[index].isBlocked(nowMillis)) return false
        if (excluded.isNotEmpty() && candidates.views[index].id in excluded) return false
        val limit = if (candidates.isCold(index, nowMillis)) candidates.bears(index, nowMillis) else bound
        return candidates.load(index) < limit
    }
}
