/*
 * The retry budget: how many requests may be sent to a second upstream. All routers share one limit for each pool: a
 * fraction of its requests in a sliding window, plus a fixed number. Each router spends the fraction of its own
 * requests and its share of the fixed number, so that the sum over all routers stays within the limit.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.PoolId
import org.primrosesill.placement.FleetMembers

/**
 * The retry limit for the whole fleet.
 *
 * @property ratio retries as a fraction of the requests
 * @property windowMillis length of the sliding window
 * @property fixed additional retries in each window, independent of the number of requests
 */
public data class RetryLimit(val ratio: Double, val windowMillis: Long, val fixed: Int)

/** Confined to the traffic thread. Times are milliseconds of a monotonic clock. */
public class PoolRetryBudget(
    private val limit: () -> RetryLimit,
    private val members: () -> FleetMembers,
    private val nowMillis: () -> Long,
) {
    private val pools = HashMap<PoolId, PoolWindow>()

    /** Counts a request for [pool]. */
    public fun recordRequest(pool: PoolId) {
        window(pool).requests.add(nowMillis())
    }

    /** Withdraws one retry from the budget of [pool], or returns false when the budget is exhausted. */
    public fun tryAcquire(pool: PoolId): Boolean {
        val window = window(pool)
        val now = nowMillis()
        window.requests.dropBefore(now - limit().windowMillis)
        window.retries.dropBefore(now - limit().windowMillis)
        if (window.retries.size + 1 > limit().ratio * RATIO_SHARE * window.requests.size + fixedShare()) return false
        window.retries.add(now)
        return true
    }

    /** Returns the retry that was withdrawn from the budget of [pool] last and was not used. */
    public fun release(pool: PoolId) {
        window(pool).retries.removeLast()
    }

    /**
     * Half of the fixed number is reserved for retries by routers that stopped recently, because the routers that
     * replace them have no record of these retries.
     */
    private fun fixedShare(): Double {
        val fleet = members()
        return if (fleet.isComplete) limit().fixed * FIXED_SHARE / (fleet.others.size + 1) else 0.0
    }

    private fun window(pool: PoolId) = pools.getOrPut(pool) { PoolWindow() }

    private class PoolWindow {
        val requests = TimestampQueue()
        val retries = TimestampQueue()
    }

    private companion object {
        const val FIXED_SHARE = 0.5
        const val RATIO_SHARE = 0.9
    }
}

/** Timestamps in ascending order. */
private class TimestampQueue {
    private val timestamps = ArrayDeque<Long>()

    val size: Int get() = timestamps.size

    fun add(timestamp: Long) = timestamps.addLast(timestamp)

    fun removeLast() {
        timestamps.removeLastOrNull()
    }

    fun dropBefore(earliest: Long) {
        while (timestamps.isNotEmpty() && timestamps.first() < earliest) timestamps.removeFirst()
    }
}
