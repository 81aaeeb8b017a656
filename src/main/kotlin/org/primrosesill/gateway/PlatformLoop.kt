/*
 * Keeps the directory up to date from the platform while this gateway is one of its readers: lists once, then watches,
 * and lists again when the platform no longer holds the changes since the last revision.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs on the control thread. */
internal class PlatformLoop(
    private val feed: PlatformFeed,
    private val directory: DirectoryManager,
    private val readsPlatform: () -> Boolean,
) {
    private var revisionCompacted = false

    /** Whether the last listing was made because the revision was compacted, and no watch has succeeded since. */
    private var listedAfterCompaction = false
    private var retryDelay = INITIAL_RETRY_DELAY

    suspend fun run(): Nothing {
        while (true) {
            when {
                revisionCompacted -> handleResult(list())
                !readsPlatform() -> delay(READER_CHECK_INTERVAL)
                directory.revision == PlatformRevision.NONE -> handleResult(list())
                else -> handleResult(watch())
            }
        }
    }

    private suspend fun handleResult(error: FeedError?) {
        when (error) {
            null -> if (!listedAfterCompaction) retryDelay = INITIAL_RETRY_DELAY
            is FeedError.Compacted -> {
                revisionCompacted = true
                // A listing that did not help is not repeated at once, as the platform has a limited rate of calls.
                if (listedAfterCompaction) backOff()
            }
            else -> {
                directory.recordPlatformFailure(error)
                backOff()
            }
        }
    }

    private suspend fun backOff() {
        delay(retryDelay)
        retryDelay = (retryDelay * 2).coerceAtMost(MAXIMUM_RETRY_DELAY)
    }

    private suspend fun list(): FeedError? =
        feed.list().fold({ it }, { listing ->
            directory.recordPlatformResponse()
            directory.applyListing(listing, SOURCE)
            listedAfterCompaction = revisionCompacted
            revisionCompacted = false
            null
        })

    private suspend fun watch(): FeedError? {
        val since = directory.revision
        return feed.watch(since, WATCH_TIMEOUT).fold({ it }, { changes ->
            directory.recordPlatformResponse()
            directory.applyChanges(since, changes, SOURCE)
            listedAfterCompaction = false
            if (changes.items.isNotEmpty()) delay(BATCHING_DELAY)
            null
        })
    }

    private companion object {
        const val SOURCE = "the platform"
        val READER_CHECK_INTERVAL = 200.milliseconds

        /** Bounds the time to detect a broken connection, and the time between responses that confirm the view. */
        val WATCH_TIMEOUT = 1.seconds

        /** Changes often arrive in bursts, and each call to the platform has a cost. */
        val BATCHING_DELAY = 100.milliseconds

        /** Short, as entries that expired during a platform outage are removed two seconds after its first response. */
        val INITIAL_RETRY_DELAY = 200.milliseconds
        val MAXIMUM_RETRY_DELAY = 500.milliseconds
    }
}
