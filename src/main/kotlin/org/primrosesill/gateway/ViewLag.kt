/*
 * Measures for how long this gateway has known of a revision of the platform that it lacks, and reports a lag that
 * lasts.
 */
package org.primrosesill.gateway

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class ViewLag {
    private var newestRevision = 0L
    private var newestHolder = ""
    private var behindSinceMillis: Long? = null
    private var reportedAtMillis = Long.MIN_VALUE / 2

    /** Records that the gateway at [address] holds [revision], while this one holds [ownRevision]. */
    fun observe(revision: Long, address: String, ownRevision: Long, nowMillis: Long) {
        if (revision > newestRevision) {
            newestRevision = revision
            newestHolder = address
        }
        update(ownRevision, nowMillis)
    }

    /** Returns the time for which this gateway has lacked a known revision, or 0 if it lacks none. */
    fun behindMillis(ownRevision: Long, nowMillis: Long): Long {
        update(ownRevision, nowMillis)
        return behindSinceMillis?.let { nowMillis - it } ?: 0
    }

    /** Returns a log line if this gateway has been behind for long and has not reported that lately, or null. */
    fun report(ownRevision: Long, nowMillis: Long): String? {
        val behind = behindMillis(ownRevision, nowMillis)
        if (behind < REPORT_AFTER_MILLIS || nowMillis - reportedAtMillis < REPORT_INTERVAL_MILLIS) return null
        reportedAtMillis = nowMillis
        return "revision $newestRevision is held by $newestHolder, own revision $ownRevision, behind for $behind ms"
    }

    private fun update(ownRevision: Long, nowMillis: Long) {
        behindSinceMillis = if (ownRevision >= newestRevision) null else behindSinceMillis ?: nowMillis
    }

    private companion object {
        const val REPORT_AFTER_MILLIS = 800L
        const val REPORT_INTERVAL_MILLIS = 1_000L
    }
}
