/*
 * The choice of an upstream for one request. It reads an immutable snapshot of the fleet and the router's own counters.
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
 * @property address IP number and port for requests
 * @property bears concurrent requests it bears while cold
 * @property reportedLoad running and queued requests of its last report
 * @property othersInFlight requests of all other routers, as of the last exchange
 * @property blockedBecause why it receives no new work, or null when it is eligible
 * @property rampShare part of its share that it may carry, from 0 when it has just become warm to 1
 */
public data class UpstreamView(
    val id: UpstreamId,
    val availabilityZone: AvailabilityZoneId,
    val address: String,
    val pools: List<PoolId>,
    val state: UpstreamState,
    val bears: Int = 1,
    val reportedLoad: Int = 0,
    val othersInFlight: Int = 0,
    val blockedBecause: String? = null,
    val rampShare: Double = 1.0,
)

/** One pool in a [RoutingSnapshot] with all its upstreams, eligible or not. */
public data class PoolView(val settings: PoolSettings, val upstreams: List<UpstreamView>) {
    val kind: PoolKind get() = settings.kind
}

/**
 * What a router knows of the upstreams at one moment. Immutable; built by the control thread.
 *
 * @property atMillis when it was built, in milliseconds since the Unix epoch
 */
public data class RoutingSnapshot(val pools: Map<PoolId, PoolView> = emptyMap(), val atMillis: Long = 0)

/**
 * A request that needs an upstream.
 *
 * @property affinityKey the same for all requests of a chat, or null when any upstream will do
 * @property excluded upstreams that were tried before
 */
public data class RoutingRequest(
    val pool: PoolId,
    val affinityKey: String? = null,
    val excluded: Set<UpstreamId> = emptySet(),
)

/** The upstream for a request. When [slotNeeded] the router claims one of its slots first. */
public data class UpstreamChoice(val upstream: UpstreamView, val slotNeeded: Boolean)

/** Chooses upstreams and counts what this router has in flight at each. Safe to call from any thread. */
public interface UpstreamSelector {
    /** Chooses an upstream and counts the request as in flight there, or refuses with [Failure.NoUpstream]. */
    public fun choose(request: RoutingRequest): Either<Failure, UpstreamChoice>

    /** Ends a request that [choose] counted. */
    public fun finish(upstream: UpstreamId)

    /** Records that a connection to [upstream] failed or succeeded. */
    public fun recordConnection(upstream: UpstreamId, succeeded: Boolean)

    /** Records that [upstream] said it is cold in an answer, ahead of its next report. */
    public fun recordCold(upstream: UpstreamId, bears: Int)

    /**
     * The most requests that [upstream] may carry now as one of [pool], or null when it is not an eligible warm member.
     *
     * @param knownTotal requests in the pool as another router knows them; the higher of both views counts
     */
    public fun loadLimit(pool: PoolId, upstream: UpstreamId, knownTotal: Int): Int?

    /** Requests in [pool] as this router knows them. */
    public fun poolTotal(pool: PoolId): Int

    /** Requests of this router in flight by upstream; zero entries are left out. */
    public fun inFlight(): Map<UpstreamId, Int>
}
