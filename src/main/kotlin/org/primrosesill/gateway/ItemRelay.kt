/*
 * Converts the platform's items to the messages between gateways and back. A large value, of which a peer has an earlier
 * version, is sent as a delta, so that a change costs the fleet what it changes and not the whole value.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.DeltaPart
import org.primrosesill.discovery.ItemChange
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextDelta
import org.primrosesill.discovery.TextDigest
import org.primrosesill.discovery.TextSegment
import org.primrosesill.discovery.parseTextDigest
import org.primrosesill.generated.ItemDelta
import org.primrosesill.generated.ItemDeltaPart
import org.primrosesill.generated.RelayedItem
import org.primrosesill.generated.RelayedItems

/** The changes that an announcement carries; they are not complete if some of them exceed a datagram. */
internal class AnnouncedChanges(val items: RelayedItems, val isComplete: Boolean)

/** Confined to the control thread. */
internal class ItemRelay(private val directory: DirectoryManager) {
    /**
     * Returns the items that changed after [since], for a peer that has the large values with the digests [known]. All
     * values are whole if [known] is empty.
     */
    fun itemsAfter(since: PlatformRevision, known: Set<TextDigest>): RelayedItems =
        relayed(directory.changesAfter(since, known))

    /**
     * Returns the changes after [since] that fit into a datagram, the small ones first: a change of an upstream's entry does
     * not wait for a large configuration.
     */
    fun announcedChanges(since: PlatformRevision): AnnouncedChanges {
        val changes = directory.changesSince(since)
        var characters = 0
        val fitting =
            changes.sortedBy(::charactersOf).takeWhile {
                characters += charactersOf(it)
                characters <= MAXIMUM_CHANGES_CHARACTERS
            }
        return AnnouncedChanges(relayed(fitting), isComplete = fitting.size == changes.size)
    }

    /** Returns the items in [relayed], or null if it has a delta to a value that this gateway does not have. */
    fun itemsOf(relayed: RelayedItems): List<PlatformItem>? =
        relayed.items.map { item ->
            val delta = item.delta
            if (delta == null) {
                PlatformItem(item.key, item.revision, item.value)
            } else {
                decode(delta)?.let { directory.itemAfter(item.key, item.revision, it) } ?: return null
            }
        }

    private fun charactersOf(change: ItemChange): Int {
        val valueCharacters = change.delta?.characters ?: change.item.value?.length ?: 0
        return change.item.key.length + valueCharacters
    }

    private fun relayed(changes: List<ItemChange>) =
        RelayedItems(
            revision = directory.revision.number,
            era = directory.revision.era,
            items = changes.map(::encode),
            reachableMillis = directory.platformReachableMillis ?: -1,
            answeredAgoMillis = directory.platformResponseAgeMillis ?: -1,
        )

    private fun encode(change: ItemChange): RelayedItem {
        val item = change.item
        val delta = change.delta ?: return RelayedItem(item.key, item.revision, item.value)
        return RelayedItem(item.key, item.revision, delta = encode(delta))
    }

    private fun encode(delta: TextDelta) = ItemDelta("${delta.base}", "${delta.result}", delta.parts.map(::encode))

    private fun encode(part: DeltaPart): ItemDeltaPart =
        when (part) {
            is DeltaPart.Copied -> ItemDeltaPart(first = part.first, count = part.count)
            is DeltaPart.Inserted -> ItemDeltaPart(text = part.segment.text, array = part.segment.array)
        }

    private fun decode(delta: ItemDelta): TextDelta? {
        val base = parseTextDigest(delta.base) ?: return null
        val result = parseTextDigest(delta.result) ?: return null
        return TextDelta(base, result, delta.parts.map(::decode))
    }

    private fun decode(part: ItemDeltaPart): DeltaPart {
        val text = part.text ?: return DeltaPart.Copied(part.first, part.count)
        return DeltaPart.Inserted(TextSegment(text, part.array))
    }

    private companion object {
        /** Maximum size of the changes in an announcement: the characters of all keys and values. */
        const val MAXIMUM_CHANGES_CHARACTERS = 4_000
    }
}

/** Whether a value is sent as a delta, which gateways of earlier versions do not understand. */
internal val RelayedItems.hasDeltas: Boolean get() = items.any { it.delta != null }

/** Number of characters of all keys and values. */
internal val RelayedItems.characters: Int
    get() =
        items.sumOf { item ->
            val deltaCharacters = item.delta?.parts?.sumOf { it.text?.length ?: 0 } ?: 0
            item.key.length + (item.value?.length ?: 0) + deltaCharacters
        }
