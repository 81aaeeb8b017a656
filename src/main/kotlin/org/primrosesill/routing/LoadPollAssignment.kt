/*
 * Assigns upstreams to the routers that poll their load. Two routers of its zone poll each upstream, so that the loss
 * of one router interrupts no reports and the number of polls does not grow with the number of routers.
 */
package org.primrosesill.routing

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

private const val POLLERS_PER_UPSTREAM = 2

/**
 * Returns the upstreams that [selfRouter] polls.
 *
 * @param routers all live routers, [selfRouter] included, with their zones
 * @param upstreams all upstreams with their zones
 */
public fun loadPollAssignment(
    selfRouter: RouterId,
    routers: Map<RouterId, AvailabilityZoneId>,
    upstreams: Map<UpstreamId, AvailabilityZoneId>,
): Set<UpstreamId> {
    val hashes = routers.keys.associateWith { hashOf(it.value) }
    val byZone = routers.keys.groupBy { routers.getValue(it) }
    return upstreams
        .filterTo(LinkedHashMap()) { (upstream, zone) ->
            selfRouter in pollers(upstream, byZone[zone].orEmpty(), hashes)
        }.keys
}

/** Returns the pollers of [upstream]; routers of other zones fill up a zone with fewer routers than pollers. */
private fun pollers(upstream: UpstreamId, local: List<RouterId>, hashes: Map<RouterId, Long>): List<RouterId> {
    val key = hashOf(upstream.value)
    val localPollers = highestRanked(key, local, POLLERS_PER_UPSTREAM, hashes::getValue)
    if (localPollers.size == POLLERS_PER_UPSTREAM) return localPollers
    val remote = hashes.keys.filter { it !in localPollers }
    return localPollers + highestRanked(key, remote, POLLERS_PER_UPSTREAM - localPollers.size, hashes::getValue)
}
