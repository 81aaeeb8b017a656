/*
 * Keeps the directory up to date from the platform while this gateway is to read it: lists once, then watches, and lists
 * again when the history is gone.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs on the control thread. */
internal class PlatformLoop(
    private val feed: PlatformFeed,
    private val keeper: DirectoryKeeper,
    private val reads: () -> Boolean,
) {
    private var historyGone = false
    private var pause = RETRY_PAUSE

    suspend fun run(): Nothing {
        while (true) {
            when {
                historyGone -> finish(list())
                !reads() -> delay(DUTY_CHECK)
                keeper.revision == 0L -> finish(list())
                else -> finish(watch())
            }
        }
    }

    private suspend fun finish(error: FeedError?) {
        when (error) {
            null -> pause = RETRY_PAUSE
            is FeedError.HistoryGone -> historyGone = true
            else -> {
                keeper.platformFailed(error)
                delay(pause)
                pause = (pause * 2).coerceAtMost(MAXIMUM_RETRY_PAUSE)
            }
        }
    }

    private suspend fun list(): FeedError? =
        feed.list().fold({ it }, { listing ->
            keeper.platformAnswered()
            keeper.take(listing, SOURCE)
            historyGone = false
            null
        })

    private suspend fun watch(): FeedError? {
        val since = keeper.revision
        return feed.watch(since, WATCH_TIME).fold({ it }, { changes ->
            keeper.platformAnswered()
            keeper.take(since, changes, SOURCE)
            if (changes.items.isNotEmpty()) delay(PAUSE)
            null
        })
    }

    private companion object {
        const val SOURCE = "the platform"
        val DUTY_CHECK = 200.milliseconds

        /** A connection that fell silent is found out after that time, and others hear that the view is fresh. */
        val WATCH_TIME = 1.seconds

        /** Changes often come in groups, and each call to the platform costs something. */
        val PAUSE = 100.milliseconds

        /** Entries that lapsed while the platform was away have two seconds to return, counted from its first answer. */
        val RETRY_PAUSE = 200.milliseconds
        val MAXIMUM_RETRY_PAUSE = 500.milliseconds
    }
}
