/*
 * Decides whether a gateway whose member list has not settled reads the platform or defers to its peers. The seed
 * gateways read it; the others receive the view from them, and read the platform themselves if no view arrives in time.
 *
 * Load pattern: all VMs of a large fleet start at once. Without this policy each gateway, whose member list holds few
 * others, would be a reader and call the platform repeatedly until it has received messages of the others.
 */
package org.primrosesill.gateway

import org.primrosesill.model.RouterId

/**
 * Immutable; the result depends on the arguments only.
 *
 * @param isSeed whether this gateway is a seed of other gateways
 * @param hasSeeds whether this gateway has seeds other than itself
 * @param firstStart whether the whole system starts for the first time, so that no caller waits for this gateway yet
 */
internal class StartupReadPolicy(
    self: RouterId,
    private val isSeed: Boolean,
    private val hasSeeds: Boolean,
    private val firstStart: Boolean,
    private val startedAtMillis: Long,
) {
    /** Staggers the calls to the platform of gateways that receive nothing from peers. */
    private val staggerMillis = Math.floorMod(self.value.hashCode(), STAGGER_STEPS) * STAGGER_MILLIS

    /** Returns whether this gateway waits for its peers. [ageMillis] is the age of its view, or null if it has none. */
    fun defersToPeers(ageMillis: Long?, nowMillis: Long): Boolean =
        when {
            isSeed || !hasSeeds -> false
            ageMillis == null -> firstStart && nowMillis - startedAtMillis < FIRST_VIEW_TIMEOUT_MILLIS + staggerMillis
            else -> ageMillis < LARGE_FLEET_AGE_MILLIS + staggerMillis
        }

    private companion object {
        /** Several gossip rounds, within which the seeds obtain and relay a view. */
        const val FIRST_VIEW_TIMEOUT_MILLIS = 1_500L
        const val STAGGER_STEPS = 16
        const val STAGGER_MILLIS = 50L
    }
}
