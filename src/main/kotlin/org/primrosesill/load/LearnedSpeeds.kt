/*
 * Learns the speeds of upstreams from what they report, from durations that this gateway measures, and from gossip.
 *
 * Load pattern: a few engines of a pool become several times as slow as the others for some seconds and do not report it. The
 * streams that are in flight there show it in the time between their events. A single gateway has few streams at an engine,
 * so gateways send each other the slowness that they measure.
 */
package org.primrosesill.load

import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Work whose durations at different upstreams can be compared; [route] is null for the events of streams. */
private data class ComparableWork(val pool: PoolId, val route: String?)

internal class LearnedSpeeds(private val isEnabled: () -> Boolean, private val nowMillis: () -> Long) :
    SpeedObservations {
    private val upstreams = ConcurrentHashMap<UpstreamId, LearnedSpeed>()
    private val durations = ConcurrentHashMap<ComparableWork, PoolDurations>()
    private val prefillRates = ConcurrentHashMap<PoolId, PrefillRate>()

    override fun slowness(upstream: UpstreamId): Double =
        if (isEnabled()) upstreams[upstream]?.slowness(nowMillis()) ?: 1.0 else 1.0

    override fun prefillTokensPerMillisecond(pool: PoolId): Double =
        prefillRates[pool]?.takeIf { isEnabled() }?.tokensPerMillisecond ?: DEFAULT_PREFILL_TOKENS_PER_MILLISECOND

    override fun estimate(upstream: UpstreamId): SpeedEstimate? =
        upstreams[upstream]?.takeIf { isEnabled() }?.estimate(nowMillis())

    override fun recordReported(upstream: UpstreamId, slowness: Double, report: ReportId) {
        if (isEnabled()) speedOf(upstream).addReport(report, slowness, nowMillis())
    }

    override fun recordEventInterval(pool: PoolId, upstream: UpstreamId, interval: Duration) =
        recordMeasured(ComparableWork(pool, route = null), upstream, interval)

    override fun recordResponseTime(pool: PoolId, route: String, upstream: UpstreamId, responseTime: Duration) =
        recordMeasured(ComparableWork(pool, route), upstream, responseTime)

    private fun recordMeasured(work: ComparableWork, upstream: UpstreamId, duration: Duration) {
        if (!isEnabled() || !duration.isPositive()) return
        val now = nowMillis()
        val millis = duration.toDouble(DurationUnit.MILLISECONDS)
        val relative = durations.computeIfAbsent(work) { PoolDurations() }.relativeToMedian(upstream, millis, now)
        relative?.let { speedOf(upstream).addMeasured(it, now) }
    }

    /** The rate is that of an engine at the usual speed, so the present slowness of [upstream] is taken out of it. */
    override fun recordPrefill(pool: PoolId, upstream: UpstreamId, tokens: Int, duration: Duration) {
        if (!isEnabled() || tokens < MINIMUM_PREFILL_TOKENS || !duration.isPositive()) return
        val rate = tokens * slowness(upstream) / duration.toDouble(DurationUnit.MILLISECONDS)
        prefillRates.computeIfAbsent(pool) { PrefillRate() }.add(rate)
    }

    override fun merge(observations: List<LoadObservation>) {
        if (!isEnabled()) return
        val now = nowMillis()
        for (observation in observations) {
            val slowness = observation.slowness ?: continue
            val report = observation.report ?: continue
            speedOf(observation.upstream).addReport(report, slowness, now - observation.ageMillis)
        }
    }

    override fun withMeasured(observations: List<LoadObservation>): List<LoadObservation> {
        if (!isEnabled()) return observations
        val now = nowMillis()
        return observations.map { observation ->
            val report = observation.report.takeIf { observation.slowness == null }
            val measured = report?.let { upstreams[observation.upstream]?.measuredFor(it, now) }
            if (measured == null) observation else observation.copy(slowness = measured)
        }
    }

    override fun countSlow(slowness: Double): Int = upstreams.keys.count { slowness(it) >= slowness }

    override fun retain(known: Set<UpstreamId>) {
        upstreams.keys.retainAll(known)
        durations.values.forEach { it.retain(known) }
    }

    private fun speedOf(upstream: UpstreamId): LearnedSpeed = upstreams.computeIfAbsent(upstream) { LearnedSpeed() }

    private companion object {
        /** The time to the first event of a shorter prompt consists mostly of the network and of the first step. */
        const val MINIMUM_PREFILL_TOKENS = 1_000
    }
}

/** The speed of one upstream. Readers get the latest average without a lock, as a decision reads it for each candidate. */
private class LearnedSpeed {
    private val average = SpeedAverage()
    private val measuredHere = SpeedAverage()
    private val countedReports = IntArray(COUNTED_REPORTS)
    private var nextReport = 0

    @Volatile
    private var latest: Latest? = null

    fun slowness(nowMillis: Long): Double = latest?.slowness(nowMillis) ?: 1.0

    fun estimate(nowMillis: Long): SpeedEstimate? =
        latest?.let { SpeedEstimate(it.slowness(nowMillis), it.dispersion, nowMillis - it.atMillis) }

    /** Adds the slowness in [report] unless it has been added before. */
    @Synchronized
    fun addReport(report: ReportId, slowness: Double, atMillis: Long) {
        if (markCounted(report)) add(slowness, atMillis)
    }

    @Synchronized
    fun addMeasured(slowness: Double, atMillis: Long) {
        measuredHere.add(slowness.coerceIn(SLOWNESS_RANGE), atMillis)
        add(slowness, atMillis)
    }

    /**
     * Returns the slowness that this gateway has measured recently, or null. It is sent with [report], which is not counted
     * again when a peer returns it.
     */
    @Synchronized
    fun measuredFor(report: ReportId, nowMillis: Long): Double? {
        if (measuredHere.isEmpty || nowMillis - measuredHere.atMillis >= SENDING_MILLIS) return null
        markCounted(report)
        return measuredHere.mean
    }

    private fun add(slowness: Double, atMillis: Long) {
        average.add(slowness.coerceIn(SLOWNESS_RANGE), atMillis)
        latest = Latest(average.mean, average.dispersion, average.atMillis)
    }

    private fun markCounted(report: ReportId): Boolean {
        if (report.number in countedReports) return false
        countedReports[nextReport] = report.number
        nextReport = (nextReport + 1) % COUNTED_REPORTS
        return true
    }

    private class Latest(val mean: Double, val dispersion: Double, val atMillis: Long) {
        fun slowness(nowMillis: Long): Double =
            if (mean == 1.0) 1.0 else 1 + (mean - 1) * exp(-(nowMillis - atMillis) / RETURN_TIME_CONSTANT_MILLIS)
    }

    private companion object {
        /** What gossip can encode. */
        val SLOWNESS_RANGE = 0.5..16.0

        /** An upstream has about ten reports a second in circulation, each for up to 2.4 s. */
        const val COUNTED_REPORTS = 32

        /** A measurement takes part in two or three rounds of gossip. */
        const val SENDING_MILLIS = 1_000L

        /** Without observations an upstream is assumed to return to the usual speed. */
        const val RETURN_TIME_CONSTANT_MILLIS = 3 * SpeedAverage.TIME_CONSTANT_MILLIS
    }
}
