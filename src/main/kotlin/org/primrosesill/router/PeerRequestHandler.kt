/*
 * Handles the requests of peers.
 */
package org.primrosesill.router

import org.primrosesill.concurrent.ControlThread
import org.primrosesill.generated.ClaimOutcome
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.ReservationReply
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.generated.VmList
import org.primrosesill.http.PeerHandler
import org.primrosesill.model.ClaimResource

/** Target size of a page in bytes. Well below the maximum message size, so that one large document still fits. */
private const val PAGE_SIZE_BYTES = 512 * 1024

internal class PeerRequestHandler(
    private val control: ControlThread,
    private val state: ControlState,
    private val voter: ClaimVoter,
    private val grantLease: suspend (LeaseRequest) -> LeaseReply,
    private val grantReservation: suspend (ReservationRequest) -> ReservationReply,
    private val currentMillis: () -> Long,
) : PeerHandler {
    override suspend fun exchange(message: ExchangeMessage): ExchangeMessage =
        control.run {
            state.receive(message, currentMillis())
            ExchangeMessage(message.round, listOf(state.ownPart()))
        }

    override suspend fun configuration(since: Long): ConfigurationPage =
        control.run { state.documents.page(since, PAGE_SIZE_BYTES) }

    override suspend fun vms(): VmList = control.run { state.vmList }

    override suspend fun claim(request: ClaimRequest): ClaimReply = voter.vote(request)

    override suspend fun release(release: ClaimRelease): Unit = voter.release(release)

    override suspend fun storeResponse(response: StoredAnswer): Unit = voter.store(response)

    override suspend fun outcome(resource: ClaimResource): ClaimOutcome = voter.outcome(resource).toClaimOutcome()

    override suspend fun lease(request: LeaseRequest): LeaseReply = grantLease(request)

    override suspend fun reserve(request: ReservationRequest): ReservationReply = grantReservation(request)
}
