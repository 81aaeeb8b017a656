/*
 * The upstreams that have registered themselves, with the grace time of those whose entries may have expired during an outage
 * of the platform.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId

/**
 * Owned by the control thread. Times are milliseconds of a monotonic clock.
 *
 * @param onChange receives the changes for the event log
 */
internal class UpstreamEntries(
    private val reachability: PlatformReachability,
    private val recoveryGraceMillis: Long,
    private val onChange: (DirectoryChange) -> Unit,
) {
    private val entriesById = HashMap<UpstreamId, Entry>()

    /** Returns the entry of [upstream], or null if it has none. */
    fun registrationOf(upstream: UpstreamId): UpstreamRegistration? = entriesById[upstream]?.registration

    /** Returns all upstreams; those in [evacuatedZones] are not eligible for requests. */
    fun knownUpstreams(evacuatedZones: Set<AvailabilityZoneId>): List<KnownUpstream> =
        entriesById.values.map { it.toKnownUpstream(evacuatedZones) }

    /** Registers the upstream of an entry, or updates it. */
    fun register(registration: UpstreamRegistration, nowMillis: Long) {
        val previous = entriesById[registration.id]
        val coldForMillis = registration.coldFor.inWholeMilliseconds
        val coldUntil = if (coldForMillis > 0) nowMillis + coldForMillis else previous?.coldUntilMillis ?: 0
        entriesById[registration.id] = Entry(registration, coldUntil)
        if (previous?.registration?.copy(coldFor = registration.coldFor) != registration) {
            onChange(DirectoryChange.UpstreamListed(registration.id, describe(registration)))
        }
    }

    /**
     * Removes upstreams whose grace time is over. The end of the grace time is recomputed in each call, because a peer
     * may have reported in the meantime that the platform was available when the entry was removed.
     */
    fun removeExpired(nowMillis: Long) {
        val since = reachability.upSince(nowMillis)
        for (entry in entriesById.values.toList()) {
            val removeAt = entry.removeAtMillis ?: continue
            val deadline = if (since == null) removeAt else minOf(removeAt, since + recoveryGraceMillis)
            if (deadline <= nowMillis) remove(entry.registration.id, "its entry was not registered again")
        }
    }

    /**
     * Removes [upstream]. If its entry may have expired during an outage of the platform, in which entries of live
     * upstreams expire too, the upstream is kept for a grace time in which the entry can be registered again.
     */
    fun onEntryRemoved(upstream: UpstreamId, nowMillis: Long) {
        val entry = entriesById[upstream] ?: return
        val since = reachability.upSince(nowMillis)
        val removeAt = (since ?: nowMillis) + recoveryGraceMillis
        if (entry.registration.draining || (since != null && removeAt <= nowMillis)) {
            remove(upstream, "its entry was removed")
        } else {
            entry.removeAtMillis = removeAt
            onChange(DirectoryChange.UpstreamExpired(upstream, describeExpiry(since, removeAt, nowMillis)))
        }
    }

    private fun describeExpiry(upSince: Long?, removeAt: Long, nowMillis: Long): String {
        val platform = upSince?.let { "has been responding for ${nowMillis - it} ms" } ?: "does not respond"
        return "its entry was removed and may be restored within ${removeAt - nowMillis} ms, as the platform $platform"
    }

    private fun remove(upstream: UpstreamId, reason: String) {
        entriesById.remove(upstream)
        onChange(DirectoryChange.UpstreamRemoved(upstream, reason))
    }

    /** Counts the upstreams in [zone] as cold until the time that [coldUntilMillis] returns for their pool, if any. */
    fun countAsCold(zone: AvailabilityZoneId, coldUntilMillis: (PoolId) -> Long?) {
        for (entry in entriesById.values.filter { it.registration.availabilityZone == zone }) {
            val coldUntil = coldUntilMillis(entry.registration.pool) ?: continue
            entry.coldUntilMillis = maxOf(entry.coldUntilMillis, coldUntil)
        }
    }

    private class Entry(val registration: UpstreamRegistration, var coldUntilMillis: Long) {
        /** When the upstream is removed, or null while its entry exists. */
        var removeAtMillis: Long? = null

        fun toKnownUpstream(evacuatedZones: Set<AvailabilityZoneId>): KnownUpstream {
            val ineligibleReason =
                when {
                    registration.draining -> "it is draining"
                    registration.availabilityZone in evacuatedZones -> "its zone is evacuated"
                    else -> null
                }
            return KnownUpstream(registration, coldUntilMillis, ineligibleReason)
        }
    }
}

private fun describe(registration: UpstreamRegistration): String =
    "${if (registration.draining) "draining" else "ready"} in ${registration.availabilityZone} at " +
        "${registration.address}, pool ${registration.pool}, software ${registration.softwareVersion}"
