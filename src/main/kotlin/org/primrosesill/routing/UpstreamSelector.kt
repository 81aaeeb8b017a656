/*
 * The selection of an upstream for one request, from an immutable snapshot of the fleet and the router's own counters.
 */
package org.primrosesill.routing

import arrow.core.Either
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId

/**
 * One upstream in a [RoutingSnapshot].
 *
 * @property address IP address and port for requests
 * @property coldConcurrencyLimit maximum number of concurrent requests while it is cold
 * @property reportedLoad running and queued requests in its latest load report
 * @property othersInFlight requests of all other routers in flight there, as of the last exchange
 * @property ineligibleReason why it is not eligible for new requests, or null if it is
 * @property slowStartFactor fraction of its full share that it may receive, from 0 when it has just become warm to 1
 */
public data class UpstreamView(
    val id: UpstreamId,
    val availabilityZone: AvailabilityZoneId,
    val address: String,
    val pools: List<PoolId>,
    val state: UpstreamState,
    val coldConcurrencyLimit: Int = 1,
    val reportedLoad: Int = 0,
    val othersInFlight: Int = 0,
    val ineligibleReason: String? = null,
    val slowStartFactor: Double = 1.0,
)

/** One pool in a [RoutingSnapshot] with all its upstreams, eligible or not. */
public data class PoolView(val settings: PoolSettings, val upstreams: List<UpstreamView>) {
    val kind: PoolKind get() = settings.kind
}

/**
 * The state of all upstreams, as known to one router at one time. Immutable; built by the control thread.
 *
 * @property atMillis when it was built, in milliseconds since the Unix epoch
 */
public data class RoutingSnapshot(val pools: Map<PoolId, PoolView> = emptyMap(), val atMillis: Long = 0)

/**
 * A request that needs an upstream.
 *
 * @property affinityKey the same for all requests of a chat, or null if any upstream is suitable
 * @property excluded upstreams that were already tried for this request
 */
public data class RoutingRequest(
    val pool: PoolId,
    val affinityKey: String? = null,
    val excluded: Set<UpstreamId> = emptySet(),
)

/** The upstream for a request. If [requiresSlot], the router must claim one of its slots before sending the request. */
public data class UpstreamChoice(val upstream: UpstreamView, val requiresSlot: Boolean)

/** Selects upstreams and counts the requests of this router in flight at each. Safe to call from any thread. */
public interface UpstreamSelector {
    /** Selects an upstream and counts the request as in flight there, or returns [Failure.NoUpstream]. */
    public fun choose(request: RoutingRequest): Either<Failure, UpstreamChoice>

    /** Removes a request that [choose] counted from the requests in flight. */
    public fun finish(upstream: UpstreamId)

    /** Records the outcome of a connection attempt to [upstream] for its circuit breaker. */
    public fun recordConnection(upstream: UpstreamId, succeeded: Boolean)

    /**
     * Records that a response of [upstream] reported it as cold, ahead of its next load report.
     *
     * @param coldConcurrencyLimit maximum number of concurrent requests that the response reported
     */
    public fun recordCold(upstream: UpstreamId, coldConcurrencyLimit: Int)

    /**
     * Returns the current maximum number of concurrent requests at [upstream] as a member of [pool], or null if it is
     * not an eligible warm member.
     *
     * @param knownTotal requests in the pool as counted by another router; the higher of both counts is used
     */
    public fun loadLimit(pool: PoolId, upstream: UpstreamId, knownTotal: Int): Int?

    /** Returns the requests in flight at the warm upstreams of [pool], as known to this router. */
    public fun poolTotal(pool: PoolId): Int

    /** Returns the requests of this router in flight for each upstream; upstreams without any are omitted. */
    public fun inFlight(): Map<UpstreamId, Int>
}
