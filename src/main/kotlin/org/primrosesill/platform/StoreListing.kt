/*
 * Lists the items of the platform's store that gateways use, page by page. The pages may have any number of values of a
 * megabyte that nobody can use; of these, only a limited number of short replacements is kept.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import java.util.Arrays
import kotlin.time.Duration.Companion.milliseconds

/**
 * One page of items in ascending order of their keys.
 *
 * @property items the items with limited values
 * @property hasMore whether further items follow
 */
internal class StorePage(val revision: PlatformRevision, val items: List<PlatformItem>, val hasMore: Boolean)

/**
 * One listing.
 *
 * @param fetch returns the page that begins after the given key, or the first one
 * @param onProgress receives the items in use of each page that is followed by another one
 */
internal class StoreListing(
    private val fetch: suspend (after: String?) -> Either<FeedError, StorePage>,
    private val onProgress: (PlatformListing) -> Unit,
) {
    private val items = ListedItems(storeItemDecoder())

    /** Returns all items that gateways use, or the error of the first page that could not be fetched. */
    suspend fun run(): Either<FeedError, PlatformListing> {
        val first = fetch(null).fold({ return it.left() }, { it })
        var page = first
        items.add(page.items)
        repeat(MAXIMUM_PAGES - 1) {
            val start = startAfter(page) ?: return listingAt(first.revision).right()
            onProgress(PlatformListing(first.revision, page.items.filter(items::isUsable)))
            page = fetchPage(start, first.revision.era).fold({ return it.left() }, { it })
            items.add(page.items)
        }
        return FeedError.Malformed("the listing has over $MAXIMUM_PAGES pages").left()
    }

    /**
     * Later pages may have higher revisions than the first one. The watch starts at [revision], that of the first page, so that
     * it returns all changes made during the listing.
     */
    private fun listingAt(revision: PlatformRevision) = PlatformListing(revision, items.all)

    private suspend fun fetchPage(start: String, era: Long): Either<FeedError, StorePage> =
        fetchAgain(start).flatMap { page ->
            val error = orderError(start, page) ?: eraError(era, page)
            error?.left() ?: page.right()
        }

    /** Fetches a page, and repeats a failed call, so that the pages before need not be fetched again. */
    private suspend fun fetchAgain(after: String): Either<FeedError, StorePage> {
        repeat(MAXIMUM_PAGE_CALLS - 1) {
            val result = fetch(after)
            val isTransient = result.leftOrNull().let { it is FeedError.Unavailable || it is FeedError.Incomplete }
            if (!isTransient) return result
            delay(PAGE_RETRY_DELAY)
        }
        return fetch(after)
    }

    /** Returns why [page] does not follow [start], after which the listing could repeat itself, or null if it does. */
    private fun orderError(start: String, page: StorePage): FeedError? {
        val last = page.items.lastOrNull()?.key ?: return null
        return if (start.isBefore(last)) {
            null
        } else {
            FeedError.Malformed("the page after '${start.take(20)}' ends with '${last.take(20)}'")
        }
    }

    private fun eraError(era: Long, page: StorePage): FeedError? =
        if (page.revision.era == era) {
            null
        } else {
            FeedError.Unavailable("the store was restored from a copy during the listing")
        }

    /** Returns the key after which the page after [page] begins, or null if all keys that gateways use were listed. */
    private fun startAfter(page: StorePage): String? {
        val last = page.items.lastOrNull()?.key
        if (!page.hasMore || last == null) return null
        return when {
            last.isBefore(BEFORE_OPERATOR_KEYS) -> BEFORE_OPERATOR_KEYS
            last.isBefore(AFTER_OPERATOR_KEYS) -> last
            last.isBefore(BEFORE_SERVER_KEYS) -> BEFORE_SERVER_KEYS
            last.isBefore(AFTER_SERVER_KEYS) -> last
            else -> null
        }
    }

    private companion object {
        /** The character before '/' in the order of keys is '.', and the one after it '0'. */
        const val BEFORE_OPERATOR_KEYS = "op."
        const val AFTER_OPERATOR_KEYS = "op0"
        const val BEFORE_SERVER_KEYS = "servers."
        const val AFTER_SERVER_KEYS = "servers0"

        const val MAXIMUM_PAGES = 1_000
        const val MAXIMUM_PAGE_CALLS = 3
        val PAGE_RETRY_DELAY = 200.milliseconds
    }
}

/** Returns whether gateways use items under [key]. */
internal fun isUsedKey(key: String): Boolean = key.startsWith(OPERATOR_PREFIX) || key.startsWith(SERVER_PREFIX)

/** Keys are in the order of their bytes. */
private fun String.isBefore(other: String): Boolean = Arrays.compareUnsigned(toByteArray(), other.toByteArray()) < 0

/** The items of a listing. From a number on, those without a use are left out, as if they were deleted. */
private class ListedItems(private val decoder: PlatformItemDecoder) {
    private val items = ArrayList<PlatformItem>()
    private var nextCheckSize = MAXIMUM_UNCHECKED_ITEMS

    val all: List<PlatformItem> get() = items

    fun add(page: List<PlatformItem>) {
        page.filterTo(items) { isUsedKey(it.key) }
        if (items.size < nextCheckSize) return
        items.removeIf { !isUsable(it) }
        nextCheckSize = items.size + MAXIMUM_UNCHECKED_ITEMS
    }

    /** Returns whether [item] is the configuration, an evacuated zone or an upstream. */
    fun isUsable(item: PlatformItem): Boolean {
        if (!isUsedKey(item.key)) return false
        if (decoder.isConfiguration(item.key)) return true
        val decoded = decoder.decode(item)
        return decoded !is DecodedItem.Invalid && decoded != DecodedItem.Unrelated
    }

    private companion object {
        const val MAXIMUM_UNCHECKED_ITEMS = 4_096
    }
}
