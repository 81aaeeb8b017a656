/*
 * Freshness of this gateway's view. A response of the platform confirms it, whether to this gateway or to another
 * one whose view is not newer; gateways relay the age of such a response.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.PlatformRevision

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class PlatformFreshness {
    private var confirmedAtMillis: Long? = null

    /** Records that the platform responded to this gateway. */
    fun confirm(nowMillis: Long) {
        confirmedAtMillis = nowMillis
    }

    /**
     * Records that a peer's view at [peerRevision] was the newest one [ageMillis] ago; negative means unknown. Nothing is
     * known of the own view when the peer's is newer, or of another era of the platform.
     */
    fun recordPeerAge(
        peerRevision: PlatformRevision,
        ownRevision: PlatformRevision,
        ageMillis: Long,
        nowMillis: Long,
    ) {
        if (ageMillis < 0 || peerRevision.era != ownRevision.era || peerRevision > ownRevision) return
        confirmedAtMillis = maxOf(confirmedAtMillis ?: Long.MIN_VALUE, nowMillis - ageMillis)
    }

    /** Returns the time since the view was confirmed as the newest one, or null if it never was. */
    fun ageMillis(nowMillis: Long): Long? = confirmedAtMillis?.let { nowMillis - it }
}
