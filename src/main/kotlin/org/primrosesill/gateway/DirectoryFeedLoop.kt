/*
 * Keeps the directory up to date from the platform: lists once, then watches, and lists again when the history is gone.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import org.primrosesill.discovery.DirectoryChange
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.UpstreamDirectory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs on the control thread. */
internal class DirectoryFeedLoop(
    private val feed: PlatformFeed,
    private val directory: UpstreamDirectory,
    private val wait: () -> Duration,
    private val nowMillis: () -> Long,
    private val publish: (List<DirectoryChange>) -> Unit,
    private val failed: (FeedError) -> Unit,
) {
    private var listed = false

    suspend fun run(): Nothing {
        while (true) {
            val error = if (listed) watch() else list()
            if (error == null) {
                directory.platformAnswered(nowMillis())
            } else {
                failed(error)
                if (error is FeedError.HistoryGone) listed = false else directory.platformFailed()
                if (error !is FeedError.HistoryGone) delay(RETRY_PAUSE)
            }
        }
    }

    private suspend fun list(): FeedError? =
        feed.list().fold({ it }, { listing ->
            directory.platformAnswered(nowMillis())
            publish(directory.applyListing(listing, nowMillis()))
            listed = true
            null
        })

    private suspend fun watch(): FeedError? {
        val since = directory.revision
        return feed.watch(since, wait()).fold({ it }, { page ->
            directory.platformAnswered(nowMillis())
            publish(directory.applyChanges(since, page, nowMillis()))
            null
        })
    }

    private companion object {
        val RETRY_PAUSE = 250.milliseconds
    }
}
