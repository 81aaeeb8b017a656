/*
 * The items of a directory, each at the highest revision received. Items that name nothing to use, because they were deleted
 * or cannot be decoded, are kept as long as a peer may have to be informed of them, and only up to a number: any number of
 * them may be written to the platform.
 */
package org.primrosesill.discovery

/** What a directory does with an item. */
internal enum class ItemUse {
    /** It is the configuration, an evacuated zone or an upstream. */
    USED,

    /** It was deleted, or the directory has no use for its key. */
    NONE,

    /** Its value cannot be decoded. */
    INVALID,
}

/**
 * Owned by the control thread.
 *
 * @param maximumUnused number of items without a use up to which all are kept
 */
internal class DirectoryItems(private val maximumUnused: Int) {
    private val recordsByKey = HashMap<String, ItemRecord>()
    private var unusedCount = 0

    val values: List<PlatformItem> get() = recordsByKey.values.map { it.item }

    operator fun get(key: String): PlatformItem? = recordsByKey[key]?.item

    /** Returns whether the item under [key] has a value that cannot be decoded. */
    fun isInvalid(key: String): Boolean = recordsByKey[key]?.use == ItemUse.INVALID

    /** Records [item] in place of an earlier one under its key. */
    fun put(item: PlatformItem, use: ItemUse) {
        val previous = recordsByKey.put(item.key, ItemRecord(item, use))
        if (previous != null && previous.use != ItemUse.USED) unusedCount--
        if (use != ItemUse.USED) unusedCount++
    }

    fun clear() {
        recordsByKey.clear()
        unusedCount = 0
    }

    /**
     * Removes the oldest items without a use, up to [revision], if there are more than the maximum. Returns the highest
     * revision of a removed item, or null if none was removed.
     */
    fun removeExcess(revision: Long): Long? {
        if (unusedCount <= maximumUnused) return null
        val unused = recordsByKey.values.filter { it.use != ItemUse.USED && it.item.revision <= revision }
        // Removes more than the excess, so that not every further item causes a search.
        val kept = maximumUnused / 2
        val removed = unused.sortedBy { it.item.revision }.dropLast(kept)
        removed.forEach { recordsByKey.remove(it.item.key) }
        unusedCount -= removed.size
        return removed.lastOrNull()?.item?.revision
    }

    private class ItemRecord(val item: PlatformItem, val use: ItemUse)
}
