/*
 * Decides which items of a platform that was restored from a copy are applied at once. The copy lacks the last changes, so
 * that it may contradict them: an upstream that has left is listed as ready, an evacuated zone as in service. Such items are
 * held for the time in which the operator and the upstreams write the lost changes again.
 */
package org.primrosesill.discovery

import org.primrosesill.model.UpstreamId

/**
 * The first items of an era.
 *
 * @property applied items that are applied at once, deletions of items that the copy lacks included
 * @property held items that are applied later, or never
 */
internal class ItemReplacement(val applied: List<PlatformItem>, val held: List<PlatformItem>)

/**
 * Owned by the control thread. Times are milliseconds of a monotonic clock.
 *
 * @param registrationOf returns the entry of an upstream that is in use, or null
 */
internal class RestoredItems(
    private val decoder: PlatformItemDecoder,
    private val holdMillis: Long,
    private val registrationOf: (UpstreamId) -> UpstreamRegistration?,
) {
    private val heldByKey = HashMap<String, HeldItem>()

    /**
     * Returns how the items of [listing], the first one of an era, replace [previous], the items of the era before with their
     * deletions. Items that were held before are held on if the new era has them too.
     */
    fun replace(previous: List<PlatformItem>, listing: PlatformListing, nowMillis: Long): ItemReplacement {
        val previousByKey = previous.associateBy { it.key }
        val listed = listing.items.mapTo(HashSet()) { it.key }
        val missing = previous.filter { it.key !in listed }
        val items = listing.items + missing.map { PlatformItem(it.key, listing.revision.number, null) }
        val (held, applied) = items.partition { holds(it, previousByKey[it.key], nowMillis) }
        return ItemReplacement(applied, held)
    }

    /** Forgets the held item under [key], as a later change of it was received. */
    fun remove(key: String) {
        heldByKey.remove(key)
    }

    /** Removes and returns the held items that are due at [nowMillis]. */
    fun removeDue(nowMillis: Long): List<PlatformItem> {
        val due = heldByKey.values.filter { it.dueAtMillis <= nowMillis }
        due.forEach { heldByKey.remove(it.item.key) }
        return due.map { it.item }
    }

    private fun holds(item: PlatformItem, previous: PlatformItem?, nowMillis: Long): Boolean {
        val heldBefore = heldByKey[item.key]
        val dueAt =
            when {
                previous == null || !contradicts(item, previous, heldBefore) -> return false
                // An upstream that drains exits; until then, only a later entry of its own can revoke that.
                !item.isDeleted && decoder.upstreamOf(item.key)?.let(registrationOf) != null -> NEVER
                else -> nowMillis + holdMillis
            }
        heldByKey[item.key] = HeldItem(item, dueAt)
        return true
    }

    private fun contradicts(item: PlatformItem, previous: PlatformItem, heldBefore: HeldItem?): Boolean {
        val upstream = decoder.upstreamOf(item.key)
        return when {
            // The upstreams of an entry that is missing have a grace time of their own.
            upstream != null && item.isDeleted -> false
            upstream != null -> !isDrainingEntry(item) && registrationOf(upstream)?.draining ?: true
            decoder.evacuatedZoneOf(item.key) == null -> false
            else -> item.isDeleted != isDeleted(previous, heldBefore)
        }
    }

    /** Returns whether [previous] was not in effect: it was deleted, or an item that is still held would end its deletion. */
    private fun isDeleted(previous: PlatformItem, heldBefore: HeldItem?): Boolean =
        if (heldBefore == null) previous.isDeleted else !heldBefore.item.isDeleted

    private fun isDrainingEntry(item: PlatformItem): Boolean =
        (decoder.decode(item) as? DecodedItem.Upstream)?.registration?.draining ?: true

    private class HeldItem(val item: PlatformItem, val dueAtMillis: Long)

    private companion object {
        const val NEVER = Long.MAX_VALUE
    }
}
