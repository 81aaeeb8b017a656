/*
 * How fresh the view of this gateway is. Evidence is an answer of the platform, to this gateway or to another one whose view
 * is not newer; it is passed on with its age.
 */
package org.primrosesill.gateway

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class PlatformFreshness {
    private var provenAtMillis: Long? = null

    /** Records that the platform answered this gateway. */
    fun prove(nowMillis: Long) {
        provenAtMillis = nowMillis
    }

    /** Takes what a peer with the revision [peerRevision] knows of the platform's state [ageMillis] ago. */
    fun accept(peerRevision: Long, ownRevision: Long, ageMillis: Long, nowMillis: Long) {
        if (ageMillis < 0 || peerRevision > ownRevision) return
        provenAtMillis = maxOf(provenAtMillis ?: Long.MIN_VALUE, nowMillis - ageMillis)
    }

    /** How long ago the view was the newest one, or null when that was never seen. */
    fun ageMillis(nowMillis: Long): Long? = provenAtMillis?.let { nowMillis - it }
}
