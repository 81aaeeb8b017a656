/*
 * Who decides on a claim. The claimant and each voter compute the electorate from their own view of the members; the
 * claimant needs its share of the union, so that a router which only one of them knows still counts.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.Member
import org.primrosesill.model.ClaimResource

/** The routers that may have been alive at an instant or later, as the member table lists them. */
public fun interface KnownRouters {
    /** Returns the routers, or null while the router has no source that names the others. Safe from any thread. */
    public fun aliveAt(instantMillis: Long): List<Member>?
}

/** Computes who counts for a claim. */
internal class Electorate(private val known: KnownRouters, private val settings: ClaimSettings) {
    /**
     * Returns the routers that count for a claim of [resource], whether they can vote or not.
     *
     * For a key with a creation time these are the only routers that can ever vote on it. A router that is too young is
     * left out, since it abstains for as long as it lives. Without a creation time a router that is too young today
     * votes later, so that it has to count from the start.
     */
    fun of(resource: ClaimResource, kind: ClaimKind, createdAtMillis: Long, nowMillis: Long): List<Member>? =
        when (kind) {
            ClaimKind.SLOT -> slot(resource, nowMillis)

            ClaimKind.KEY ->
                if (createdAtMillis > 0) {
                    known
                        .aliveAt(createdAtMillis)
                        ?.filter { it.startedAtMillis < createdAtMillis - settings.startMarginMillis }
                } else {
                    known.aliveAt(nowMillis - settings.longestRetentionMillis - settings.startMarginMillis)
                }
        }

    /** All routers that may have held a slot since the longest time a slot is held. */
    fun fleet(nowMillis: Long): List<Member>? =
        known.aliveAt(nowMillis - settings.longestSlotMillis - settings.startMarginMillis)

    /** All routers that may hold a slot at present. A router that surely ended holds none: its connections are closed. */
    fun fleetAtPresent(nowMillis: Long): List<Member>? = known.aliveAt(nowMillis)

    private fun slot(resource: ClaimResource, nowMillis: Long): List<Member>? {
        val fleet = fleet(nowMillis) ?: return null
        val zone = slotZone(resource)
        val unheard = fleet.filter { it.availabilityZone.value.isEmpty() }
        val inZone = fleet.filter { it.availabilityZone == zone }
        return if (inZone.isEmpty()) fleet else inZone + unheard
    }
}

/**
 * The votes needed out of [size] known routers: more than three quarters. Two disjoint sets of voters of one key would
 * need claimants whose unknown shares of the fleet add up to more than two thirds, one third on each side. With more
 * than two thirds of the votes one quarter on each side would be enough.
 */
internal fun votesNeeded(size: Int): Int = size * 3 / 4 + 1
