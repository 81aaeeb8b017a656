/*
 * How fast upstreams work at present.
 */
package org.primrosesill.load

import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/** The speeds of upstreams. Implementations are thread-safe. */
public interface UpstreamSpeeds {
    /** Returns the time that work takes at [upstream] at present, relative to the usual time; 1 if nothing is known. */
    public fun slowness(upstream: UpstreamId): Double

    /** Returns the slowness of each of [upstreams]. */
    public fun slownessOf(upstreams: List<UpstreamId>): DoubleArray =
        DoubleArray(upstreams.size) { slowness(upstreams[it]) }

    /** Returns the prompt tokens that an engine of [pool] prefills in a millisecond. */
    public fun prefillTokensPerMillisecond(pool: PoolId): Double
}

/**
 * The average slowness of an upstream.
 *
 * @property dispersion weighted standard deviation of the observations
 * @property ageMillis time since the latest observation
 */
public data class SpeedEstimate(public val slowness: Double, public val dispersion: Double, public val ageMillis: Long)

/** Speeds that are learned from observations. Implementations are thread-safe. */
public interface SpeedObservations : UpstreamSpeeds {
    /** Returns what is known of the slowness of [upstream], or null if nothing is. */
    public fun estimate(upstream: UpstreamId): SpeedEstimate?

    /** Records the [slowness] that [upstream] reported to this gateway in [report]. */
    public fun recordReported(upstream: UpstreamId, slowness: Double, report: ReportId)

    /** Records the mean time between the events of a stream, or a part of one, from an upstream that reports no slowness. */
    public fun recordEventInterval(pool: PoolId, upstream: UpstreamId, interval: Duration)

    /** Records the response time of a request of [route] to an upstream that reports no slowness. */
    public fun recordResponseTime(pool: PoolId, route: String, upstream: UpstreamId, responseTime: Duration)

    /** Records the time to the first event of a prompt of which [upstream] had to prefill [tokens]. */
    public fun recordPrefill(pool: PoolId, upstream: UpstreamId, tokens: Int, duration: Duration)

    /** Adds the slowness in [observations] of peers. A report that arrives repeatedly counts once. */
    public fun merge(observations: List<LoadObservation>)

    /** Returns [observations] with the slowness that was measured since, or recently where they have none. */
    public fun withMeasured(observations: List<LoadObservation>): List<LoadObservation>

    /** Returns the number of upstreams whose slowness is at least [slowness]. */
    public fun countSlow(slowness: Double): Int

    /** Removes what is known of upstreams that are not in [known]. */
    public fun retain(known: Set<UpstreamId>)
}

/** Every upstream works at the usual speed. */
public object UsualSpeeds : SpeedObservations {
    override fun slowness(upstream: UpstreamId): Double = 1.0

    override fun prefillTokensPerMillisecond(pool: PoolId): Double = DEFAULT_PREFILL_TOKENS_PER_MILLISECOND

    override fun estimate(upstream: UpstreamId): SpeedEstimate? = null

    override fun recordReported(upstream: UpstreamId, slowness: Double, report: ReportId): Unit = Unit

    override fun recordEventInterval(pool: PoolId, upstream: UpstreamId, interval: Duration): Unit = Unit

    override fun recordResponseTime(pool: PoolId, route: String, upstream: UpstreamId, responseTime: Duration): Unit =
        Unit

    override fun recordPrefill(pool: PoolId, upstream: UpstreamId, tokens: Int, duration: Duration): Unit = Unit

    override fun merge(observations: List<LoadObservation>): Unit = Unit

    override fun withMeasured(observations: List<LoadObservation>): List<LoadObservation> = observations

    override fun countSlow(slowness: Double): Int = 0

    override fun retain(known: Set<UpstreamId>): Unit = Unit
}

/**
 * Returns speeds that are learned while [isEnabled]; otherwise nothing is recorded and every upstream works at the usual
 * speed. [nowMillis] is a monotonic clock.
 */
public fun upstreamSpeeds(isEnabled: () -> Boolean, nowMillis: () -> Long): SpeedObservations =
    LearnedSpeeds(isEnabled, nowMillis)

/**
 * Returns the slowness of each of [upstreams] relative to their median, so that all have 1 if they are equally slow. An
 * upstream that is absent from the result has 1.
 */
public fun UpstreamSpeeds.relativeSlowness(upstreams: List<UpstreamId>): Map<UpstreamId, Double> {
    val slowness = slownessOf(upstreams)
    if (slowness.all { it == slowness[0] }) return emptyMap()
    val median = lowerMedian(slowness.copyOf())
    return upstreams.indices.associate { upstreams[it] to slowness[it] / median }
}

/** Returns the lower median of [values], which become sorted. */
internal fun lowerMedian(values: DoubleArray): Double {
    values.sort()
    return values[(values.size - 1) / 2]
}

/** Rate that is assumed for the engines of a pool until it has been measured. */
public const val DEFAULT_PREFILL_TOKENS_PER_MILLISECOND: Double = 35.0
