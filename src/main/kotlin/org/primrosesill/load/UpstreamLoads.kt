/*
 * Estimates how many requests each upstream has in flight. In a small fleet routers send each other the number of requests
 * that each has in flight, and the sum is the load. Otherwise the load is estimated from the one that the upstream last
 * reported in a response to any router, plus the requests that this router has sent since. A single router receives too few
 * responses to keep this current, so routers forward the loads that they observe.
 *
 * Load pattern: engines of a large pool are replaced while hundreds of requests a second arrive at as many routers, each of
 * which has only a few requests of its own at any engine.
 */
package org.primrosesill.load

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import kotlin.math.exp
import kotlin.math.roundToInt

/** Thread-safe. Times are milliseconds of a monotonic clock. */
public class UpstreamLoads(
    private val activity: UpstreamActivity,
    private val correction: DispatchCorrection? = null,
    private val nowMillis: () -> Long,
) {
    private val reportedLoads = HashMap<UpstreamId, TimedLoad>()
    private val countsByRouter = HashMap<RouterId, RouterCounts>()
    private var expectedRouters: Set<RouterId>? = null
    private var reportCount = 0L

    @Volatile
    private var lastPool: PoolLoads? = null

    /** Ratio of the highest to the mean load of the pool of the last recorded dispatch; 1 before the first one. */
    public val imbalance: Double get() = lastPool?.imbalance ?: 1.0

    /** Returns the estimated loads of [pool]. */
    @Synchronized
    public fun estimates(pool: Collection<UpstreamId>): PoolLoads {
        if (expectedRouters == null) return estimatesFromReports(pool)
        val counts = freshCounts() ?: return estimatesWithoutCounts(pool)
        return exchangedCounts(pool, counts)
    }

    private fun exchangedCounts(pool: Collection<UpstreamId>, counts: List<RouterCounts>): PoolLoads {
        val estimates =
            pool.associateWith { upstream ->
                val inFlight = activity.inFlight(upstream) + counts.sumOf { it.requests[upstream] ?: 0 }
                LoadEstimate(inFlight, LoadSource.EXCHANGED_COUNTS, 0)
            }
        return poolLoads(estimates, LoadBasis.EXCHANGED_COUNTS)
    }

    /**
     * An upstream without a recent report counts as idle: an upstream that has requests of any router responds, and its reports
     * reach all routers.
     */
    private fun estimatesFromReports(pool: Collection<UpstreamId>): PoolLoads {
        val reports = freshLoads(pool)
        if (reports.isNotEmpty() &&
            correction?.isActive?.invoke() == true
        ) {
            return correctedEstimates(pool, reports, correction)
        }
        val estimates = pool.associateWith { estimate(it, reports[it], loadWithoutReport = 0) }
        val averages =
            pool.associateWith {
                maxOf(
                    activity.inFlight(it).toDouble(),
                    reports[it]?.averageOfOthers ?: 0.0,
                )
            }
        return PoolLoads(estimates, averages, LoadBasis.REPORTS)
    }

    /** Estimates whose averages are the loads expected at present, without the requests in whose responses they were reported. */
    private fun correctedEstimates(
        pool: Collection<UpstreamId>,
        reports: Map<UpstreamId, TimedLoad>,
        correction: DispatchCorrection,
    ): PoolLoads {
        val dispatches = correction.dispatchesTo(pool, pool.sumOf { activity.inFlight(it) })
        val mean = if (pool.isEmpty()) 0.0 else reports.values.sumOf { it.average } / pool.size
        val expected =
            reports.mapValues { (upstream, report) ->
                val average = dispatches.expectedAverage(upstream, report.average, mean)
                expectedLoad(upstream, report, average, dispatches.meanMillisInFlight)
            }
        val estimates = pool.associateWith { estimate(it, reports[it], loadWithoutReport = 0, expected[it]) }
        val averages =
            pool.associateWith { maxOf(activity.inFlight(it).toDouble(), (expected[it] ?: 0.0) - 1) }
        return PoolLoads(estimates, averages, LoadBasis.REPORTS)
    }

    /**
     * Estimates until the missing counts arrive. An upstream without a recent report counts as average, so that the routers do
     * not all send to it at once.
     */
    private fun estimatesWithoutCounts(pool: Collection<UpstreamId>): PoolLoads {
        val reports = freshLoads(pool)
        val mean = if (reports.isEmpty()) 0.0 else reports.values.sumOf { it.average } / reports.size
        val estimates = pool.associateWith { estimate(it, reports[it], mean.roundToInt()) }
        return poolLoads(estimates, LoadBasis.MISSING_COUNTS)
    }

    private fun freshLoads(pool: Collection<UpstreamId>): Map<UpstreamId, TimedLoad> {
        val reports = HashMap<UpstreamId, TimedLoad>()
        pool.forEach { upstream -> freshLoad(upstream)?.let { reports[upstream] = it } }
        return reports
    }

    private fun estimate(
        upstream: UpstreamId,
        report: TimedLoad?,
        loadWithoutReport: Int,
        expectedLoad: Double? = null,
    ): LoadEstimate {
        val own = activity.inFlight(upstream)
        if (report == null) return LoadEstimate(maxOf(own, loadWithoutReport), LoadSource.NO_REPORT, 0)
        val ageMillis = nowMillis() - report.atMillis
        val expected = expectedLoad ?: expectedLoad(upstream, report, report.average, LOAD_TIME_CONSTANT_MILLIS)
        val waiting = report.observation.waiting
        return LoadEstimate(maxOf(own, expected.roundToInt()), LoadSource.REPORT, ageMillis, waiting)
    }

    /** The older a report, the closer the load is expected to be to the [average] of its upstream. */
    private fun expectedLoad(
        upstream: UpstreamId,
        report: TimedLoad,
        average: Double,
        timeConstantMillis: Double,
    ): Double {
        val difference = currentLoad(upstream, report) - average
        return average + difference * exp(-(nowMillis() - report.atMillis) / timeConstantMillis)
    }

    /** Returns the load of [upstream] that was [reported], plus the requests that this router has sent since. */
    private fun currentLoad(upstream: UpstreamId, reported: TimedLoad): Int {
        val own = activity.inFlight(upstream)
        return maxOf(own, reported.load + (own - reported.ownInFlight).coerceAtLeast(0))
    }

    /** Records the load that [upstream] reported in a response to this router, and returns the id of the report. */
    public fun recordReported(upstream: UpstreamId, reported: ReportedLoad): ReportId {
        val now = nowMillis()
        val load = reported.running + reported.waiting
        val report = newReportId(load, now)
        put(LoadObservation(upstream, load, ageMillis = 0, report, reported.waiting, reported.slowness), now)
        return report
    }

    @Synchronized
    private fun newReportId(load: Int, nowMillis: Long): ReportId {
        val hash = Hashing.komihash5_0().hashStream()
        hash.putLong(nowMillis).putInt(load).putLong(reportCount++)
        return ReportId(1 + Math.floorMod(hash.asLong, REPORT_IDS))
    }

    /** Records that this router sends a request to [upstream], which was chosen by [poolLoads]. */
    public fun recordDispatch(upstream: UpstreamId, poolLoads: PoolLoads) {
        lastPool = poolLoads
        if (poolLoads.basis == LoadBasis.REPORTS) correction?.record(upstream)
    }

    /** Returns the recent dispatches of this router, to be gossiped; empty unless they are used. */
    public fun recentDispatches(): Map<UpstreamId, Int> = correction?.recent().orEmpty()

    /** Adds the recent dispatches that [sender] has gossiped. */
    public fun mergeDispatches(sender: RouterId, dispatches: Map<UpstreamId, Int>) {
        correction?.receive(sender, dispatches)
    }

    /** Adds observations forwarded by a peer. */
    public fun merge(observations: List<LoadObservation>) {
        val now = nowMillis()
        observations.forEach { put(it, now - it.ageMillis) }
    }

    /** Returns the observations of the last [FORWARDING_MILLIS], to be forwarded to peers. */
    @Synchronized
    public fun recentObservations(): List<LoadObservation> {
        val now = nowMillis()
        return reportedLoads
            .filterValues { now - it.atMillis < FORWARDING_MILLIS }
            .map { (_, value) -> value.observation.copy(ageMillis = now - value.atMillis) }
    }

    /**
     * Sets the other routers whose request counts are expected: all of them, or null if the fleet is too large to exchange
     * counts.
     */
    @Synchronized
    public fun expectCounts(routers: Set<RouterId>?) {
        expectedRouters = routers
        countsByRouter.keys.retainAll(routers.orEmpty())
    }

    /** Records how many requests [router] has in flight at each upstream. Counts of unexpected routers are ignored. */
    @Synchronized
    public fun recordCounts(router: RouterId, requests: Map<UpstreamId, Int>) {
        if (router in expectedRouters.orEmpty()) countsByRouter[router] = RouterCounts(requests, nowMillis())
    }

    /** Returns the number of requests of this router in flight at each upstream. Upstreams without any are absent. */
    public fun ownCounts(): Map<UpstreamId, Int> = activity.inFlightByUpstream()

    /** Returns the counts of all other routers, or null if those of any expected router are missing or expired. */
    private fun freshCounts(): List<RouterCounts>? {
        val routers = expectedRouters ?: return null
        val earliest = nowMillis() - COUNT_EXPIRY_MILLIS
        val counts = routers.mapNotNull { router -> countsByRouter[router]?.takeIf { it.atMillis >= earliest } }
        return counts.takeIf { it.size == routers.size }
    }

    /** Removes the reported loads of all upstreams that are not in [known]. */
    @Synchronized
    public fun retain(known: Set<UpstreamId>) {
        reportedLoads.keys.retainAll(known)
    }

    private fun freshLoad(upstream: UpstreamId): TimedLoad? =
        reportedLoads[upstream]?.takeIf { nowMillis() - it.atMillis < LOAD_EXPIRY_MILLIS }

    @Synchronized
    private fun put(observation: LoadObservation, atMillis: Long) {
        val upstream = observation.upstream
        val previous = reportedLoads[upstream]
        if (previous != null && previous.atMillis >= atMillis) return
        // A copy only looks newer, as the time that messages wait to be read is not in its age.
        val previousReport = previous?.observation?.report
        if (previousReport != null && previousReport == observation.report) return
        val average = averageLoad(previous, observation.load, atMillis)
        val own = activity.inFlight(upstream)
        reportedLoads[upstream] = TimedLoad(observation, atMillis, own, average)
    }

    /** Returns the exponentially weighted average of the loads up to a report of [load] that follows [previous]. */
    private fun averageLoad(previous: TimedLoad?, load: Int, atMillis: Long): Double {
        if (previous == null) return load.toDouble()
        val weight = 1 - exp(-(atMillis - previous.atMillis) / AVERAGE_TIME_CONSTANT_MILLIS)
        return previous.average + (load - previous.average) * weight
    }

    /**
     * @property ownInFlight requests of this router in flight when it received the report
     * @property average the average of the reports up to this one
     */
    private class TimedLoad(
        val observation: LoadObservation,
        val atMillis: Long,
        val ownInFlight: Int,
        val average: Double,
    ) {
        val load get() = observation.load

        /** The average without the request in whose response each load was reported, which is part of that load. */
        val averageOfOthers get() = (average - 1).coerceAtLeast(0.0)
    }

    private class RouterCounts(val requests: Map<UpstreamId, Int>, val atMillis: Long)

    private companion object {
        /** Routers send their counts in each round of the exchange, and one or two messages may be lost. */
        const val COUNT_EXPIRY_MILLIS = 1_300L
        const val LOAD_EXPIRY_MILLIS = 3_000L
        const val FORWARDING_MILLIS = 2_000L

        /** Time constant with which a load returns to its average: requests are in flight for about this long. */
        const val LOAD_TIME_CONSTANT_MILLIS = 1_000.0

        /** Several times as long as requests are in flight, so that the average tells popular upstreams from busy moments. */
        const val AVERAGE_TIME_CONSTANT_MILLIS = 3_000.0
    }
}
