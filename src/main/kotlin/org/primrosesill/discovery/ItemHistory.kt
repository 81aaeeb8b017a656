/*
 * The last values of the configuration, so that a change of it can be sent, received and stored as a delta to one of them.
 */
package org.primrosesill.discovery

/** An item that was changed; [delta] leads to its value from one that the receiver has, if it is known to have one. */
public class ItemChange(public val item: PlatformItem, public val delta: TextDelta?)

/** Owned by the control thread. */
internal class ItemHistory {
    private val valuesByKey =
        object : LinkedHashMap<String, ArrayDeque<PastValue>>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ArrayDeque<PastValue>>) =
                size > MAXIMUM_ITEMS
        }

    /** Digests of the values that this gateway can apply a delta to, the newest one of each item. */
    val digests: List<TextDigest> get() = valuesByKey.values.map { it.last().value.digest }

    /** Returns [item] with a value that shares the segments of the last recorded one. */
    fun sharing(item: PlatformItem): PlatformItem {
        val last = if (item.isLarge) valuesByKey[item.key]?.lastOrNull() else null
        return last?.let { sharing(item, it.value) } ?: item
    }

    /** Records the value of [item] if it is large. */
    fun record(item: PlatformItem) {
        if (item.isDeleted) valuesByKey.remove(item.key)
        if (!item.isLarge) return
        val values = valuesByKey.getOrPut(item.key) { ArrayDeque() }
        values += PastValue(item.revision, checkNotNull(item.segments))
        if (values.size > VALUES_PER_ITEM) values.removeFirst()
    }

    /** Returns the item that follows from [delta] to a recorded value under [key], or null if there is no such value. */
    fun itemAfter(key: String, revision: Long, delta: TextDelta): PlatformItem? =
        valuesByKey[key]
            ?.firstOrNull { it.value.digest == delta.base }
            ?.let { delta.applyTo(it.value) }
            ?.let { PlatformItem(key, revision, it) }

    /** Returns the change to [item] for a gateway that has values with the digests [known]. */
    fun changeFor(item: PlatformItem, known: Set<TextDigest>): ItemChange =
        changeFrom(item) { value -> value.value.digest in known }

    /** Returns the change to [item] for a gateway that has the items up to revision [since]. */
    fun changeSince(item: PlatformItem, since: Long): ItemChange = changeFrom(item) { value -> value.revision <= since }

    private fun changeFrom(item: PlatformItem, isBase: (PastValue) -> Boolean): ItemChange {
        val base = valuesByKey[item.key]?.lastOrNull(isBase) ?: return ItemChange(item, null)
        val target = item.segments ?: return ItemChange(item, null)
        return ItemChange(item, deltaBetween(base.value, target).takeIf { it.characters < target.length })
    }

    private fun sharing(item: PlatformItem, previous: SegmentedText): PlatformItem? {
        val segments = item.segments ?: return null
        return deltaBetween(previous, segments).applyTo(previous)?.let { PlatformItem(item.key, item.revision, it) }
    }

    private class PastValue(val revision: Long, val value: SegmentedText)

    private companion object {
        /** A platform has one configuration. */
        const val MAXIMUM_ITEMS = 2

        /** Enough for a gateway that misses some changes in a row; the values share their segments. */
        const val VALUES_PER_ITEM = 8
    }
}
