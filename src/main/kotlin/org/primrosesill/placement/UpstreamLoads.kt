/*
 * How many requests each upstream has in progress, as well as this router can tell. In a small fleet routers tell each other
 * what each has in progress, and the sum is the load. Otherwise it is what the upstream stated last in an answer to any
 * router, and what this router has sent since; one router sees too few answers by itself, so that routers pass on what they
 * see.
 */
package org.primrosesill.placement

import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/** The load that an upstream stated, and how long ago. */
public data class LoadObservation(public val upstream: UpstreamId, public val load: Int, public val ageMillis: Long)

/** Safe to use from any thread. Times are milliseconds of a steady clock. */
public class UpstreamLoads(private val activity: UpstreamActivity, private val nowMillis: () -> Long) {
    private val observed = HashMap<UpstreamId, Observed>()
    private val counted = HashMap<RouterId, Counted>()
    private var countingRouters: Set<RouterId>? = null

    /** Returns the requests in progress at [upstream]. */
    public fun of(upstream: UpstreamId): Int {
        val own = activity.inFlight(upstream)
        countOfOthers(upstream)?.let { return own + it }
        val last = latest(upstream) ?: return own
        return maxOf(own, last.load + (own - last.ownThen).coerceAtLeast(0))
    }

    /** Takes what [upstream] stated in an answer to this router. */
    public fun observe(upstream: UpstreamId, load: Int): Unit = put(upstream, load, nowMillis())

    /** Takes what peers pass on. */
    public fun accept(observations: List<LoadObservation>) {
        val now = nowMillis()
        observations.forEach { put(it.upstream, it.load, now - it.ageMillis) }
    }

    /** The latest loads, for peers. */
    @Synchronized
    public fun recent(): List<LoadObservation> {
        val now = nowMillis()
        return observed
            .filterValues { now - it.atMillis < PASSED_ON_MILLIS }
            .map { (upstream, value) -> LoadObservation(upstream, value.load, now - value.atMillis) }
    }

    /** Names all other routers, or null when there are too many to tell each other what they have in progress. */
    @Synchronized
    public fun expectCounts(routers: Set<RouterId>?) {
        countingRouters = routers
        counted.keys.retainAll(routers.orEmpty())
    }

    /** Takes how many requests [router] has in progress at each upstream. */
    @Synchronized
    public fun acceptCounts(router: RouterId, requests: Map<UpstreamId, Int>) {
        if (router in countingRouters.orEmpty()) counted[router] = Counted(requests, nowMillis())
    }

    /** How many requests this router has in progress at each upstream, without those that have none. */
    public fun ownCounts(): Map<UpstreamId, Int> = activity.inProgress()

    private fun countOfOthers(upstream: UpstreamId): Int? = freshCounts()?.sumOf { it.requests[upstream] ?: 0 }

    /** The counts of all other routers, or null when one of them was not heard lately. */
    @Synchronized
    private fun freshCounts(): List<Counted>? {
        val routers = countingRouters ?: return null
        val earliest = nowMillis() - COUNT_EXPIRY_MILLIS
        val counts = routers.mapNotNull { router -> counted[router]?.takeIf { it.atMillis >= earliest } }
        return counts.takeIf { it.size == routers.size }
    }

    /** Forgets upstreams that are no longer known. */
    @Synchronized
    public fun retain(known: Set<UpstreamId>) {
        observed.keys.retainAll(known)
    }

    @Synchronized
    private fun latest(upstream: UpstreamId): Observed? =
        observed[upstream]?.takeIf { nowMillis() - it.atMillis < EXPIRY_MILLIS }

    @Synchronized
    private fun put(upstream: UpstreamId, load: Int, atMillis: Long) {
        val before = observed[upstream]
        if (before != null && before.atMillis >= atMillis) return
        observed[upstream] = Observed(load, atMillis, activity.inFlight(upstream))
    }

    /** @property ownThen requests of this router in progress when the load became known here */
    private class Observed(val load: Int, val atMillis: Long, val ownThen: Int)

    private class Counted(val requests: Map<UpstreamId, Int>, val atMillis: Long)

    private companion object {
        /** Routers tell their counts in each round of the exchange, of which one or two may be lost. */
        const val COUNT_EXPIRY_MILLIS = 1_300L
        const val EXPIRY_MILLIS = 3_000L
        const val PASSED_ON_MILLIS = 2_000L
    }
}
