/*
 * Places at warm upstreams. Counts of other routers arrive with a delay, so that routers which rely on them fill the same
 * upstream at once. Therefore one router, the home of the upstream, counts all requests there as they start, and grants
 * places up to the load bound.
 *
 * Two routers can take themselves for the home while their member views differ. Each then knows the requests of all
 * routers from the exchange, so that the error is what starts within one exchange interval.
 */
package org.primrosesill.routing

import org.primrosesill.generated.ReservationReply
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.ReservationState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * Largest fleet without homes. Up to it every router hears all counts in each round and the load bound holds without
 * homes; their late view of requests that ended would only cost cache reuse (docs/decisions/routing.md).
 */
public const val ROUTERS_WITHOUT_HOMES: Int = 9

/** A part of the exchange may have been on its way when a place was granted, and must not hide that place. */
private const val EXCHANGE_LAG_MILLIS = 750L

/** The answer of a home as a router sees it. */
public enum class Reservation {
    /** The request may start at the upstream. */
    GRANTED,

    /** The upstream is at its bound; another one should take the request. */
    FULL,

    /** No home answered, so that the router relies on its own view. */
    UNAVAILABLE,
}

/** Asks the homes of upstreams. Safe to call from any thread. */
public fun interface Reservations {
    /** Asks for a place at [upstream] for a request of [pool] that [UpstreamSelector.choose] has counted. */
    public suspend fun reserve(pool: PoolId, upstream: UpstreamView): Reservation
}

/** Counts requests at upstreams whose home is this router. Owned by the control thread. */
public class ReservationTable {
    private val counts = HashMap<UpstreamId, HashMap<RouterId, RouterCount>>()

    /**
     * Grants a place when the upstream carries less than [bound] requests.
     *
     * @param bound most requests that the upstream may carry, or null when this router does not know it
     */
    public fun reserve(request: ReservationRequest, bound: Int?, nowMillis: Long): ReservationReply {
        if (bound == null) return ReservationReply(ReservationState.UNKNOWN)
        val routers = counts.getOrPut(request.upstream) { HashMap() }
        val own = routers.getOrPut(request.router) { RouterCount() }
        own.set(request.inFlight, nowMillis)
        if (routers.values.sumOf { it.count } >= bound) return ReservationReply(ReservationState.FULL)
        own.set(request.inFlight + 1, nowMillis)
        return ReservationReply(ReservationState.GRANTED)
    }

    /** Takes the requests in flight that [router] told in an exchange; upstreams that it left out have none. */
    public fun observe(router: RouterId, inFlight: Map<UpstreamId, Int>, nowMillis: Long) {
        for ((upstream, routers) in counts) {
            val held = routers[router]
            if (held != null && nowMillis - held.setAtMillis < EXCHANGE_LAG_MILLIS) continue
            val count = inFlight[upstream] ?: 0
            if (count == 0) routers.remove(router) else routers.getOrPut(router) { RouterCount() }.count = count
        }
        for ((upstream, count) in inFlight) {
            if (upstream !in counts) counts[upstream] = hashMapOf(router to RouterCount().also { it.count = count })
        }
    }

    /** Forgets the requests of a router that is lost. */
    public fun forget(router: RouterId) {
        counts.values.forEach { it.remove(router) }
    }

    /** Forgets upstreams that no longer exist. */
    public fun retainUpstreams(upstreams: Set<UpstreamId>) {
        counts.keys.retainAll(upstreams)
    }
}

private class RouterCount {
    var count = 0
    var setAtMillis = Long.MIN_VALUE / 2
        private set

    fun set(value: Int, nowMillis: Long) {
        count = value
        setAtMillis = nowMillis
    }
}

/**
 * Returns the home of an upstream: the first router of its zone by rendezvous hashing, or of all routers when the zone has
 * none.
 *
 * @param routers routers that can be reached, with their zones
 */
public fun upstreamHome(
    upstream: UpstreamId,
    zone: AvailabilityZoneId,
    routers: Map<RouterId, AvailabilityZoneId>,
): RouterId? {
    val local = routers.filterValues { it == zone }.keys.ifEmpty { routers.keys }
    val key = hashOf(upstream.value)
    return local.maxByOrNull { scoreOf(key, hashOf(it.value)) }
}
