/*
 * How many requests may be sent to a second upstream. All routers share one bound for each pool: a fraction of the
 * requests for it in a sliding window, and a fixed number beside. A router spends the fraction of its own requests, and
 * its part of the fixed number, so that the sum over all routers stays within the bound.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.PoolId
import org.primrosesill.placement.FleetMembers

/**
 * The bound for the whole fleet.
 *
 * @property ratio sends beyond the first, as a fraction of the requests
 * @property windowMillis length of the sliding window
 * @property fixed further sends in each window
 */
public data class RetryBound(val ratio: Double, val windowMillis: Long, val fixed: Int)

/** Owned by the traffic thread. Times are milliseconds of a steady clock. */
public class RetryAllowance(
    private val bound: () -> RetryBound,
    private val members: () -> FleetMembers,
    private val nowMillis: () -> Long,
) {
    private val pools = HashMap<PoolId, Window>()

    /** Counts a request for [pool]. */
    public fun recordRequest(pool: PoolId) {
        window(pool).requests.add(nowMillis())
    }

    /** Takes one send beyond the first from the allowance of [pool], or returns false when it is used up. */
    public fun tryTake(pool: PoolId): Boolean {
        val window = window(pool)
        val now = nowMillis()
        window.requests.dropBefore(now - bound().windowMillis)
        window.sends.dropBefore(now - bound().windowMillis)
        if (window.sends.size + 1 > bound().ratio * RATIO_PART * window.requests.size + fixedPart()) return false
        window.sends.add(now)
        return true
    }

    /** Half is held back for sends of routers that ended lately, whose successors know nothing of them. */
    private fun fixedPart(): Double {
        val fleet = members()
        return if (fleet.settled) bound().fixed * FIXED_PART / (fleet.others.size + 1) else 0.0
    }

    private fun window(pool: PoolId) = pools.getOrPut(pool) { Window() }

    private class Window {
        val requests = Instants()
        val sends = Instants()
    }

    private companion object {
        const val FIXED_PART = 0.5
        const val RATIO_PART = 0.9
    }
}

/** Instants in order. */
private class Instants {
    private val instants = ArrayDeque<Long>()

    val size: Int get() = instants.size

    fun add(instant: Long) = instants.addLast(instant)

    fun dropBefore(earliest: Long) {
        while (instants.isNotEmpty() && instants.first() < earliest) instants.removeFirst()
    }
}
