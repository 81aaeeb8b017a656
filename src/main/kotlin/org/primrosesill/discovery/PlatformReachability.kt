/*
 * Since when the platform has answered without a break. Evidence is an answer to this router or, with its age, to another
 * one. A router that the platform turns away says nothing of the platform: others may be answered all the while.
 */
package org.primrosesill.discovery

/** Owned by the control thread. Times are milliseconds of a steady clock. */
public class PlatformReachability {
    private var answeredAtMillis: Long? = null
    private var sinceMillis: Long? = null

    /** When the calls of this router began to fail, or null while they are answered. */
    private var failingSinceMillis: Long? = null

    /** Records that the platform answered this router. */
    public fun answered(nowMillis: Long) {
        val failingSince = failingSinceMillis
        // Nobody was answered since the calls began to fail, so that the platform was away.
        if (failingSince != null && (answeredAtMillis ?: 0) < failingSince) sinceMillis = null
        failingSinceMillis = null
        answeredAt(nowMillis)
    }

    /** Records that a call of this router failed. */
    public fun failed(nowMillis: Long) {
        if (failingSinceMillis == null) failingSinceMillis = nowMillis
    }

    /** Records that the platform answered a router at [atMillis]. */
    public fun answeredAt(atMillis: Long) {
        val before = answeredAtMillis
        if (before != null && atMillis <= before) return
        if (before == null || atMillis - before > BREAK_MILLIS) sinceMillis = null
        sinceMillis = sinceMillis ?: atMillis
        answeredAtMillis = atMillis
    }

    /** Records that the platform has answered other routers without a break from [fromMillis] until [untilMillis]. */
    public fun answeredOthers(fromMillis: Long, untilMillis: Long) {
        answeredAt(untilMillis)
        val since = sinceMillis ?: return
        if (fromMillis < since && since <= untilMillis) sinceMillis = fromMillis
    }

    /** How long ago the platform answered a router, or null when that was never heard. */
    public fun answeredAgo(nowMillis: Long): Long? = answeredAtMillis?.let { nowMillis - it }

    /** Returns since when the platform has answered without a break, or null when it does not seem to answer. */
    public fun since(nowMillis: Long): Long? {
        val ago = answeredAgo(nowMillis) ?: return null
        return sinceMillis?.takeIf { ago <= BREAK_MILLIS }
    }

    private companion object {
        /** Shorter than the two heartbeats of upstreams after which entries can lapse while the platform is away. */
        const val BREAK_MILLIS = 2_000L
    }
}
