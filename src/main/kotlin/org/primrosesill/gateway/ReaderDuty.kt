/*
 * Which gateways watch the platform: one in each zone, and further ones as soon as the views get old. All others hear of
 * changes from them, so that the calls to the platform do not grow with the fleet.
 */
package org.primrosesill.gateway

import org.primrosesill.configuration.ReaderElection
import org.primrosesill.generated.Member

/** Fewest gateways that watch, so that the loss of two leaves one. */
private const val MINIMUM_READERS = 3

/** Age of the views at which the first of the other gateways starts to watch. */
private const val MAXIMUM_AGE_MILLIS = 1_800L

/** The others follow one after the other. */
private const val NEXT_READER_MILLIS = 60L
private const val LAST_READER_MILLIS = 900L

/**
 * Returns whether [self] watches the platform. Pure.
 *
 * @param live all gateways that are alive, with [self]
 * @param ageMillis how long ago the view of [self] was the newest one, or null when that was never seen
 */
internal fun readsPlatform(self: Member, live: List<Member>, ageMillis: Long?): Boolean {
    if (ageMillis == null) return true
    val order = readingOrder(live)
    val zones = live.map { it.availabilityZone }.distinct().size
    val rank = order.indexOf(self)
    val patience = MAXIMUM_AGE_MILLIS + (rank * NEXT_READER_MILLIS).coerceAtMost(LAST_READER_MILLIS)
    return rank < maxOf(zones, MINIMUM_READERS) || ageMillis > patience
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
