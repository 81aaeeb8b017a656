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
    private val evacuatedZones = HashSet<AvailabilityZoneId>()
    private val pendingChanges = ArrayList<DirectoryChange>()
    private val history = ItemHistory()
    private var decodedConfiguration: DecodedItem.Configuration? = null
    private var configurationValue: SegmentedText? = null
    private val configuration: ServingConfiguration? get() = decodedConfiguration?.configuration

    /** Responses of the platform to this gateway and to others. */
    public val reachability: PlatformReachability = PlatformReachability()

    private val entries = UpstreamEntries(reachability, settings.recoveryGraceMillis) { pendingChanges += it }
    private val restoredItems = RestoredItems(decoder, settings.restorationHoldMillis, entries::registrationOf)
    private var recorded = RecordedSpan.NONE

    /** The revision of the platform up to which no change is missing. */
    public val revision: PlatformRevision get() = recorded.upTo

    /**
     * Returns null if all changes after [since] are recorded. Otherwise a peer with this revision needs the complete content,
     * and the result is the revision since which all changes are recorded.
     */
    public fun recordedSinceLaterThan(since: PlatformRevision): PlatformRevision? =
        recorded.since.takeUnless { recorded.coversChangesAfter(since) }

    /** Applies the complete content of the platform. Items that [listing] lacks are deleted, unless they are newer. */
    public fun applyListing(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        if (rejectOlderEra(listing.revision)) return drainChanges()
        if (listing.revision.era > revision.era) return startEra(listing, nowMillis)
        applyContent(listing, nowMillis)
        recorded = recorded.afterListing(listing.revision)
        return drainChanges()
    }

    private fun applyContent(content: PlatformListing, nowMillis: Long) {
        content.items.forEach { apply(it, nowMillis) }
        // A peer's record of a deletion may be older than an item of this directory that was deleted once more.
        val listed = content.items.filterNot { it.isDeleted }.mapTo(HashSet()) { it.key }
        val missing =
            itemsByKey.values.filter { !it.isDeleted && it.key !in listed && it.revision <= content.revision.number }
        missing.forEach { apply(PlatformItem(it.key, content.revision.number, null), nowMillis) }
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
        recorded = RecordedSpan.NONE
        if (previousItems.isNotEmpty()) reachability.recordRestoration(nowMillis)
        val replacement = restoredItems.replace(previousItems, listing, nowMillis)
        replacement.held.forEach { itemsByKey[it.key] = it }
        replacement.applied.forEach { apply(it, nowMillis) }
        recorded = RecordedSpan(listing.revision, listing.revision)
        if (previousItems.isNotEmpty()) {
            pendingChanges += DirectoryChange.PlatformRestored(before, replacement.held.size)
        }
        return drainChanges()
    }

    /**
     * Applies the changes after [since]. Changes that leave a gap are applied too, but do not advance [revision]. Changes that
     * begin in an older era than they end in are the complete content of the new era; those that begin before a peer recorded
     * all changes are the complete content of that peer.
     */
    public fun applyChanges(since: PlatformRevision, page: PlatformChanges, nowMillis: Long): List<DirectoryChange> {
        if (rejectOlderEra(page.revision)) return drainChanges()
        if (page.revision.era > revision.era) {
            // Without the complete content, this gateway could not tell which of its items the new era lacks.
            if (since.era == page.revision.era) return drainChanges()
            return startEra(PlatformListing(page.revision, page.items.filterNot { it.isDeleted }), nowMillis)
        }
        applyRelayed(since, page, nowMillis)
        entries.removeExpired(nowMillis)
        return drainChanges()
    }

    private fun applyRelayed(since: PlatformRevision, page: PlatformChanges, nowMillis: Long) {
        val recordedSince = page.recordedSince
        if (recordedSince != null) {
            applyContent(PlatformListing(page.revision, page.items), nowMillis)
            recorded = recorded.mergedWith(RecordedSpan(recordedSince, page.revision))
            return
        }
        page.items.forEach { apply(it, nowMillis) }
        if (since > revision) return
        // A peer of an earlier version may not have recorded all deletions before the revision of its first page.
        val isFirstPage = since == PlatformRevision.NONE
        recorded = recorded.mergedWith(RecordedSpan(if (isFirstPage) page.revision else since, page.revision))
    }

    /** Removes upstreams whose entries were not registered again in time, and applies held items whose time is over. */
    public fun tick(nowMillis: Long): List<DirectoryChange> {
        restoredItems.removeDue(nowMillis).forEach { applyEffect(it, nowMillis) }
        entries.removeExpired(nowMillis)
        return drainChanges()
    }

    /**
     * Returns the items that changed after [since], deletions included, for a peer that lacks them, or all items if not all
     * changes after [since] are recorded.
     */
    public fun itemsAfter(since: PlatformRevision): List<PlatformItem> =
        if (recorded.coversChangesAfter(since)) {
            itemsByKey.values.filter { PlatformRevision(it.revision, revision.era) > since }
        } else {
            itemsByKey.values.toList()
        }

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
            entries.knownUpstreams(evacuatedZones).groupBy { it.registration.pool },
            evacuatedZones.toSet(),
        )

    private fun drainChanges(): List<DirectoryChange> = pendingChanges.toList().also { pendingChanges.clear() }

    private fun apply(item: PlatformItem, nowMillis: Long) {
        val current = itemsByKey[item.key]
        if (current != null && item.revision <= current.revision) return
        // A delayed message may have a value that was deleted before this directory listed, which has left no record.
        if (!item.isDeleted && item.revision <= revision.number) return
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
            is DecodedItem.Upstream -> entries.register(decoded.registration, nowMillis)
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

    /**
     * Handles an invalid entry like a removed one, so that an earlier, valid entry under its key is no longer used.
     */
    private fun rejectItem(item: PlatformItem, reason: String, nowMillis: Long) {
        pendingChanges += DirectoryChange.ItemRejected(item.key, reason)
        decoder.upstreamOf(item.key)?.let { entries.onEntryRemoved(it, nowMillis) }
    }

    private fun applyDeletion(item: PlatformItem, nowMillis: Long) {
        decoder.upstreamOf(item.key)?.let { entries.onEntryRemoved(it, nowMillis) }
        decoder.evacuatedZoneOf(item.key)?.let { restoreZone(it, nowMillis) }
    }

    /**
     * Ends the evacuation of [zone] and counts its upstreams as cold: without traffic they may have become cold, which
     * they report only in their next entry.
     */
    private fun restoreZone(zone: AvailabilityZoneId, nowMillis: Long) {
        if (!evacuatedZones.remove(zone)) return
        pendingChanges += DirectoryChange.ZoneRestored(zone)
        entries.countAsCold(zone) { pool ->
            val coldStart = configuration?.pools?.get(pool)?.coldStart
            coldStart?.let { nowMillis + it.duration.inWholeMilliseconds + settings.coldMarginMillis }
        }
    }
}
