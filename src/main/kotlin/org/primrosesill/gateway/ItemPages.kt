/*
 * The platform's items as responses to other gateways. Many of them request the same items within a second after a change,
 * so that a response is encoded and compressed once for all.
 */
package org.primrosesill.gateway

import kotlinx.serialization.encodeToString
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextDigest
import org.primrosesill.http.messageJson

/**
 * An encoded response.
 *
 * @property encodedAtMillis when it was encoded; the times in it are as of then
 */
internal class ItemPage(val bytes: ByteArray, val encodedAtMillis: Long) {
    val compressed: ByteArray by lazy(LazyThreadSafetyMode.NONE) { compress(bytes) }
}

/** Confined to the control thread. Times are milliseconds of a monotonic clock. */
internal class ItemPages(
    private val relay: ItemRelay,
    private val directory: DirectoryManager,
    private val nowMillis: () -> Long,
) {
    private val pages = LinkedHashMap<PageKey, ItemPage>()

    /**
     * Returns the items after [since] for a peer that has the large values with the digests [known], or all items if not all
     * changes after [since] are recorded.
     */
    fun page(since: PlatformRevision, known: Set<TextDigest>): ItemPage {
        val oldest = nowMillis() - MAXIMUM_AGE_MILLIS
        pages.values.removeIf { it.encodedAtMillis < oldest }
        val start = if (directory.recordedSinceLaterThan(since) == null) since else PlatformRevision.NONE
        val key = PageKey(directory.revision, start, known)
        pages[key]?.let { return it }
        if (pages.size >= MAXIMUM_PAGES) pages.remove(pages.keys.first())
        return encode(start, known).also { pages[key] = it }
    }

    private fun encode(since: PlatformRevision, known: Set<TextDigest>): ItemPage =
        ItemPage(messageJson.encodeToString(relay.itemsAfter(since, known)).toByteArray(), nowMillis())

    private data class PageKey(val revision: PlatformRevision, val since: PlatformRevision, val known: Set<TextDigest>)

    private companion object {
        const val MAXIMUM_AGE_MILLIS = 1_000L

        /** Peers that lack the same changes request the same page; each page may have a megabyte. */
        const val MAXIMUM_PAGES = 4
    }
}
