/*
 * Corrects the loads that the upstreams of a large pool have reported by what has been dispatched to them. A report describes
 * a load of some time ago. It says the less of the present load the shorter requests are in flight, so that time is measured,
 * and the load is expected to return to its average with it. Requests of this router since the report are added; the
 * dispatches that other routers gossip show upstreams whose rate has changed since their average formed.
 *
 * Load pattern: dozens of routers with the same late reports select engines for requests that are in flight for seconds.
 */
package org.primrosesill.load

import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * Records the dispatches of this router and of the routers that gossip theirs, while [isActive]. Thread-safe. Times are
 * milliseconds of a monotonic clock.
 */
public class DispatchCorrection(public val isActive: () -> Boolean, private val nowMillis: () -> Long) {
    private val own = ArrayDeque<Dispatch>()
    private val received = HashMap<RouterId, ReceivedDispatches>()

    /** Records that this router sends a request to [upstream]. */
    @Synchronized
    public fun record(upstream: UpstreamId) {
        removeExpired()
        if (!isActive()) return
        own.addLast(Dispatch(upstream, nowMillis()))
        if (own.size > MAXIMUM_DISPATCHES) own.removeFirst()
    }

    /** Returns the number of own requests to each upstream within the last [GOSSIP_WINDOW_MILLIS], for gossip. */
    @Synchronized
    public fun recent(): Map<UpstreamId, Int> {
        if (!isActive()) return emptyMap()
        val earliest = nowMillis() - GOSSIP_WINDOW_MILLIS
        return own.filter { it.atMillis > earliest }.groupingBy { it.upstream }.eachCount()
    }

    /** Records the [dispatches] of [sender] within the second before its message. */
    @Synchronized
    public fun receive(sender: RouterId, dispatches: Map<UpstreamId, Int>) {
        removeExpired()
        if (isActive()) received[sender] = ReceivedDispatches(dispatches, nowMillis())
    }

    /** Returns what is known of the dispatches to [pool], of which this router has [ownInFlight] requests in flight. */
    @Synchronized
    internal fun dispatchesTo(pool: Collection<UpstreamId>, ownInFlight: Int): PoolDispatches {
        removeExpired()
        val ownCounts = own.groupingBy { it.upstream }.eachCount()
        val dispatched = pool.sumOf { ownCounts[it] ?: 0 }
        val counts = HashMap(recent())
        for (dispatches in received.values.map { it.dispatches }) {
            dispatches.forEach { (upstream, count) -> counts.merge(upstream, count, Int::plus) }
        }
        val mean = if (pool.isEmpty()) 0.0 else pool.sumOf { counts[it] ?: 0 }.toDouble() / pool.size
        return PoolDispatches(counts, mean, meanMillisInFlight(ownInFlight, dispatched))
    }

    /** Little's law: the requests in flight are those that were dispatched within the mean time that one is in flight. */
    private fun meanMillisInFlight(inFlight: Int, dispatched: Int): Double {
        if (dispatched < MINIMUM_DISPATCHES) return DEFAULT_MILLIS_IN_FLIGHT
        val observedMillis = (nowMillis() - own.first().atMillis).coerceAtLeast(1)
        val millis = inFlight.toDouble() * observedMillis / dispatched
        return millis.coerceIn(DEFAULT_MILLIS_IN_FLIGHT, MAXIMUM_MILLIS_IN_FLIGHT)
    }

    private fun removeExpired() {
        val now = nowMillis()
        while (own.isNotEmpty() && own.first().atMillis <= now - OWN_WINDOW_MILLIS) own.removeFirst()
        received.values.removeIf { it.atMillis <= now - RECEIVED_EXPIRY_MILLIS }
    }

    private class Dispatch(val upstream: UpstreamId, val atMillis: Long)

    private class ReceivedDispatches(val dispatches: Map<UpstreamId, Int>, val atMillis: Long)

    private companion object {
        const val GOSSIP_WINDOW_MILLIS = 1_000L

        /** A router of a fleet of 64 dispatches about 6 requests a second, and a steady mean needs dozens. */
        const val OWN_WINDOW_MILLIS = 5_000L

        /** Bounds the memory, which is 24 bytes for each dispatch. */
        const val MAXIMUM_DISPATCHES = 4_000

        /** Fewer dispatches give no usable mean. */
        const val MINIMUM_DISPATCHES = 10

        /** Two or three gossip rounds, since a router hears each of the others only now and then. */
        const val RECEIVED_EXPIRY_MILLIS = 1_000L
        const val DEFAULT_MILLIS_IN_FLIGHT = 1_000.0
        const val MAXIMUM_MILLIS_IN_FLIGHT = 10_000.0
    }
}

/**
 * The recent dispatches to a pool that a router knows.
 *
 * @property counts known dispatches to each upstream; absent without any
 * @property mean mean of the counts of all upstreams of the pool
 * @property meanMillisInFlight time constant with which a load returns to its average
 */
internal class PoolDispatches(
    private val counts: Map<UpstreamId, Int>,
    private val mean: Double,
    val meanMillisInFlight: Double,
) {
    private val weight = mean / (mean + PRIOR_DISPATCHES)

    /**
     * Returns the load to which [upstream] is expected to return: its [average], moved towards what its part of the known
     * dispatches makes of the [poolMean]. A router knows only a sample of the dispatches, which counts the less the smaller
     * it is.
     */
    fun expectedAverage(upstream: UpstreamId, average: Double, poolMean: Double): Double {
        if (mean == 0.0) return average
        val fromDispatches = poolMean * (counts[upstream] ?: 0) / mean
        return average + (fromDispatches - average) * weight
    }

    private companion object {
        /** Dispatches to each upstream that count, in addition to the known ones, as distributed like the averages. */
        const val PRIOR_DISPATCHES = 1.0
    }
}
