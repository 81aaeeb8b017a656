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
import kotlin.math.log2
import kotlin.math.roundToInt
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

    override fun slownessOf(upstreams: List<UpstreamId>): DoubleArray {
        if (!isEnabled()) return DoubleArray(upstreams.size) { 1.0 }
        val now = nowMillis()
        return DoubleArray(upstreams.size) { this.upstreams[upstreams[it]]?.slowness(now) ?: 1.0 }
    }

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
            val newer = upstreams[observation.upstream]?.newerThan(observation, now)
            if (newer == null) observation else observation.copy(slowness = newer)
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
    private val countedReports = IntArray(COUNTED_REPORTS)
    private var nextReport = 0
    private var newest: TimedSlowness? = null
    private var measuredHere: TimedSlowness? = null

    @Volatile
    private var latest: Latest? = null

    fun slowness(nowMillis: Long): Double = latest?.slowness(nowMillis) ?: 1.0

    fun estimate(nowMillis: Long): SpeedEstimate? =
        latest?.let { SpeedEstimate(it.slowness(nowMillis), it.dispersion, nowMillis - it.atMillis) }

    /** Adds the slowness that came with [report] unless it has been added before. */
    @Synchronized
    fun addReport(report: ReportId, slowness: Double, atMillis: Long) {
        if (!markCounted(report, slowness)) return
        add(slowness, atMillis)
        if (atMillis >= (newest?.atMillis ?: atMillis)) newest = TimedSlowness(slowness, atMillis)
    }

    @Synchronized
    fun addMeasured(slowness: Double, atMillis: Long) {
        add(slowness, atMillis)
        newest = TimedSlowness(slowness, atMillis).also { measuredHere = it }
    }

    /**
     * Returns the slowness to be sent with [observation] in place of its own, or null: the newest one that is known if it is
     * newer than the observation, or what this gateway has measured recently if the observation has none. Peers date it like
     * the observation, so that passing it on never makes it younger. It is not counted again when a peer returns it.
     */
    @Synchronized
    fun newerThan(observation: LoadObservation, nowMillis: Long): Double? {
        val report = observation.report ?: return null
        val newer = newest?.takeIf { it.atMillis >= nowMillis - observation.ageMillis }
        val measured = measuredHere?.takeIf { observation.slowness == null && nowMillis - it.atMillis < SENDING_MILLIS }
        val slowness = (newer ?: measured)?.value ?: return null
        markCounted(report, slowness)
        return slowness
    }

    private fun add(slowness: Double, atMillis: Long) {
        average.add(slowness.coerceIn(MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS), atMillis)
        latest = Latest(average.mean, average.dispersion, average.atMillis)
    }

    /**
     * Returns whether [slowness] has not been counted for [report] yet. Several gateways may send different measurements with
     * one report. The logarithmic steps are those of gossip, so that a value is recognized after it has been encoded.
     */
    private fun markCounted(report: ReportId, slowness: Double): Boolean {
        val step = (STEPS_PER_DOUBLING * log2(slowness.coerceIn(MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS))).roundToInt()
        val key = report.number * STEPS_OF_REPORT + step
        if (key in countedReports) return false
        countedReports[nextReport] = key
        nextReport = (nextReport + 1) % COUNTED_REPORTS
        return true
    }

    private class TimedSlowness(val value: Double, val atMillis: Long)

    private class Latest(val mean: Double, val dispersion: Double, val atMillis: Long) {
        fun slowness(nowMillis: Long): Double =
            if (mean == 1.0) 1.0 else 1 + (mean - 1) * exp(-(nowMillis - atMillis) / RETURN_TIME_CONSTANT_MILLIS)
    }

    private companion object {
        /** The range and the steps that gossip encodes. */
        const val MINIMUM_SLOWNESS = 0.5
        const val MAXIMUM_SLOWNESS = 16.0
        const val STEPS_PER_DOUBLING = 12.0
        const val STEPS_OF_REPORT = 64

        /** An upstream has about ten reports a second in circulation, each for up to 2.4 s. */
        const val COUNTED_REPORTS = 64

        /** One round of gossip. An older measurement may precede a fault that began before the report with which it is sent. */
        const val SENDING_MILLIS = 400L

        /** Without observations an upstream is assumed to return to the usual speed. */
        const val RETURN_TIME_CONSTANT_MILLIS = 3 * SpeedAverage.TIME_CONSTANT_MILLIS
    }
}
