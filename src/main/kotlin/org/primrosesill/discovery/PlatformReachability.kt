/*
 * Tracks since when the platform has responded without interruption. Responses to other gateways count as well, each at
 * the time given by its age. A failed call of one gateway does not count as an outage of the platform, because other
 * gateways may still receive responses.
 */
package org.primrosesill.discovery

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
public class PlatformReachability {
    private var lastResponseMillis: Long? = null
    private var respondingSinceMillis: Long? = null

    /** When this gateway received the platform's content after its last restoration from a copy. */
    private var restoredAtMillis: Long? = null

    /** When the calls of this gateway began to fail, or null while they succeed. */
    private var failingSinceMillis: Long? = null

    /** Records that the platform responded to this gateway. */
    public fun recordResponse(nowMillis: Long) {
        val failingSince = failingSinceMillis
        // No gateway has received a response since the calls began to fail: the platform was unavailable.
        if (failingSince != null && (lastResponseMillis ?: 0) < failingSince) respondingSinceMillis = null
        failingSinceMillis = null
        recordResponseAt(nowMillis)
    }

    /** Records that a call of this gateway failed. */
    public fun recordFailure(nowMillis: Long) {
        if (failingSinceMillis == null) failingSinceMillis = nowMillis
    }

    /** Records that the platform responded to any gateway at [atMillis]. */
    public fun recordResponseAt(atMillis: Long) {
        val previousMillis = lastResponseMillis
        if (previousMillis != null && atMillis <= previousMillis) return
        if (previousMillis == null || atMillis - previousMillis > MAXIMUM_GAP_MILLIS) respondingSinceMillis = null
        respondingSinceMillis = respondingSinceMillis ?: atMillis
        lastResponseMillis = atMillis
    }

    /**
     * Records that the platform responded to other gateways without interruption from [fromMillis] until [untilMillis].
     */
    public fun recordPeerResponses(fromMillis: Long, untilMillis: Long) {
        recordResponseAt(untilMillis)
        val since = respondingSinceMillis ?: return
        if (fromMillis < since && since <= untilMillis) respondingSinceMillis = fromMillis
    }

    /**
     * Records that the platform was restored from a copy. Entries of live upstreams may be missing, as after an outage, also
     * when no gateway has noticed one.
     */
    public fun recordRestoration(nowMillis: Long) {
        restoredAtMillis = nowMillis
    }

    /**
     * Returns the milliseconds since the last response of the platform to any gateway, or null before the first one.
     */
    public fun lastResponseAgeMillis(nowMillis: Long): Long? = lastResponseMillis?.let { nowMillis - it }

    /**
     * Returns since when the platform has responded without an interruption or a restoration, or null when it seems to be
     * unavailable.
     */
    public fun upSince(nowMillis: Long): Long? {
        val age = lastResponseAgeMillis(nowMillis) ?: return null
        val since = respondingSinceMillis?.takeIf { age <= MAXIMUM_GAP_MILLIS } ?: return null
        return maxOf(since, restoredAtMillis ?: since)
    }

    private companion object {
        /**
         * Longest time between two responses that does not count as an interruption. It is shorter than the two
         * heartbeats of upstreams after which entries can expire during an outage of the platform.
         */
        const val MAXIMUM_GAP_MILLIS = 2_000L
    }
}
