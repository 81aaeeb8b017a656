/*
 * Lists the platform, and applies what is known before the end of a listing that takes long: its pages, and the changes that are
 * made meanwhile.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One listing. Runs on the control thread.
 *
 * @param watchTimeout time for which a watch of the changes waits
 */
internal class ProgressiveListing(
    private val feed: PlatformFeed,
    private val directory: DirectoryManager,
    private val source: String,
    private val watchTimeout: Duration,
) {
    private val pendingItems = ArrayList<PlatformItem>()

    /** Revision of the first page, or [PlatformRevision.NONE] before it. */
    private var revision = PlatformRevision.NONE
    private var isLong = false

    /** Returns the complete content of the platform, which is not applied yet, or why it could not be listed. */
    suspend fun run(): Either<FeedError, PlatformListing> {
        // Does not wait for the end of the launched coroutine, as the content would be applied later.
        val longListing = CoroutineScope(currentCoroutineContext()).launch { applyWhileLong() }
        try {
            return feed.list(::add)
        } finally {
            longListing.cancel()
        }
    }

    /**
     * Applies a page at once if this gateway has a view, or if the listing takes long: a view of a part of the upstreams is better
     * than an outdated one or none for long, but overloads them while all are about to be known.
     */
    private fun add(page: PlatformListing) {
        revision = page.revision
        pendingItems += page.items
        if (isLong || directory.revision != PlatformRevision.NONE) applyPending()
    }

    private fun applyPending() {
        directory.applyIncompleteListing(PlatformListing(revision, pendingItems.toList()), source)
        pendingItems.clear()
    }

    private suspend fun applyWhileLong() {
        delay(USUAL_LISTING_TIME)
        isLong = true
        if (revision == PlatformRevision.NONE) return
        applyPending()
        applyChanges()
    }

    /** Applies changes until a watch fails. */
    private suspend fun applyChanges() {
        var since = revision
        while (true) {
            val changes = feed.watch(since, watchTimeout).getOrElse { return }
            directory.applyIncompleteListing(PlatformListing(changes.revision, changes.items), source)
            since = changes.revision
            delay(BATCHING_DELAY)
        }
    }

    private companion object {
        /** Time in which a listing is complete unless the platform is slow or has very large values. */
        val USUAL_LISTING_TIME = 2.seconds

        /** Limits the rate of calls to the platform. */
        val BATCHING_DELAY = 100.milliseconds
    }
}
