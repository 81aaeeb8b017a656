/*
 * Keeps the directory up to date from the platform while this gateway is one of its readers: lists once, then watches,
 * and lists again when the changes since the last revision cannot be received.
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
    private val sequence = PlatformCallSequence()
    private var retryDelay = INITIAL_RETRY_DELAY

    suspend fun run(): Nothing {
        while (true) {
            when (sequence.next(directory.revision, readsPlatform())) {
                null -> delay(READER_CHECK_INTERVAL)
                PlatformCall.LIST -> handleResult(PlatformCall.LIST, list())
                PlatformCall.WATCH -> handleResult(PlatformCall.WATCH, watch())
            }
        }
    }

    private suspend fun handleResult(call: PlatformCall, error: FeedError?) {
        sequence.record(call, error)
        if (error != null && error !is FeedError.Compacted) directory.recordPlatformFailure(error)
        if (sequence.needsDelay) {
            backOff()
        } else if (call == PlatformCall.WATCH && error == null) {
            retryDelay = INITIAL_RETRY_DELAY
        }
    }

    private suspend fun backOff() {
        delay(retryDelay)
        retryDelay = (retryDelay * 2).coerceAtMost(MAXIMUM_RETRY_DELAY)
    }

    private suspend fun list(): FeedError? =
        ProgressiveListing(feed, directory, SOURCE, WATCH_TIMEOUT).run().fold({ it }, { listing ->
            directory.recordPlatformResponse()
            directory.applyListing(listing, SOURCE)
            null
        })

    private suspend fun watch(): FeedError? {
        val since = directory.revision
        return feed.watch(since, WATCH_TIMEOUT).fold({ it }, { changes ->
            directory.recordPlatformResponse()
            directory.applyChanges(since, changes, SOURCE)
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
