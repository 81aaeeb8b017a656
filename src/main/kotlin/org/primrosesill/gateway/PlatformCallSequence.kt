/*
 * Decides whether the next call to the platform lists all items or watches for changes. A watch that cannot succeed from its
 * revision is not repeated unchanged: a listing has each item once, however often it was written meanwhile.
 *
 * Load pattern: an operator writes large configurations faster than a gateway decodes them, so that the response to a watch
 * exceeds its limits, and every later one from the same revision does so too.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformRevision

/** A call to the platform. */
internal enum class PlatformCall { LIST, WATCH }

/** Owned by the control thread. */
internal class PlatformCallSequence {
    /** Whether the platform no longer has the changes after the revision of this gateway. */
    private var isCompacted = false

    /** Whether the changes after the revision of this gateway could not be received. */
    private var isWatchUnusable = false

    /** Whether the last listing replaced a failed watch, and no watch has succeeded since. */
    private var hasListedAgain = false

    /** Whether the next call delays, as the last one did not help and the platform has a limited rate of calls. */
    var needsDelay = false
        private set

    /** Returns the next call of a gateway with the items up to [revision], or null if it makes none. */
    fun next(revision: PlatformRevision, readsPlatform: Boolean): PlatformCall? =
        when {
            isCompacted -> PlatformCall.LIST
            !readsPlatform -> null
            isWatchUnusable || revision == PlatformRevision.NONE -> PlatformCall.LIST
            else -> PlatformCall.WATCH
        }

    /** Records the result of [call]; [error] is null if it succeeded. */
    fun record(call: PlatformCall, error: FeedError?) {
        when (call) {
            PlatformCall.LIST -> recordListing(error)
            PlatformCall.WATCH -> recordWatch(error)
        }
    }

    private fun recordListing(error: FeedError?) {
        needsDelay = error != null
        if (error == null) hasListedAgain = isCompacted || isWatchUnusable
        if (error == null) isCompacted = false
        // After a listing that failed too, the watch may succeed again.
        isWatchUnusable = false
    }

    private fun recordWatch(error: FeedError?) {
        needsDelay = error is FeedError.Unavailable || (error != null && hasListedAgain)
        isCompacted = error is FeedError.Compacted
        isWatchUnusable = error is FeedError.Malformed || error is FeedError.Incomplete
        if (error == null) hasListedAgain = false
    }
}
