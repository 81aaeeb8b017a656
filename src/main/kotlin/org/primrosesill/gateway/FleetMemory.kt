/*
 * Which gateways were heard lately, and from which zones.
 */
package org.primrosesill.gateway

import org.primrosesill.generated.Member
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class FleetMemory(private val ownZone: AvailabilityZoneId) {
    private val heard = HashMap<RouterId, Long>()
    private val heartbeats = HashMap<RouterId, Long>()
    private val zones = HashMap<AvailabilityZoneId, Long>()
    private val addresses = HashSet<String>()

    /**
     * Takes [member] as some gateway passed it on, and returns whether it was not known. Only a heartbeat that is new shows
     * that it is alive.
     */
    fun heard(member: Member, nowMillis: Long): Boolean {
        val before = heartbeats[member.router]
        if (before != null && before >= member.heartbeat) return false
        heartbeats[member.router] = member.heartbeat
        heard[member.router] = nowMillis
        addresses += member.address
        zones[member.availabilityZone] = nowMillis
        return before == null
    }

    /** The gateways that may be alive. One that was cut off goes on to spend its part of each budget. */
    fun recent(nowMillis: Long): Set<RouterId> {
        heard.values.removeIf { nowMillis - it > MEMORY_MILLIS }
        heartbeats.keys.retainAll(heard.keys)
        return heard.keys.toSet()
    }

    fun heardAll(expected: Set<String>): Boolean = addresses.containsAll(expected)

    /** Other zones from which nothing was heard lately, though it was before. */
    fun silentZones(nowMillis: Long): Set<AvailabilityZoneId> =
        zones
            .filter { it.key != ownZone && nowMillis - it.value in SILENCE_MILLIS..FORGOTTEN_MILLIS }
            .keys
            .toSet()

    private companion object {
        const val MEMORY_MILLIS = 10_000L

        /** Three rounds in which all gateways of a zone together would have been heard several times. */
        const val SILENCE_MILLIS = 1_300L

        /** After that time a zone without gateways is no longer taken for one that is cut off. */
        const val FORGOTTEN_MILLIS = 30_000L
    }
}
