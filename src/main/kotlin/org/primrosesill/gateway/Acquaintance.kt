/*
 * Whether a gateway knows its fleet well enough to spend its part of what all share. A gateway that has just started, or wakes
 * from a pause in which it heard nobody, would take a part for granted that belongs to gateways it does not know.
 */
package org.primrosesill.gateway

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class Acquaintance(startedAtMillis: Long) {
    private var sinceMillis = startedAtMillis
    private var lastTickMillis = startedAtMillis
    private var lastJoinMillis = startedAtMillis

    /** Whether the fleet is known. */
    var isSettled = false
        private set

    /** Records that a gateway was heard that was not known. */
    fun joined(nowMillis: Long) {
        lastJoinMillis = nowMillis
    }

    /** Called at a fixed interval; [knowsSeeds] tells whether all gateways to start from were heard. */
    fun tick(nowMillis: Long, knowsSeeds: Boolean) {
        if (nowMillis - lastTickMillis > PAUSE_MILLIS) restart(nowMillis)
        lastTickMillis = nowMillis
        val isQuiet = knowsSeeds && nowMillis - maxOf(lastJoinMillis, sinceMillis) >= QUIET_MILLIS
        if (isQuiet || nowMillis - sinceMillis > SETTLING_MILLIS) isSettled = true
    }

    private fun restart(nowMillis: Long) {
        isSettled = false
        sinceMillis = nowMillis
    }

    private companion object {
        /** Several rounds of the gossip, after which all gateways have been heard. */
        const val SETTLING_MILLIS = 3_000L

        /** Two rounds in which no further gateway was heard of. */
        const val QUIET_MILLIS = 800L

        /** A process that misses several ticks was stopped or starved. */
        const val PAUSE_MILLIS = 2_000L
    }
}
