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

/**
 * The changes that announcements carry, one entry for each datagram.
 *
 * @property areComplete whether one datagram has all changes
 */
internal class AnnouncedChanges(val datagrams: List<RelayedItems>, val areComplete: Boolean)

/** The items of a message, without those whose deltas lead on from values that this gateway does not have. */
internal class DecodedItems(val items: List<PlatformItem>, val areComplete: Boolean)

/** Confined to the control thread. */
internal class ItemRelay(private val directory: DirectoryManager) {
    /**
     * Returns the items that changed after [since], or all items if not all changes after it are recorded, for a peer that has
     * the large values with the digests [known]. All values are whole if [known] is empty.
     */
    fun itemsAfter(since: PlatformRevision, known: Set<TextDigest>): RelayedItems =
        relayed(directory.changesAfter(since, known), since)

    /**
     * Returns the changes after [since] that fit into datagrams: a change of an upstream's entry does not wait for a large
     * configuration.
     */
    fun announcedChanges(since: PlatformRevision): AnnouncedChanges {
        val changes = directory.changesSince(since)
        if (changes.sumOf(::charactersOf) <= MAXIMUM_CHANGES_CHARACTERS) {
            return AnnouncedChanges(listOf(relayed(changes, since)), areComplete = true)
        }
        val small = changes.filter { charactersOf(it) <= MAXIMUM_CHANGES_CHARACTERS && it.isAfter(since) }
        val datagrams = datagramsOf(small).take(MAXIMUM_DATAGRAMS)
        return AnnouncedChanges(datagrams.map { relayed(it, directory.revision) }, areComplete = false)
    }

    private fun ItemChange.isAfter(since: PlatformRevision) =
        PlatformRevision(item.revision, directory.revision.era) > since

    private fun datagramsOf(changes: List<ItemChange>): List<List<ItemChange>> {
        val datagrams = ArrayList<MutableList<ItemChange>>()
        var characters = MAXIMUM_CHANGES_CHARACTERS
        for (change in changes) {
            characters += charactersOf(change)
            if (characters > MAXIMUM_CHANGES_CHARACTERS) {
                datagrams += ArrayList<ItemChange>()
                characters = charactersOf(change)
            }
            datagrams.last() += change
        }
        return datagrams
    }

    /** Returns the items in [relayed]. */
    fun decode(relayed: RelayedItems): DecodedItems {
        val items = relayed.items.mapNotNull(::decode)
        return DecodedItems(items, areComplete = items.size == relayed.items.size)
    }

    private fun decode(item: RelayedItem): PlatformItem? {
        val delta = item.delta ?: return PlatformItem(item.key, item.revision, item.value)
        return decode(delta)?.let { directory.itemAfter(item.key, item.revision, it) }
    }

    private fun charactersOf(change: ItemChange): Int {
        val valueCharacters = change.delta?.characters ?: change.item.value?.length ?: 0
        return change.item.key.length + valueCharacters
    }

    private fun relayed(changes: List<ItemChange>, since: PlatformRevision) =
        RelayedItems(
            revision = directory.revision.number,
            era = directory.revision.era,
            recordedSince = directory.recordedSinceLaterThan(since)?.number ?: -1,
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

        /** Entries of about 100 upstreams. What more has changed at once is fetched. */
        const val MAXIMUM_DATAGRAMS = 8
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
