/*
 * Reservations of capacity at warm upstreams. Counts of other routers arrive with a delay, so routers that rely on them
 * would overload the same upstream concurrently. Therefore one router, the reservation owner of the upstream, counts
 * all requests there as they start and grants reservations up to the load bound.
 *
 * Two routers can both act as the reservation owner while their views of the membership differ. Each then has the
 * counts of all routers from the exchange, so the error is limited to the requests that start within one exchange
 * interval.
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
 * Largest number of routers that work without reservations. Up to this size every router receives all counts in each
 * exchange round, so the load bound holds without them. Reservation owners would only reduce cache reuse, because they
 * receive the end of requests with a delay (docs/decisions/routing.md).
 */
public const val MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS: Int = 9

/** An exchange message that was in transit when a reservation was granted must not overwrite that reservation. */
private const val EXCHANGE_LAG_MILLIS = 750L

/** The outcome of a request for a reservation. */
public enum class Reservation {
    /** The request may start at the upstream. */
    GRANTED,

    /** The upstream is at its load bound; the request should go to another one. */
    FULL,

    /** No reservation owner responded or is needed, so the router relies on its own counts. */
    UNAVAILABLE,
}

/** Requests reservations from the reservation owners of upstreams. Safe to call from any thread. */
public fun interface Reservations {
    /** Requests a reservation at [upstream] for a request of [pool] that [UpstreamSelector.choose] has counted. */
    public suspend fun reserve(pool: PoolId, upstream: UpstreamView): Reservation
}

/** Counts requests at the upstreams whose reservation owner is this router. Confined to the control thread. */
public class ReservationTable {
    private val counts = HashMap<UpstreamId, HashMap<RouterId, RouterInFlight>>()

    /**
     * Grants a reservation when fewer than [bound] requests are in flight at the upstream.
     *
     * @param bound maximum number of concurrent requests at the upstream, or null if the upstream is unknown to this
     *   router
     */
    public fun reserve(request: ReservationRequest, bound: Int?, nowMillis: Long): ReservationReply {
        if (bound == null) return ReservationReply(ReservationState.UNKNOWN)
        val routers = counts.getOrPut(request.upstream) { HashMap() }
        val requester = routers.getOrPut(request.router) { RouterInFlight() }
        requester.set(request.inFlight, nowMillis)
        if (routers.values.sumOf { it.count } >= bound) return ReservationReply(ReservationState.FULL)
        requester.set(request.inFlight + 1, nowMillis)
        return ReservationReply(ReservationState.GRANTED)
    }

    /** Applies the in-flight counts that [router] sent in an exchange; upstreams that are not listed have none. */
    public fun applyInFlight(router: RouterId, inFlight: Map<UpstreamId, Int>, nowMillis: Long) {
        for ((upstream, routers) in counts) {
            val recorded = routers[router]
            if (recorded != null && nowMillis - recorded.setAtMillis < EXCHANGE_LAG_MILLIS) continue
            val count = inFlight[upstream] ?: 0
            if (count == 0) routers.remove(router) else routers.getOrPut(router) { RouterInFlight() }.count = count
        }
        for ((upstream, count) in inFlight) {
            if (upstream !in counts) counts[upstream] = hashMapOf(router to RouterInFlight().also { it.count = count })
        }
    }

    /** Removes the counts of a router that is lost. */
    public fun removeRouter(router: RouterId) {
        counts.values.forEach { it.remove(router) }
    }

    /** Removes upstreams that are not in [upstreams]. */
    public fun retainUpstreams(upstreams: Set<UpstreamId>) {
        counts.keys.retainAll(upstreams)
    }
}

private class RouterInFlight {
    var count = 0
    var setAtMillis = Long.MIN_VALUE / 2
        private set

    fun set(value: Int, nowMillis: Long) {
        count = value
        setAtMillis = nowMillis
    }
}

/**
 * Returns the reservation owner of an upstream: the highest-ranked router of its zone by rendezvous hashing, or of
 * all routers if the zone has none. Returns null if [routers] is empty.
 *
 * @param routers reachable routers with their zones
 */
public fun reservationOwnerOf(
    upstream: UpstreamId,
    zone: AvailabilityZoneId,
    routers: Map<RouterId, AvailabilityZoneId>,
): RouterId? {
    val local = routers.filterValues { it == zone }.keys.ifEmpty { routers.keys }
    val key = hashOf(upstream.value)
    return local.maxByOrNull { scoreOf(key, hashOf(it.value)) }
}
