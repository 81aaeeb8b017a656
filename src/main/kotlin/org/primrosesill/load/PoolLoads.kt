/*
 * The estimated loads of the upstreams of a pool.
 */
package org.primrosesill.load

import org.primrosesill.model.UpstreamId

/** Where the estimate of an upstream's load comes from. */
public enum class LoadSource(public val text: String) {
    /** The counts that all routers of a small fleet exchange. */
    EXCHANGED_COUNTS("counted by all routers"),

    /** The last report of the upstream, plus the requests that this router has sent since. */
    REPORT("reported"),

    /** The requests of this router, as there is no recent report. */
    NO_REPORT("no recent report"),
}

/**
 * An estimate of an upstream's load.
 *
 * @property inFlight the expected number of requests in flight, rounded, as smaller differences say nothing
 * @property ageMillis age of the report, or 0 if the estimate does not come from one
 * @property waiting the requests that were waiting when the upstream last reported, or null if that is unknown
 */
public data class LoadEstimate(
    public val inFlight: Int,
    public val source: LoadSource,
    public val ageMillis: Long,
    public val waiting: Int? = null,
) {
    /** Text for the event log. */
    public val description: String
        get() {
            val age = if (source == LoadSource.REPORT) " $ageMillis ms ago" else ""
            return "$inFlight in flight (${source.text}$age)"
        }
}

/** What the estimates of a pool are based on. */
public enum class LoadBasis {
    /** The current counts of all routers of a small fleet. */
    EXCHANGED_COUNTS,

    /** Reports, since the counts of some routers of a small fleet are missing. */
    MISSING_COUNTS,

    /** Reports, since the fleet is too large to exchange counts. */
    REPORTS,
}

/**
 * The estimated loads of all upstreams of a pool.
 *
 * @param averages the recent average load of each upstream, or the one expected at present if reports are corrected by
 *     dispatches; equal to its estimate where counts are exchanged
 */
public class PoolLoads(
    private val estimates: Map<UpstreamId, LoadEstimate>,
    private val averages: Map<UpstreamId, Double>,
    public val basis: LoadBasis,
) {
    /** Ratio of the highest to the mean average load; 1 if no upstream has any load. */
    public val imbalance: Double get() = if (mean <= 0.0) 1.0 else averages.values.max() / mean

    /** Mean of the average loads of all upstreams, or 0 for an empty pool. */
    public val mean: Double = if (averages.isEmpty()) 0.0 else averages.values.average()

    /** Whether the fleet is too large to exchange counts and at least one upstream reports its load. */
    public val areReported: Boolean =
        basis == LoadBasis.REPORTS && estimates.values.any { it.source == LoadSource.REPORT }

    public operator fun get(upstream: UpstreamId): LoadEstimate = estimates.getValue(upstream)

    /** Returns the recent average load of [upstream]. */
    public fun averageOf(upstream: UpstreamId): Double = averages.getValue(upstream)
}

/** Returns the loads of a pool for which no averages are known apart from [estimates]. */
internal fun poolLoads(estimates: Map<UpstreamId, LoadEstimate>, basis: LoadBasis) =
    PoolLoads(estimates, estimates.mapValues { it.value.inFlight.toDouble() }, basis)
