/*
 * Limits of the stand-in platform: calls a second over all readers, and bytes a second of the weight store.
 */
package org.primrosesill.standin

import kotlinx.serialization.Serializable

/** Calls seen so far. A waiting watch counts as one call. */
@Serializable
internal data class CallCounts(
    val total: Long,
    val refused: Long,
    val highestPerSecond: Int,
    val byPath: Map<String, Long>,
)

/** Counts calls and refuses those over [limitPerSecond] in one second of the clock. Safe to call from any thread. */
internal class CallLimit(private val limitPerSecond: Int) {
    private var second = Long.MIN_VALUE
    private var inSecond = 0
    private var total = 0L
    private var refused = 0L
    private var highest = 0
    private val byPath = sortedMapOf<String, Long>()

    @Synchronized
    fun admit(path: String, nowMillis: Long): Boolean {
        if (nowMillis / 1000 != second) {
            second = nowMillis / 1000
            inSecond = 0
        }
        inSecond++
        total++
        highest = maxOf(highest, inSecond)
        byPath.merge(path, 1, Long::plus)
        if (inSecond > limitPerSecond) refused++
        return inSecond <= limitPerSecond
    }

    @Synchronized
    fun counts(): CallCounts = CallCounts(total, refused, highest, byPath.toMap())
}

/** Shares [bytesPerSecond] over all transfers. Safe to call from any thread. */
internal class TransferLimit(private val bytesPerSecond: Long) {
    private var freeAtMicros = 0L

    /** Reserves [bytes] and returns the milliseconds to wait before they are sent. */
    @Synchronized
    fun reserve(bytes: Int, nowMillis: Long): Long {
        val start = maxOf(freeAtMicros, nowMillis * 1000)
        freeAtMicros = start + bytes * 1_000_000L / bytesPerSecond
        return freeAtMicros / 1000 - nowMillis
    }
}
