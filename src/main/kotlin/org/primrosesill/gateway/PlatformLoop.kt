/*
 * Keeps the directory up to date from the platform: lists once, then watches, and lists again when the history is gone.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs on the control thread.
 *
 * @param wait how long a watch may wait; a connection that fell silent is found out after that time
 */
internal class PlatformLoop(
    private val feed: PlatformFeed,
    private val keeper: DirectoryKeeper,
    private val wait: () -> Duration,
) {
    private var listed = false

    suspend fun run(): Nothing {
        while (true) {
            val error = if (listed) watch() else list()
            when (error) {
                null -> keeper.platformAnswered()
                is FeedError.HistoryGone -> listed = false
                else -> {
                    keeper.platformFailed(error)
                    delay(RETRY_PAUSE)
                }
            }
        }
    }

    private suspend fun list(): FeedError? =
        feed.list().fold({ it }, { listing ->
            keeper.platformAnswered()
            keeper.take(listing, SOURCE)
            listed = true
            null
        })

    private suspend fun watch(): FeedError? {
        val since = keeper.revision
        return feed.watch(since, wait()).fold({ it }, { changes ->
            keeper.platformAnswered()
            keeper.take(since, changes, SOURCE)
            if (changes.items.isNotEmpty()) delay(PAUSE)
            null
        })
    }

    private companion object {
        const val SOURCE = "the platform"

        /** Changes often come in groups, and each call to the platform costs something. */
        val PAUSE = 100.milliseconds

        /** Entries that lapsed while the platform was away have two seconds to return, counted from its first answer. */
        val RETRY_PAUSE = 200.milliseconds
    }
}
