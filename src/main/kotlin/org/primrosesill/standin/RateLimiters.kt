/*
 * Rate limits of the stand-in platform: calls per second from all clients, and bytes per second from the weight store.
 */
package org.primrosesill.standin

import kotlinx.serialization.Serializable

/** Calls received so far. A long poll counts as one call. */
@Serializable
internal data class CallCounts(
    val total: Long,
    val refused: Long,
    val highestPerSecond: Int,
    val byPath: Map<String, Long>,
)

/** Counts calls and rejects those above [limitPerSecond] within each second of the wall clock. Thread-safe. */
internal class CallRateLimiter(private val limitPerSecond: Int) {
    private var currentSecond = Long.MIN_VALUE
    private var callsInSecond = 0
    private var total = 0L
    private var rejected = 0L
    private var highestPerSecond = 0
    private val byPath = sortedMapOf<String, Long>()

    /** Counts a call to [path] and returns whether it is within the limit. */
    @Synchronized
    fun admit(path: String, nowMillis: Long): Boolean {
        if (nowMillis / 1000 != currentSecond) {
            currentSecond = nowMillis / 1000
            callsInSecond = 0
        }
        callsInSecond++
        total++
        highestPerSecond = maxOf(highestPerSecond, callsInSecond)
        byPath.merge(path, 1, Long::plus)
        if (callsInSecond > limitPerSecond) rejected++
        return callsInSecond <= limitPerSecond
    }

    @Synchronized
    fun counts(): CallCounts = CallCounts(total, rejected, highestPerSecond, byPath.toMap())
}

/** Divides [bytesPerSecond] among all transfers. Thread-safe. */
internal class BandwidthLimiter(private val bytesPerSecond: Long) {
    private var availableAtMicros = 0L

    /** Reserves [bytes] and returns the delay in milliseconds before they may be sent. */
    @Synchronized
    fun reserve(bytes: Int, nowMillis: Long): Long {
        val startMicros = maxOf(availableAtMicros, nowMillis * 1000)
        availableAtMicros = startMicros + bytes * 1_000_000L / bytesPerSecond
        return availableAtMicros / 1000 - nowMillis
    }
}
