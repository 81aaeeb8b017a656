/*
 * Routes claim calls to the voters: to the local claim table directly, and to other routers through the peer client.
 */
package org.primrosesill.router

import org.primrosesill.claim.ClaimPeers
import org.primrosesill.claim.HolderState
import org.primrosesill.generated.ClaimOutcome
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimState
import org.primrosesill.generated.Member
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.http.PeerClient
import org.primrosesill.model.ClaimResource

internal class PeerClaims(private val self: Member, private val local: ClaimVoter, private val client: PeerClient) :
    ClaimPeers {
    override suspend fun claim(peer: Member, request: ClaimRequest): ClaimReply? =
        if (peer.isSelf()) local.vote(request) else client.claim(peer.address, request).getOrNull()

    override suspend fun release(peer: Member, release: ClaimRelease): Boolean =
        if (peer.isSelf()) {
            local.release(release)
            true
        } else {
            client.release(peer.address, release).isRight()
        }

    override suspend fun store(peer: Member, response: StoredAnswer): Boolean =
        if (peer.isSelf()) {
            local.store(response)
            true
        } else {
            client.storeResponse(peer.address, response).isRight()
        }

    override suspend fun outcome(address: String, resource: ClaimResource): HolderState? =
        if (address == self.address) {
            local.outcome(resource)
        } else {
            client.outcome(address, resource).getOrNull()?.toHolderState()
        }

    private fun Member.isSelf() = router == self.router
}

internal fun ClaimOutcome.toHolderState(): HolderState =
    when (state) {
        ClaimState.STORED -> answer?.let(HolderState::Stored) ?: HolderState.Unknown
        ClaimState.IN_PROGRESS -> HolderState.InProgress
        ClaimState.UNKNOWN -> HolderState.Unknown
        ClaimState.NOT_HELD -> HolderState.NotHeld
    }

internal fun HolderState.toClaimOutcome(): ClaimOutcome =
    when (this) {
        is HolderState.Stored -> ClaimOutcome(ClaimState.STORED, response)
        HolderState.InProgress -> ClaimOutcome(ClaimState.IN_PROGRESS)
        HolderState.Unknown -> ClaimOutcome(ClaimState.UNKNOWN)
        HolderState.NotHeld -> ClaimOutcome(ClaimState.NOT_HELD)
    }
