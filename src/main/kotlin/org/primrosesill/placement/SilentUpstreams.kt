/*
 * Which upstreams have fallen silent: they hold requests and say nothing. One router of a large fleet has too few requests at
 * one upstream to find out soon, so that routers tell each other. One router alone is not believed, since it may be cut off
 * from an upstream that is sound, and no more than a part of a pool is left out on hearsay.
 *
 * Load pattern: some engines of a large pool take requests and never answer, while their entries and health checks are good.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.UpstreamId

/**
 * One router's word that an upstream is silent.
 *
 * @property reporter short code of the router
 */
public data class SilenceReport(val upstream: UpstreamId, val reporter: String, val ageMillis: Long)

/**
 * Upstreams that have fallen silent.
 *
 * @property found by what this router has seen itself
 * @property believed by what several routers say
 */
public class SilenceNews(public val found: Set<UpstreamId>, public val believed: Set<UpstreamId>)

/** Safe to use from any thread. Times are milliseconds of a steady clock. */
public class SilentUpstreams(
    private val ownCode: String,
    private val activity: UpstreamActivity,
    private val nowMillis: () -> Long,
) {
    private val heard = HashMap<UpstreamId, HashMap<String, Long>>()
    private var last = SilenceNews(emptySet(), emptySet())

    /** Returns what has changed since the last call. */
    @Synchronized
    public fun news(): SilenceNews {
        dropOld()
        val before = last
        last = SilenceNews(activity.silentUpstreams(), heard.keys.filterTo(HashSet(), ::isSilent))
        return SilenceNews(last.found - before.found, last.believed - before.believed)
    }

    /** What this router and others found lately, for peers. */
    @Synchronized
    public fun reports(): List<SilenceReport> {
        dropOld()
        val own = activity.silentUpstreams().map { SilenceReport(it, ownCode, 0) }
        val others =
            heard.flatMap { (upstream, reporters) ->
                reporters.entries.take(NEEDED_REPORTERS).map { SilenceReport(upstream, it.key, nowMillis() - it.value) }
            }
        return (own + others).take(MAXIMUM_REPORTS)
    }

    /** Takes what peers found or pass on. */
    @Synchronized
    public fun accept(reports: List<SilenceReport>) {
        for (report in reports) {
            if (report.reporter == ownCode || report.ageMillis > EXPIRY_MILLIS) continue
            val reporters = heard.getOrPut(report.upstream) { HashMap() }
            reporters.merge(report.reporter, nowMillis() - report.ageMillis, ::maxOf)
        }
    }

    /** Returns [upstreams] without those that are silent by what several routers say. */
    @Synchronized
    public fun leaveOut(upstreams: List<KnownUpstream>): List<KnownUpstream> {
        dropOld()
        if (heard.isEmpty()) return upstreams
        val silent = upstreams.filter { isSilent(it.id) }
        return if (silent.size > upstreams.size * MAXIMUM_PART) upstreams else upstreams - silent.toSet()
    }

    private fun isSilent(upstream: UpstreamId): Boolean {
        val reporters = heard[upstream]?.size ?: return false
        val own = if (activity.isSilent(upstream)) 1 else 0
        return reporters + own >= NEEDED_REPORTERS && !activity.heardLately(upstream)
    }

    private fun dropOld() {
        if (heard.isEmpty()) return
        val earliest = nowMillis() - EXPIRY_MILLIS
        heard.values.forEach { reporters -> reporters.values.removeIf { it < earliest } }
        heard.values.removeIf { it.isEmpty() }
    }

    private companion object {
        const val NEEDED_REPORTERS = 2
        const val MAXIMUM_REPORTS = 100

        /** Some rounds of the exchange, after which an upstream is tried again unless it is still found silent. */
        const val EXPIRY_MILLIS = 2_500L

        /** Part of the upstreams to choose from. */
        const val MAXIMUM_PART = 0.34
    }
}
