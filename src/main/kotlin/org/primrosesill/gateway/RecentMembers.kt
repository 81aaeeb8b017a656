/*
 * Records which gateways, and which zones, have recently sent a new heartbeat.
 */
package org.primrosesill.gateway

import org.primrosesill.generated.Member
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class RecentMembers(private val ownZone: AvailabilityZoneId) {
    private val lastSeenMillis = HashMap<RouterId, Long>()
    private val heartbeats = HashMap<RouterId, Long>()
    private val zonesLastSeenMillis = HashMap<AvailabilityZoneId, Long>()
    private val addresses = HashSet<String>()

    /**
     * Records [member], which it sent itself or another gateway relayed, and returns whether it is new. Only a higher
     * heartbeat shows that it is alive.
     */
    fun observe(member: Member, nowMillis: Long): Boolean {
        val before = heartbeats[member.router]
        if (before != null && before >= member.heartbeat) return false
        heartbeats[member.router] = member.heartbeat
        lastSeenMillis[member.router] = nowMillis
        addresses += member.address
        zonesLastSeenMillis[member.availabilityZone] = nowMillis
        return before == null
    }

    /** Returns the gateways that may be alive. A partitioned one is included, as it still uses its share of budgets. */
    fun recentlySeen(nowMillis: Long): Set<RouterId> {
        lastSeenMillis.values.removeIf { nowMillis - it > MEMBER_RETENTION_MILLIS }
        heartbeats.keys.retainAll(lastSeenMillis.keys)
        return lastSeenMillis.keys.toSet()
    }

    /** Returns whether heartbeats came from all addresses in [expected]. */
    fun hasSeenAll(expected: Set<String>): Boolean = addresses.containsAll(expected)

    /** Returns the other zones whose gateways sent heartbeats before, but none recently. */
    fun silentZones(nowMillis: Long): Set<AvailabilityZoneId> =
        zonesLastSeenMillis
            .filter { it.key != ownZone && nowMillis - it.value in ZONE_SILENCE_MILLIS..ZONE_RETENTION_MILLIS }
            .keys
            .toSet()

    private companion object {
        const val MEMBER_RETENTION_MILLIS = 10_000L

        /** Three gossip rounds, in which the gateways of a zone together would have sent several heartbeats. */
        const val ZONE_SILENCE_MILLIS = 1_300L

        /** A zone without heartbeats for longer no longer counts as partitioned, but as one without gateways. */
        const val ZONE_RETENTION_MILLIS = 30_000L
    }
}
