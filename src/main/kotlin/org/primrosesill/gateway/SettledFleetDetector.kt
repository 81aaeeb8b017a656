/*
 * Detects whether the member list of a gateway has settled, so that the gateway may use its share of fleet-wide
 * budgets. A gateway that has just started, or that resumes after a pause in which it received nothing, would otherwise
 * also use the shares of gateways that are missing from its list.
 */
package org.primrosesill.gateway

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class SettledFleetDetector(startedAtMillis: Long) {
    private var observedSinceMillis = startedAtMillis
    private var lastTickMillis = startedAtMillis
    private var lastJoinMillis = startedAtMillis

    /** Whether the member list is complete as far as can be detected. */
    var isSettled = false
        private set

    /** Records that a gateway has become a member. */
    fun memberJoined(nowMillis: Long) {
        lastJoinMillis = nowMillis
    }

    /** Updates [isSettled]. Called at a fixed interval, with whether all seeds have sent heartbeats. */
    fun tick(nowMillis: Long, allSeedsSeen: Boolean) {
        if (nowMillis - lastTickMillis > MAXIMUM_TICK_GAP_MILLIS) restart(nowMillis)
        lastTickMillis = nowMillis
        val isQuiet = allSeedsSeen && nowMillis - maxOf(lastJoinMillis, observedSinceMillis) >= QUIET_MILLIS
        if (isQuiet || nowMillis - observedSinceMillis > MAXIMUM_SETTLING_MILLIS) isSettled = true
    }

    private fun restart(nowMillis: Long) {
        isSettled = false
        observedSinceMillis = nowMillis
    }

    private companion object {
        /** Several gossip rounds, after which heartbeats of all gateways have arrived. */
        const val MAXIMUM_SETTLING_MILLIS = 3_000L

        /** Two gossip rounds without a new member. */
        const val QUIET_MILLIS = 800L

        /** A process that misses several ticks was suspended or got no CPU time. */
        const val MAXIMUM_TICK_GAP_MILLIS = 2_000L
    }
}
