/*
 * How many requests each upstream has in progress, as well as this router can tell: the load that the upstream stated last in
 * an answer to any router, and what this router has sent since. One router sees too few answers of an upstream by itself, so
 * that routers pass on what they see.
 */
package org.primrosesill.placement

import org.primrosesill.model.UpstreamId

/** The load that an upstream stated, and how long ago. */
public data class LoadObservation(public val upstream: UpstreamId, public val load: Int, public val ageMillis: Long)

/** Safe to use from any thread. Times are milliseconds of a steady clock. */
public class UpstreamLoads(private val activity: UpstreamActivity, private val nowMillis: () -> Long) {
    private val observed = HashMap<UpstreamId, Observed>()

    /** Returns the requests in progress at [upstream]. */
    public fun of(upstream: UpstreamId): Int {
        val own = activity.inFlight(upstream)
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

    private companion object {
        const val EXPIRY_MILLIS = 3_000L
        const val PASSED_ON_MILLIS = 2_000L
    }
}
