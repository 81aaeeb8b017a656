/*
 * Whether a gateway that does not know its fleet yet asks the platform, or leaves that to others. The gateways from which
 * all others start ask it; the others hear from them, and ask for themselves when they do not.
 *
 * Load pattern: all VMs of a large fleet start at once. Each of them would take itself for one of a few readers, and call the
 * platform again and again until it has heard of the others.
 */
package org.primrosesill.gateway

import org.primrosesill.model.RouterId

/**
 * Pure.
 *
 * @param isSeed whether others start from this gateway
 * @param hasSeeds whether there are gateways to start from
 * @param firstStart whether the whole system starts, so that no caller waits for this gateway yet
 */
internal class StartDuty(
    self: RouterId,
    private val isSeed: Boolean,
    private val hasSeeds: Boolean,
    private val firstStart: Boolean,
    private val startedAtMillis: Long,
) {
    /** Gateways that hear nothing do not all ask at the same moment. */
    private val turnMillis = Math.floorMod(self.value.hashCode(), TURNS) * TURN_MILLIS

    /** Whether others are asked rather than the platform; the own view is [ageMillis] old, or null when there is none. */
    fun leavesItToOthers(ageMillis: Long?, nowMillis: Long): Boolean =
        when {
            isSeed || !hasSeeds -> false
            ageMillis == null -> firstStart && nowMillis - startedAtMillis < FIRST_VIEW_MILLIS + turnMillis
            else -> ageMillis < LARGE_FLEET_AGE_MILLIS + turnMillis
        }

    private companion object {
        /** Some rounds of the exchange, in which the gateways to start from have the view themselves. */
        const val FIRST_VIEW_MILLIS = 1_500L
        const val TURNS = 16
        const val TURN_MILLIS = 50L
    }
}
