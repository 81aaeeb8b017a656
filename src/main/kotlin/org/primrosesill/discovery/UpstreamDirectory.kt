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

/**
 * Durations in milliseconds.
 *
 * @property recoveryGraceMillis time after an outage of the platform within which entries that expired during the
 *     outage are registered again
 * @property restorationHoldMillis time after a restoration of the platform within which the operator and the upstreams have
 *     written again what was lost
 * @property coldMarginMillis largest delay of an update from an upstream, added to the time for which it counts as cold
 * @property maximumUnusedItems number of deleted items and of items that cannot be decoded up to which all are kept; peers that
 *     lack changes from before the kept ones receive the complete content
 */
public data class DirectorySettings(
    val recoveryGraceMillis: Long = 2_000,
    val restorationHoldMillis: Long = 4_000,
    val coldMarginMillis: Long = 2_000,
    val maximumUnusedItems: Int = 2_048,
)

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
public class UpstreamDirectory(
    private val decoder: PlatformItemDecoder,
    private val settings: DirectorySettings = DirectorySettings(),
) {
    private val items = DirectoryItems(settings.maximumUnusedItems)
    private val pendingChanges = ArrayList<DirectoryChange>()
    private val history = ItemHistory()

    /** Responses of the platform to this gateway and to others. */
    public val reachability: PlatformReachability = PlatformReachability()

    private val entries = UpstreamEntries(reachability, settings.recoveryGraceMillis) { pendingChanges += it }
    private val content = DirectoryContent(decoder, items, history, entries, settings) { pendingChanges += it }
    private val restoredItems = RestoredItems(decoder, settings.restorationHoldMillis, entries::registrationOf)
    private var recorded = RecordedSpan.NONE

    /** Revision up to which changes may have been removed from [items]. */
    private var removedUpTo = PlatformRevision.NONE

    /** Era of the items that were applied while the first listing was incomplete, or null. */
    private var incompleteEra: Long? = null

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
        applyComplete(listing, nowMillis)
        recorded = recorded.afterListing(listing.revision)
        return finishUpdate()
    }

    /**
     * Applies [listing], a part of a listing of the platform that is not complete yet. Nothing is deleted, and [revision] does
     * not advance. Without effect if another era than that of the content begins.
     */
    public fun applyIncompleteListing(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        val isFirst = revision == PlatformRevision.NONE
        if (!isFirst && listing.revision.era != revision.era) return drainChanges()
        if (isFirst) incompleteEra = listing.revision.era
        listing.items.forEach { apply(it, nowMillis) }
        return finishUpdate()
    }

    private fun applyComplete(listing: PlatformListing, nowMillis: Long) {
        listing.items.forEach { apply(it, nowMillis) }
        // A peer's record of a deletion may be older than an item of this directory that was deleted once more.
        val listed = listing.items.filterNot { it.isDeleted }.mapTo(HashSet()) { it.key }
        val missing =
            items.values.filter { !it.isDeleted && it.key !in listed && it.revision <= listing.revision.number }
        missing.forEach { apply(PlatformItem(it.key, listing.revision.number, null), nowMillis) }
    }

    private fun rejectOlderEra(received: PlatformRevision): Boolean {
        if (received.era >= revision.era) return false
        pendingChanges += DirectoryChange.OlderEraRejected(received)
        return true
    }

    /** Replaces all items by the first [listing] of a new era. */
    private fun startEra(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        if (listing.revision.era == incompleteEra) return finishFirstListing(listing, nowMillis)
        val before = revision
        val previousItems = items.values
        items.clear()
        recorded = RecordedSpan.NONE
        if (previousItems.isNotEmpty()) reachability.recordRestoration(nowMillis)
        val items = listing.items.map(decoder::withLimitedValue)
        val replacement = restoredItems.replace(previousItems, PlatformListing(listing.revision, items), nowMillis)
        replacement.held.forEach { this.items.put(it, ItemUse.USED) }
        replacement.applied.forEach { apply(it, nowMillis) }
        recorded = RecordedSpan(listing.revision, listing.revision)
        if (previousItems.isNotEmpty()) {
            pendingChanges += DirectoryChange.PlatformRestored(before, replacement.held.size)
        }
        return finishUpdate()
    }

    /** Applies [listing], the rest of the first content of the era in which this directory has started. */
    private fun finishFirstListing(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        applyComplete(listing, nowMillis)
        incompleteEra = null
        recorded = RecordedSpan(listing.revision, listing.revision)
        return finishUpdate()
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
        return finishUpdate()
    }

    private fun applyRelayed(since: PlatformRevision, page: PlatformChanges, nowMillis: Long) {
        val recordedSince = page.recordedSince
        if (recordedSince != null) {
            applyComplete(PlatformListing(page.revision, page.items), nowMillis)
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
        restoredItems.removeDue(nowMillis).forEach { content.apply(it, nowMillis) }
        entries.removeExpired(nowMillis)
        return drainChanges()
    }

    /**
     * Returns the items that changed after [since], deletions included, for a peer that lacks them, or all items if not all
     * changes after [since] are recorded.
     */
    public fun itemsAfter(since: PlatformRevision): List<PlatformItem> =
        if (recorded.coversChangesAfter(since)) {
            items.values.filter { PlatformRevision(it.revision, revision.era) > since }
        } else {
            items.values
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
    public fun view(): DirectoryView = content.view(revision)

    /** Removes what exceeds the limits, and returns the changes of the update. */
    private fun finishUpdate(): List<DirectoryChange> {
        items.removeExcess(revision.number)?.let { removedUpTo = PlatformRevision(it, revision.era) }
        recorded = recorded.startingAt(removedUpTo)
        return drainChanges()
    }

    private fun drainChanges(): List<DirectoryChange> = pendingChanges.toList().also { pendingChanges.clear() }

    private fun apply(received: PlatformItem, nowMillis: Long) {
        val current = items[received.key]
        if (current != null && received.revision <= current.revision) return
        // A delayed message may have a value that was deleted before this directory listed, which has left no record.
        if (!received.isDeleted && received.revision <= revision.number) return
        restoredItems.remove(received.key)
        content.apply(history.sharing(decoder.withLimitedValue(received)), nowMillis)
    }
}
