/*
 * Which gateways watch the platform: one in each zone, and further ones as soon as the views get old. All others hear of
 * changes from them, so that the calls to the platform do not grow with the fleet.
 */
package org.primrosesill.gateway

import org.primrosesill.configuration.ReaderElection
import org.primrosesill.exchange.SMALL_FLEET
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState

/** Fewest gateways that watch, so that the loss of two leaves one. */
private const val MINIMUM_READERS = 3

/**
 * Age of the views at which the first of the other gateways starts to watch, and at which the last one has followed. An
 * upstream that leaves must get nothing new after 2 s, a question to the platform included.
 */
private const val MAXIMUM_AGE_MILLIS = 1_200L
private const val LAST_READER_MILLIS = 300L
private const val NEXT_READER_MILLIS = 60L

/** A gateway that knows of a change which it cannot get from its peers for this time asks the platform. */
private const val BEHIND_MILLIS = 1_000L

/** In a large fleet evidence takes longer to get around, and news arrives on many ways. */
internal const val LARGE_FLEET_AGE_MILLIS = 1_800L
private const val LARGE_FLEET_LAST_READER_MILLIS = 900L

/**
 * Returns whether [self] watches the platform. Pure.
 *
 * @param live all gateways that are alive, with [self]
 * @param ageMillis how long ago the view of [self] was the newest one, or null when that was never seen
 * @param behindMillis how long [self] has known of a revision that it lacks, or 0
 */
internal fun readsPlatform(self: Member, live: List<Member>, ageMillis: Long?, behindMillis: Long = 0): Boolean {
    if (ageMillis == null || behindMillis > BEHIND_MILLIS) return true
    // A gateway that is leaving may be gone before others notice.
    val staying = live.filter { it.state == MemberState.LIVE }
    val zones = staying.map { it.availabilityZone }.distinct().size
    val rank = readingOrder(staying).indexOf(self).takeIf { it >= 0 } ?: live.size
    return rank < maxOf(zones, MINIMUM_READERS) || ageMillis > patience(rank, live.size)
}

private fun patience(rank: Int, fleetSize: Int): Long {
    val turn = rank * NEXT_READER_MILLIS
    return if (fleetSize <= SMALL_FLEET) {
        MAXIMUM_AGE_MILLIS + turn.coerceAtMost(LAST_READER_MILLIS)
    } else {
        LARGE_FLEET_AGE_MILLIS + turn.coerceAtMost(LARGE_FLEET_LAST_READER_MILLIS)
    }
}

/** The first of each zone, then the others. */
private fun readingOrder(live: List<Member>): List<Member> {
    val byRouter = live.associateBy { it.router }
    val first =
        live
            .groupBy { it.availabilityZone }
            .toSortedMap(compareBy { it.value })
            .map { (zone, members) ->
                byRouter.getValue(ReaderElection.readersOf(zone, members.map { it.router }).first())
            }
    return first + (live - first.toSet()).sortedBy { it.router.value }
}
