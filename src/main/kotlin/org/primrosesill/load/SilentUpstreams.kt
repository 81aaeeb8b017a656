/*
 * Detects upstreams that are silent: they have requests in flight and send nothing. In a large fleet a single router has
 * too few requests at one upstream to detect this quickly, so routers send each other reports. The report of a single router
 * does not exclude an upstream, since that router may be partitioned from a healthy upstream. Reports exclude at most a
 * fraction of a pool.
 *
 * Load pattern: some engines of a large pool accept requests and never respond, while their directory entries and health
 * checks are good.
 */
package org.primrosesill.load

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.UpstreamId

/**
 * The report of one router that an upstream is silent.
 *
 * @property reporter short code of the router
 */
public data class SilenceReport(val upstream: UpstreamId, val reporter: String, val ageMillis: Long)

/**
 * Upstreams that have become silent.
 *
 * @property detected upstreams that this router has detected itself
 * @property confirmed upstreams that several routers have reported
 */
public class SilenceChanges(public val detected: Set<UpstreamId>, public val confirmed: Set<UpstreamId>)

/** Thread-safe. Times are milliseconds of a monotonic clock. */
public class SilentUpstreams(
    private val ownCode: String,
    private val activity: UpstreamActivity,
    private val nowMillis: () -> Long,
) {
    private val reportTimes = HashMap<UpstreamId, HashMap<String, Long>>()
    private var current = SilenceChanges(emptySet(), emptySet())

    /** Returns the upstreams that have become silent since the last call. */
    @Synchronized
    public fun changes(): SilenceChanges {
        removeExpired()
        val previous = current
        current = SilenceChanges(activity.silentUpstreams(), reportTimes.keys.filterTo(HashSet(), ::isConfirmed))
        return SilenceChanges(current.detected - previous.detected, current.confirmed - previous.confirmed)
    }

    /** Returns the current reports of this router and the recent reports of others, to be sent to peers. */
    @Synchronized
    public fun reports(): List<SilenceReport> {
        removeExpired()
        val own = activity.silentUpstreams().map { SilenceReport(it, ownCode, 0) }
        val others =
            reportTimes.flatMap { (upstream, reporters) ->
                reporters.entries.take(REPORT_QUORUM).map { SilenceReport(upstream, it.key, nowMillis() - it.value) }
            }
        return (own + others).take(MAXIMUM_REPORTS)
    }

    /** Adds reports received from a peer, which may include those of other routers. */
    @Synchronized
    public fun addReports(reports: List<SilenceReport>) {
        for (report in reports) {
            if (report.reporter == ownCode || report.ageMillis > EXPIRY_MILLIS) continue
            val reporters = reportTimes.getOrPut(report.upstream) { HashMap() }
            reporters.merge(report.reporter, nowMillis() - report.ageMillis, ::maxOf)
        }
    }

    /**
     * Returns [upstreams] without those that several routers report as silent, or all [upstreams] if more than
     * [MAXIMUM_EXCLUDED_FRACTION] of them are reported.
     */
    @Synchronized
    public fun withoutSilent(upstreams: List<KnownUpstream>): List<KnownUpstream> {
        removeExpired()
        if (reportTimes.isEmpty()) return upstreams
        val silent = upstreams.filter { isConfirmed(it.id) }
        return if (silent.size > upstreams.size * MAXIMUM_EXCLUDED_FRACTION) upstreams else upstreams - silent.toSet()
    }

    /** Returns whether enough routers report [upstream] and it has sent nothing to this router recently. */
    private fun isConfirmed(upstream: UpstreamId): Boolean {
        val reporters = reportTimes[upstream]?.size ?: return false
        val own = if (activity.isSilent(upstream)) 1 else 0
        return reporters + own >= REPORT_QUORUM && !activity.hasRecentData(upstream)
    }

    private fun removeExpired() {
        if (reportTimes.isEmpty()) return
        val earliest = nowMillis() - EXPIRY_MILLIS
        reportTimes.values.forEach { reporters -> reporters.values.removeIf { it < earliest } }
        reportTimes.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Reporters, including this router, that are sufficient to exclude an upstream. */
        const val REPORT_QUORUM = 2
        const val MAXIMUM_REPORTS = 100

        /** Several rounds of the exchange. An upstream is retried after this unless routers still detect its silence. */
        const val EXPIRY_MILLIS = 2_500L

        /** Fraction of the eligible upstreams that reports may exclude. */
        const val MAXIMUM_EXCLUDED_FRACTION = 0.34
    }
}
