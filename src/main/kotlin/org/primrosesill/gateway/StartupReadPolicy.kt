/*
 * Decides whether a gateway whose member list has not settled reads the platform or defers to its peers. The seed
 * gateways read it; the others receive the view from them, and read the platform themselves if they do not.
 *
 * Load pattern: all VMs of a large fleet start at once. Each gateway would consider itself one of a few readers, and
 * call the platform repeatedly until it has received messages of the others.
 */
package org.primrosesill.gateway

import org.primrosesill.model.RouterId

/**
 * Immutable; the result depends on the arguments only.
 *
 * @param isSeed whether this gateway is a seed of other gateways
 * @param hasSeeds whether this gateway has seeds other than itself
 * @param firstStart whether the whole system starts, so that no caller waits for this gateway yet
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

    /** Returns whether this gateway waits for its peers; its own view is [ageMillis] old, or null if there is none. */
    fun defersToPeers(ageMillis: Long?, nowMillis: Long): Boolean =
        when {
            isSeed || !hasSeeds -> false
            ageMillis == null -> firstStart && nowMillis - startedAtMillis < FIRST_VIEW_TIMEOUT_MILLIS + staggerMillis
            else -> ageMillis < LARGE_FLEET_AGE_MILLIS + staggerMillis
        }

    private companion object {
        /** Several gossip rounds, within which the seeds have a view themselves. */
        const val FIRST_VIEW_TIMEOUT_MILLIS = 1_500L
        const val STAGGER_STEPS = 16
        const val STAGGER_MILLIS = 50L
    }
}
