/*
 * Estimates how many requests each upstream has in flight. In a small fleet routers send each other the number of requests
 * that each has in flight, and the sum is the load. Otherwise the load is the one that the upstream last reported in a
 * response to any router, plus the requests that this router has sent since. A single router receives too few responses to
 * keep this current, so routers forward the loads that they observe.
 */
package org.primrosesill.placement

import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/** The load that an upstream reported, and how long ago. */
public data class LoadObservation(public val upstream: UpstreamId, public val load: Int, public val ageMillis: Long)

/** Where the estimate of an upstream's load comes from. */
public enum class LoadSource(public val text: String) {
    /** The counts that all routers of a small fleet exchange. */
    EXCHANGED_COUNTS("counted by all routers"),

    /** The last report of the upstream, plus the requests that this router has sent since. */
    REPORT("reported"),

    /** The requests of this router only, as there is no recent report. */
    OWN_COUNT("own requests only"),
}

/**
 * An estimate of an upstream's load.
 *
 * @property ageMillis age of the report, or 0 if the estimate does not come from one
 */
public data class LoadEstimate(public val inFlight: Int, public val source: LoadSource, public val ageMillis: Long) {
    /** Text for the event log. */
    public val description: String
        get() = "$inFlight in flight (${source.text}${if (source == LoadSource.REPORT) " $ageMillis ms ago" else ""})"
}

/** Thread-safe. Times are milliseconds of a monotonic clock. */
public class UpstreamLoads(private val activity: UpstreamActivity, private val nowMillis: () -> Long) {
    private val reportedLoads = HashMap<UpstreamId, TimedLoad>()
    private val countsByRouter = HashMap<RouterId, RouterCounts>()
    private var expectedRouters: Set<RouterId>? = null

    /** Returns the estimated number of requests in flight at [upstream]. */
    public fun estimate(upstream: UpstreamId): Int = explainedEstimate(upstream).inFlight

    /** Returns the estimate of the requests in flight at [upstream] with its source. */
    public fun explainedEstimate(upstream: UpstreamId): LoadEstimate {
        val own = activity.inFlight(upstream)
        inFlightOfOthers(upstream)?.let { return LoadEstimate(own + it, LoadSource.EXCHANGED_COUNTS, 0) }
        val reported = freshLoad(upstream) ?: return LoadEstimate(own, LoadSource.OWN_COUNT, 0)
        val inFlight = maxOf(own, reported.load + (own - reported.ownInFlight).coerceAtLeast(0))
        return LoadEstimate(inFlight, LoadSource.REPORT, nowMillis() - reported.atMillis)
    }

    /** Records the [load] that [upstream] reported in a response to this router. */
    public fun recordReported(upstream: UpstreamId, load: Int): Unit = put(upstream, load, nowMillis())

    /** Adds observations forwarded by a peer. */
    public fun merge(observations: List<LoadObservation>) {
        val now = nowMillis()
        observations.forEach { put(it.upstream, it.load, now - it.ageMillis) }
    }

    /** Returns the observations of the last [FORWARDING_MILLIS], to be forwarded to peers. */
    @Synchronized
    public fun recentObservations(): List<LoadObservation> {
        val now = nowMillis()
        return reportedLoads
            .filterValues { now - it.atMillis < FORWARDING_MILLIS }
            .map { (upstream, value) -> LoadObservation(upstream, value.load, now - value.atMillis) }
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

    private fun inFlightOfOthers(upstream: UpstreamId): Int? = freshCounts()?.sumOf { it.requests[upstream] ?: 0 }

    /** Returns the counts of all other routers, or null if those of any expected router are missing or expired. */
    @Synchronized
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

    @Synchronized
    private fun freshLoad(upstream: UpstreamId): TimedLoad? =
        reportedLoads[upstream]?.takeIf { nowMillis() - it.atMillis < LOAD_EXPIRY_MILLIS }

    @Synchronized
    private fun put(upstream: UpstreamId, load: Int, atMillis: Long) {
        val previous = reportedLoads[upstream]
        if (previous != null && previous.atMillis >= atMillis) return
        reportedLoads[upstream] = TimedLoad(load, atMillis, activity.inFlight(upstream))
    }

    /** @property ownInFlight requests of this router in flight when it received the report */
    private class TimedLoad(val load: Int, val atMillis: Long, val ownInFlight: Int)

    private class RouterCounts(val requests: Map<UpstreamId, Int>, val atMillis: Long)

    private companion object {
        /** Routers send their counts in each round of the exchange, and one or two messages may be lost. */
        const val COUNT_EXPIRY_MILLIS = 1_300L
        const val LOAD_EXPIRY_MILLIS = 3_000L
        const val FORWARDING_MILLIS = 2_000L
    }
}
