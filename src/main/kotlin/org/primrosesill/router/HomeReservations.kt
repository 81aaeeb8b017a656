/*
 * Reservations over the peer protocol: requests them from the home routers of upstreams, and grants them as a home.
 */
package org.primrosesill.router

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.ReservationReply
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.ReservationState
import org.primrosesill.http.PeerClient
import org.primrosesill.limit.OWNER_TIMEOUT_MILLIS
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.routing.ROUTERS_WITHOUT_HOMES
import org.primrosesill.routing.Reservation
import org.primrosesill.routing.ReservationTable
import org.primrosesill.routing.Reservations
import org.primrosesill.routing.UpstreamSelector
import org.primrosesill.routing.UpstreamView
import org.primrosesill.routing.homeRouterOf
import kotlin.time.Duration.Companion.milliseconds

/** An unresponsive home delays each request by this time, and the request then starts without a reservation. */
private val HOME_TIMEOUT = 50.milliseconds

internal class HomeReservations(
    private val own: RouterId,
    private val views: PublishedViews,
    private val control: ControlThread,
    private val table: ReservationTable,
    private val selector: UpstreamSelector,
    private val peers: PeerClient,
    private val currentMillis: () -> Long,
) : Reservations {
    override suspend fun reserve(pool: PoolId, upstream: UpstreamView): Reservation {
        val routers =
            views.members
                .get()
                .live.size
        if (routers <= ROUTERS_WITHOUT_HOMES) return Reservation.UNAVAILABLE
        val home = homeOf(upstream) ?: return Reservation.UNAVAILABLE
        val others = (selector.inFlight()[upstream.id] ?: 1) - 1
        val request = ReservationRequest(pool, upstream.id, own, others, selector.poolTotal(pool))
        val reply = if (home == own) grant(request) else withTimeoutOrNull(HOME_TIMEOUT) { requestFrom(home, request) }
        return when (reply?.state) {
            ReservationState.GRANTED -> Reservation.GRANTED
            ReservationState.FULL -> Reservation.FULL
            ReservationState.UNKNOWN, null -> Reservation.UNAVAILABLE
        }
    }

    /** Handles a reservation as the home of the upstream, even if this router computes a different home for it. */
    suspend fun grant(request: ReservationRequest): ReservationReply {
        val limit = selector.loadLimit(request.pool, request.upstream, request.poolTotal)
        return control.run { table.reserve(request, limit, currentMillis()) }
    }

    private suspend fun requestFrom(home: RouterId, request: ReservationRequest): ReservationReply? =
        views.members
            .get()
            .addressOf(home)
            ?.let { peers.reserve(it, request).getOrNull() }

    private fun homeOf(upstream: UpstreamView): RouterId? {
        val recent = views.members.get().aliveSince(currentMillis() - OWNER_TIMEOUT_MILLIS)
        val reachable = recent.filter { it.state == MemberState.LIVE }.associate { it.router to it.availabilityZone }
        return homeRouterOf(upstream.id, upstream.availabilityZone, reachable)
    }
}
