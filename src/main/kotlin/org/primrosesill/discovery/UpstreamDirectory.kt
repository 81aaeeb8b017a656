/*
 * Holds the data that the platform publishes: the active configuration, the upstreams and the evacuated zones. Items
 * arrive from the platform or from peers, possibly late, twice or out of order; of two values of an item, the one with
 * the higher revision is kept. The configuration never returns to a lower version, whatever the revision of its item.
 *
 * A new era of the platform begins when it was restored from a copy, which lacks the last changes. The first content of an
 * era replaces all items, but does not undo at once what this gateway has received before: the operator and the upstreams
 * write it again.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration

/**
 * Durations in milliseconds.
 *
 * @property recoveryGraceMillis time after an outage of the platform within which entries that expired during the
 *     outage are registered again
 * @property restorationHoldMillis time after a restoration of the platform within which the operator and the upstreams have
 *     written again what was lost
 * @property coldMarginMillis largest delay of an update from an upstream, added to the time for which it counts as cold
 */
public data class DirectorySettings(
    val recoveryGraceMillis: Long = 2_000,
    val restorationHoldMillis: Long = 4_000,
    val coldMarginMillis: Long = 2_000,
)

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
public class UpstreamDirectory(
    private val decoder: PlatformItemDecoder,
    private val settings: DirectorySettings = DirectorySettings(),
) {
    private val itemsByKey = HashMap<String, PlatformItem>()
    private val upstreams = HashMap<UpstreamId, Entry>()
    private val evacuatedZones = HashSet<AvailabilityZoneId>()
    private val restoredItems = RestoredItems(decoder, settings.restorationHoldMillis, ::registrationOf)
    private val pendingChanges = ArrayList<DirectoryChange>()
    private val history = ItemHistory()
    private var decodedConfiguration: DecodedItem.Configuration? = null
    private var configurationValue: SegmentedText? = null
    private val configuration: ServingConfiguration? get() = decodedConfiguration?.configuration

    /** Responses of the platform to this gateway and to others. */
    public val reachability: PlatformReachability = PlatformReachability()

    /** The revision of the platform up to which no change is missing. */
    public var revision: PlatformRevision = PlatformRevision.NONE
        private set

    /** Applies the complete content of the platform. Items that [listing] lacks are deleted, unless they are newer. */
    public fun applyListing(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        if (rejectOlderEra(listing.revision)) return drainChanges()
        if (listing.revision.era > revision.era) return startEra(listing, nowMillis)
        listing.items.forEach { apply(it, nowMillis) }
        val listed = listing.items.mapTo(HashSet()) { it.key }
        val missing =
            itemsByKey.values.filter { !it.isDeleted && it.key !in listed && it.revision <= listing.revision.number }
        missing.forEach { apply(PlatformItem(it.key, listing.revision.number, null), nowMillis) }
        revision = maxOf(revision, listing.revision)
        return drainChanges()
    }

    private fun rejectOlderEra(received: PlatformRevision): Boolean {
        if (received.era >= revision.era) return false
        pendingChanges += DirectoryChange.OlderEraRejected(received)
        return true
    }

    /** Replaces all items by the first [listing] of a new era. */
    private fun startEra(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        val before = revision
        val previousItems = itemsByKey.values.toList()
        itemsByKey.clear()
        revision = listing.revision
        if (previousItems.isNotEmpty()) reachability.recordRestoration(nowMillis)
        val replacement = restoredItems.replace(previousItems, listing, nowMillis)
        replacement.held.forEach { itemsByKey[it.key] = it }
        replacement.applied.forEach { apply(it, nowMillis) }
        if (previousItems.isNotEmpty()) {
            pendingChanges += DirectoryChange.PlatformRestored(before, replacement.held.size)
        }
        return drainChanges()
    }

    private fun registrationOf(upstream: UpstreamId): UpstreamRegistration? = upstreams[upstream]?.registration

    /**
     * Applies the changes after [since]. Changes that leave a gap are applied too, but do not advance [revision]. Changes that
     * begin in an older era than they end in are the complete content of the new era.
     */
    public fun applyChanges(since: PlatformRevision, page: PlatformChanges, nowMillis: Long): List<DirectoryChange> {
        if (rejectOlderEra(page.revision)) return drainChanges()
        if (page.revision.era > revision.era) {
            // Without the complete content, this gateway could not tell which of its items the new era lacks.
            if (since.era == page.revision.era) return drainChanges()
            return startEra(PlatformListing(page.revision, page.items.filterNot { it.isDeleted }), nowMillis)
        }
        page.items.forEach { apply(it, nowMillis) }
        removeExpired(nowMillis)
        if (since <= revision) revision = maxOf(revision, page.revision)
        return drainChanges()
    }

    /** Removes upstreams whose entries were not registered again in time, and applies held items whose time is over. */
    public fun tick(nowMillis: Long): List<DirectoryChange> {
        restoredItems.removeDue(nowMillis).forEach { applyEffect(it, nowMillis) }
        removeExpired(nowMillis)
        return drainChanges()
    }

    /**
     * Removes upstreams whose grace time is over. The end of the grace time is recomputed in each call, because a peer
     * may have reported in the meantime that the platform was available when the entry was removed.
     */
    private fun removeExpired(nowMillis: Long) {
        val since = reachability.upSince(nowMillis)
        for (entry in upstreams.values.toList()) {
            val removeAt = entry.removeAtMillis ?: continue
            val deadline = if (since == null) removeAt else minOf(removeAt, since + settings.recoveryGraceMillis)
            if (deadline <= nowMillis) remove(entry.registration.id, "its entry was not registered again")
        }
    }

    /** Returns the items that changed after [since], for a peer that lacks them: all of them if [since] is of an older era. */
    public fun itemsAfter(since: PlatformRevision): List<PlatformItem> =
        itemsByKey.values.filter { PlatformRevision(it.revision, revision.era) > since }

    /** Digests of the large values to which this gateway can apply a delta. */
    public val valueDigests: List<TextDigest> get() = history.digests

    /** Returns the changes after [since] for a peer that has the values with the digests [known]. */
    public fun changesAfter(since: PlatformRevision, known: Set<TextDigest>): List<ItemChange> =
        itemsAfter(since).map { history.changeFor(it, known) }

    /** Returns the changes after [since] for peers that have all items up to it. */
    public fun changesSince(since: PlatformRevision): List<ItemChange> {
        val isSameEra = since.era == revision.era
        return itemsAfter(since).map { if (isSameEra) history.changeSince(it, since.number) else ItemChange(it, null) }
    }

    /** Returns the item that follows from [delta] to a value that this gateway has, or null if it has no such value. */
    public fun itemAfter(key: String, revision: Long, delta: TextDelta): PlatformItem? =
        history.itemAfter(key, revision, delta)

    /** Returns an immutable snapshot for the request path. */
    public fun view(): DirectoryView =
        DirectoryView(
            revision,
            configuration,
            upstreams.values.map(::toKnownUpstream).groupBy { it.registration.pool },
            evacuatedZones.toSet(),
        )

    private fun drainChanges(): List<DirectoryChange> = pendingChanges.toList().also { pendingChanges.clear() }

    private fun apply(item: PlatformItem, nowMillis: Long) {
        val current = itemsByKey[item.key]
        if (current != null && item.revision <= current.revision) return
        val recorded = history.record(item)
        itemsByKey[item.key] = recorded
        restoredItems.remove(item.key)
        applyEffect(recorded, nowMillis)
    }

    private fun applyEffect(item: PlatformItem, nowMillis: Long) {
        if (item.isDeleted) return applyDeletion(item, nowMillis)
        when (val decoded = decoder.decode(item, decodedConfiguration)) {
            is DecodedItem.Configuration -> acceptConfiguration(decoded, item)
            is DecodedItem.ZoneEvacuated -> evacuateZone(decoded.zone)
            is DecodedItem.Upstream -> register(decoded.registration, nowMillis)
            is DecodedItem.Invalid -> rejectItem(item, decoded.reason, nowMillis)
            DecodedItem.Unrelated -> Unit
        }
    }

    private fun acceptConfiguration(decoded: DecodedItem.Configuration, item: PlatformItem) {
        val received = decoded.configuration
        val active = configuration
        if (active != null && received.version <= active.version) {
            if (received.version < active.version) {
                pendingChanges += DirectoryChange.StaleConfigurationRejected(received.version, active.version)
                // Peers receive the active configuration, also one that starts after the platform has lost it.
                configurationValue?.let {
                    itemsByKey[item.key] = history.record(PlatformItem(item.key, item.revision, it))
                }
            }
            return
        }
        decodedConfiguration = decoded
        configurationValue = item.segments
        pendingChanges +=
            DirectoryChange.ConfigurationAccepted(received.version, decoded.newEntryCount, decoded.entries.size)
    }

    private fun evacuateZone(zone: AvailabilityZoneId) {
        if (evacuatedZones.add(zone)) pendingChanges += DirectoryChange.ZoneEvacuated(zone)
    }

    private fun register(registration: UpstreamRegistration, nowMillis: Long) {
        val previous = upstreams[registration.id]
        val coldForMillis = registration.coldFor.inWholeMilliseconds
        val coldUntil = if (coldForMillis > 0) nowMillis + coldForMillis else previous?.coldUntilMillis ?: 0
        upstreams[registration.id] = Entry(registration, coldUntil)
        if (previous?.registration?.copy(coldFor = registration.coldFor) != registration) {
            pendingChanges += DirectoryChange.UpstreamListed(registration.id, describe(registration))
        }
    }

    /**
     * Handles an invalid entry like a removed one, so that an earlier, valid entry under its key is no longer used.
     */
    private fun rejectItem(item: PlatformItem, reason: String, nowMillis: Long) {
        pendingChanges += DirectoryChange.ItemRejected(item.key, reason)
        decoder.upstreamOf(item.key)?.let { onEntryRemoved(it, nowMillis) }
    }

    private fun applyDeletion(item: PlatformItem, nowMillis: Long) {
        decoder.upstreamOf(item.key)?.let { onEntryRemoved(it, nowMillis) }
        decoder.evacuatedZoneOf(item.key)?.let { restoreZone(it, nowMillis) }
    }

    /**
     * Removes [upstream]. If its entry may have expired during an outage of the platform, in which entries of live
     * upstreams expire too, the upstream is kept for a grace time in which the entry can be registered again.
     */
    private fun onEntryRemoved(upstream: UpstreamId, nowMillis: Long) {
        val entry = upstreams[upstream] ?: return
        val since = reachability.upSince(nowMillis)
        val removeAt = (since ?: nowMillis) + settings.recoveryGraceMillis
        if (entry.registration.draining || (since != null && removeAt <= nowMillis)) {
            remove(upstream, "its entry was removed")
        } else {
            entry.removeAtMillis = removeAt
            pendingChanges += DirectoryChange.UpstreamExpired(upstream, describeExpiry(since, removeAt, nowMillis))
        }
    }

    private fun describeExpiry(upSince: Long?, removeAt: Long, nowMillis: Long): String {
        val platform = upSince?.let { "has been responding for ${nowMillis - it} ms" } ?: "does not respond"
        return "its entry was removed and may be restored within ${removeAt - nowMillis} ms, as the platform $platform"
    }

    private fun remove(upstream: UpstreamId, reason: String) {
        upstreams.remove(upstream)
        pendingChanges += DirectoryChange.UpstreamRemoved(upstream, reason)
    }

    /**
     * Ends the evacuation of [zone] and counts its upstreams as cold: without traffic they may have become cold, which
     * they report only in their next entry.
     */
    private fun restoreZone(zone: AvailabilityZoneId, nowMillis: Long) {
        if (!evacuatedZones.remove(zone)) return
        pendingChanges += DirectoryChange.ZoneRestored(zone)
        upstreams.values.filter { it.registration.availabilityZone == zone }.forEach { entry ->
            val coldDuration =
                configuration
                    ?.pools
                    ?.get(entry.registration.pool)
                    ?.coldStart
                    ?.duration ?: return@forEach
            val coldUntil = nowMillis + coldDuration.inWholeMilliseconds + settings.coldMarginMillis
            entry.coldUntilMillis = maxOf(entry.coldUntilMillis, coldUntil)
        }
    }

    private fun toKnownUpstream(entry: Entry): KnownUpstream {
        val registration = entry.registration
        val ineligibleReason =
            when {
                registration.draining -> "it is draining"
                registration.availabilityZone in evacuatedZones -> "its zone is evacuated"
                else -> null
            }
        return KnownUpstream(registration, entry.coldUntilMillis, ineligibleReason)
    }

    private class Entry(val registration: UpstreamRegistration, var coldUntilMillis: Long) {
        /** When the upstream is removed, or null while its entry exists. */
        var removeAtMillis: Long? = null
    }
}

private fun describe(registration: UpstreamRegistration): String =
    "${if (registration.draining) "draining" else "ready"} in ${registration.availabilityZone} at " +
        "${registration.address}, pool ${registration.pool}, software ${registration.softwareVersion}"
