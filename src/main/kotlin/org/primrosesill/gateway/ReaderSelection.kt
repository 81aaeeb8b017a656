/*
 * Selects the gateways that read the platform: one in each zone, and more of them once views become stale. All others
 * receive changes from the readers, so that the number of calls to the platform does not grow with the fleet.
 */
package org.primrosesill.gateway

import org.primrosesill.configuration.ReaderElection
import org.primrosesill.exchange.SMALL_FLEET_GATEWAYS
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState

/** Minimum number of readers, so that one remains after the loss of two. */
private const val MINIMUM_READERS = 3

/**
 * Age of the view at which the first additional gateway starts to read; the others follow one by one, the last one at
 * most [MAXIMUM_STAGGER_MILLIS] later. An upstream that leaves must receive no new request after 2 s, which includes
 * the time of a call to the platform.
 */
private const val MAXIMUM_AGE_MILLIS = 1_200L
private const val MAXIMUM_STAGGER_MILLIS = 300L
private const val STAGGER_MILLIS = 60L

/** A gateway that has been behind for longer, as its peers do not deliver the changes, reads the platform. */
private const val MAXIMUM_BEHIND_MILLIS = 1_000L

/** In a large fleet confirmations of a view take longer to spread, and changes arrive over many paths. */
internal const val LARGE_FLEET_AGE_MILLIS = 1_800L
private const val LARGE_FLEET_MAXIMUM_STAGGER_MILLIS = 900L

/**
 * Returns whether [self] reads the platform. Pure function.
 *
 * @param live all live gateways, including [self]
 * @param ageMillis time since the view of [self] was confirmed as the newest one, or null if it never was
 * @param behindMillis time for which [self] has been behind the newest revision that peers report, or 0
 */
internal fun readsPlatform(self: Member, live: List<Member>, ageMillis: Long?, behindMillis: Long = 0): Boolean {
    if (ageMillis == null || behindMillis > MAXIMUM_BEHIND_MILLIS) return true
    // A leaving gateway may stop before its peers detect that.
    val remaining = live.filter { it.state == MemberState.LIVE }
    val zones = remaining.map { it.availabilityZone }.distinct().size
    val rank = readerOrder(remaining).indexOf(self).takeIf { it >= 0 } ?: live.size
    return rank < maxOf(zones, MINIMUM_READERS) || ageMillis > maximumAgeMillis(rank, live.size)
}

/** Returns the view age beyond which the gateway at [rank] reads, staggered by rank. */
private fun maximumAgeMillis(rank: Int, fleetSize: Int): Long {
    val stagger = rank * STAGGER_MILLIS
    return if (fleetSize <= SMALL_FLEET_GATEWAYS) {
        MAXIMUM_AGE_MILLIS + stagger.coerceAtMost(MAXIMUM_STAGGER_MILLIS)
    } else {
        LARGE_FLEET_AGE_MILLIS + stagger.coerceAtMost(LARGE_FLEET_MAXIMUM_STAGGER_MILLIS)
    }
}

/** Returns the elected reader of each zone, followed by the other gateways. */
private fun readerOrder(live: List<Member>): List<Member> {
    val byRouter = live.associateBy { it.router }
    val zoneReaders =
        live
            .groupBy { it.availabilityZone }
            .toSortedMap(compareBy { it.value })
            .map { (zone, members) ->
                byRouter.getValue(ReaderElection.readersOf(zone, members.map { it.router }).first())
            }
    return zoneReaders + (live - zoneReaders.toSet()).sortedBy { it.router.value }
}
