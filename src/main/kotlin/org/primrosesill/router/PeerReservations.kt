/*
 * Reservations over the peer protocol: requests them from the reservation owners of upstreams, and grants them for the
 * upstreams that this router owns.
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
import org.primrosesill.routing.MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS
import org.primrosesill.routing.Reservation
import org.primrosesill.routing.ReservationTable
import org.primrosesill.routing.Reservations
import org.primrosesill.routing.UpstreamSelector
import org.primrosesill.routing.UpstreamView
import org.primrosesill.routing.reservationOwnerOf
import kotlin.time.Duration.Companion.milliseconds

/** An unresponsive owner delays each request by this time, and the request then starts without a reservation. */
private val RESERVATION_TIMEOUT = 50.milliseconds

internal class PeerReservations(
    private val selfRouter: RouterId,
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
        if (routers <= MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS) return Reservation.UNAVAILABLE
        val owner = ownerOf(upstream) ?: return Reservation.UNAVAILABLE
        val otherRequests = (selector.inFlight()[upstream.id] ?: 1) - 1
        val request = ReservationRequest(pool, upstream.id, selfRouter, otherRequests, selector.poolTotal(pool))
        val reply =
            if (owner == selfRouter) {
                grant(request)
            } else {
                withTimeoutOrNull(RESERVATION_TIMEOUT) { requestFrom(owner, request) }
            }
        return when (reply?.state) {
            ReservationState.GRANTED -> Reservation.GRANTED
            ReservationState.FULL -> Reservation.FULL
            ReservationState.UNKNOWN, null -> Reservation.UNAVAILABLE
        }
    }

    /** Grants or refuses a reservation as the owner, even if this router's own view has another owner. */
    suspend fun grant(request: ReservationRequest): ReservationReply {
        val limit = selector.loadLimit(request.pool, request.upstream, request.poolTotal)
        return control.run { table.reserve(request, limit, currentMillis()) }
    }

    private suspend fun requestFrom(owner: RouterId, request: ReservationRequest): ReservationReply? =
        views.members
            .get()
            .addressOf(owner)
            ?.let { peers.reserve(it, request).getOrNull() }

    private fun ownerOf(upstream: UpstreamView): RouterId? {
        val recent = views.members.get().aliveSince(currentMillis() - OWNER_TIMEOUT_MILLIS)
        val reachable = recent.filter { it.state == MemberState.LIVE }.associate { it.router to it.availabilityZone }
        return reservationOwnerOf(upstream.id, upstream.availabilityZone, reachable)
    }
}
