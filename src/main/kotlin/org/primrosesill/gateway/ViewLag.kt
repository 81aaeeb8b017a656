/*
 * How long this gateway has known of a revision of the platform that it lacks. Says in the log why, while it lasts.
 */
package org.primrosesill.gateway

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class ViewLag {
    private var newestHeard = 0L
    private var toldBy = ""
    private var behindSinceMillis: Long? = null
    private var notedAtMillis = Long.MIN_VALUE / 2

    /** Takes that the gateway at [address] knows [revision], while this one knows [ownRevision]. */
    fun heard(revision: Long, address: String, ownRevision: Long, nowMillis: Long) {
        if (revision > newestHeard) {
            newestHeard = revision
            toldBy = address
        }
        update(ownRevision, nowMillis)
    }

    /** Returns for how long this gateway has lacked a revision, or 0 when it lacks none. */
    fun behindMillis(ownRevision: Long, nowMillis: Long): Long {
        update(ownRevision, nowMillis)
        return behindSinceMillis?.let { nowMillis - it } ?: 0
    }

    /** Returns a line for the log when this gateway has been behind for long and has not said so lately. */
    fun note(ownRevision: Long, nowMillis: Long): String? {
        val behind = behindMillis(ownRevision, nowMillis)
        if (behind < NOTED_AFTER_MILLIS || nowMillis - notedAtMillis < NOTED_EVERY_MILLIS) return null
        notedAtMillis = nowMillis
        return "revision $newestHeard is known to $toldBy, own revision $ownRevision, behind for $behind ms"
    }

    private fun update(ownRevision: Long, nowMillis: Long) {
        behindSinceMillis = if (ownRevision >= newestHeard) null else behindSinceMillis ?: nowMillis
    }

    private companion object {
        const val NOTED_AFTER_MILLIS = 800L
        const val NOTED_EVERY_MILLIS = 1_000L
    }
}
