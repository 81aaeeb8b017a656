/*
 * Measures for how long this gateway has been behind the newest revision that peers report, and describes a long lag.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.PlatformRevision

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class ViewLag {
    private var newestRevision = PlatformRevision.NONE
    private var newestRevisionPeer = ""
    private var behindSinceMillis: Long? = null
    private var reportedAtMillis = Long.MIN_VALUE / 2

    /** Records that the peer at [address] holds [revision], while this gateway holds [ownRevision]. */
    fun observe(revision: PlatformRevision, address: String, ownRevision: PlatformRevision, nowMillis: Long) {
        if (revision > newestRevision) {
            newestRevision = revision
            newestRevisionPeer = address
        }
        update(ownRevision, nowMillis)
    }

    /** Returns the time for which this gateway has been behind, or 0 if it is not. */
    fun behindMillis(ownRevision: PlatformRevision, nowMillis: Long): Long {
        update(ownRevision, nowMillis)
        return behindSinceMillis?.let { nowMillis - it } ?: 0
    }

    /**
     * Returns a description of the lag if it has lasted for [REPORT_AFTER_MILLIS], at most once in
     * [REPORT_INTERVAL_MILLIS], or null.
     */
    fun report(ownRevision: PlatformRevision, nowMillis: Long): String? {
        val behind = behindMillis(ownRevision, nowMillis)
        if (behind < REPORT_AFTER_MILLIS || nowMillis - reportedAtMillis < REPORT_INTERVAL_MILLIS) return null
        reportedAtMillis = nowMillis
        return "revision $newestRevision held by $newestRevisionPeer, own revision $ownRevision, behind for $behind ms"
    }

    private fun update(ownRevision: PlatformRevision, nowMillis: Long) {
        behindSinceMillis = if (ownRevision >= newestRevision) null else behindSinceMillis ?: nowMillis
    }

    private companion object {
        const val REPORT_AFTER_MILLIS = 800L
        const val REPORT_INTERVAL_MILLIS = 1_000L
    }
}
