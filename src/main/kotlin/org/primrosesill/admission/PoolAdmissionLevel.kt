/*
 * How much of the requests to a pool that is short of capacity a gateway refuses. A controller with a proportional and an
 * integral part keeps the queues at half of the latency target of the most urgent class, so that what is admitted is served.
 *
 * Load pattern: a load of a multiple of the capacity that lasts for seconds. All gateways react to the same loads at the same
 * time, 0.3 to 2.4 s late, so that a stronger reaction would alternate between too many and too few requests.
 */
package org.primrosesill.admission

import kotlin.math.exp

/** Confined to the traffic thread. */
internal class PoolAdmissionLevel {
    private var integral = 0.0
    private var updatedAtMillis: Long? = null
    private var lastLongAtMillis: Long? = null

    /** Whether the pool is short of capacity: its queues exceed the latency target, or did so within the last seconds. */
    val isShort: Boolean get() = lastLongAtMillis != null

    /** How far to reduce the classes: each whole number stands for one class, beginning with the least urgent one. */
    var value = 0.0
        private set

    /**
     * Updates the level.
     *
     * @param queueMillis expected time in the queue of an engine, 0 if there is free capacity
     * @param maximum the level at which all classes are reduced that may be
     * @return whether the pool is short of capacity, if that has changed, otherwise null
     */
    fun update(queueMillis: Double, targetMillis: Double, maximum: Int, nowMillis: Long): Boolean? {
        val wasShort = isShort
        if (queueMillis > targetMillis) lastLongAtMillis = nowMillis
        val elapsed = (nowMillis - (updatedAtMillis ?: nowMillis)).coerceIn(0, MAXIMUM_STEP_MILLIS) / 1_000.0
        updatedAtMillis = nowMillis
        val error = (queueMillis - targetMillis * TARGET_FRACTION) / maxOf(targetMillis, MINIMUM_SCALE_MILLIS)
        val kept = integral * exp(-elapsed / LEAK_SECONDS)
        integral = if (isShort) (kept + error * INTEGRAL_GAIN * elapsed).coerceIn(0.0, maximum.toDouble()) else 0.0
        value = if (isShort) (integral + error * PROPORTIONAL_GAIN).coerceIn(0.0, maximum.toDouble()) else 0.0
        val last = lastLongAtMillis
        if (last != null && value == 0.0 && nowMillis - last >= SHORTAGE_END_MILLIS) lastLongAtMillis = null
        return isShort.takeIf { it != wasShort }
    }

    private companion object {
        /** Leaves the other half of the target for the prefill, and for the requests that arrive before the next report. */
        const val TARGET_FRACTION = 0.5

        /** Smallest unit of the error, about the age of a report: a queue changes by that much before it is known. */
        const val MINIMUM_SCALE_MILLIS = 1_000.0
        const val PROPORTIONAL_GAIN = 1.0

        /** Per second. */
        const val INTEGRAL_GAIN = 0.5

        /** The integral decays, so that a gateway that has just started comes to the same level as the others. */
        const val LEAK_SECONDS = 10.0
        const val MAXIMUM_STEP_MILLIS = 500L

        /** Gossiped loads are up to 2.4 s old, so that a shorter pause says nothing. */
        const val SHORTAGE_END_MILLIS = 2_400L
    }
}
