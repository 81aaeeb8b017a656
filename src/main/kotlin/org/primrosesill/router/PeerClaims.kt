/*
 * Routes claim calls to the voters: to the local claim table directly, and to other routers through the peer client.
 */
package org.primrosesill.router

import org.primrosesill.claim.ClaimPeers
import org.primrosesill.claim.HolderOutcome
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

    override suspend fun store(peer: Member, answer: StoredAnswer): Boolean =
        if (peer.isSelf()) {
            local.store(answer)
            true
        } else {
            client.storeAnswer(peer.address, answer).isRight()
        }

    override suspend fun outcome(address: String, resource: ClaimResource): HolderOutcome? =
        if (address == self.address) {
            local.outcome(resource)
        } else {
            client.outcome(address, resource).getOrNull()?.toHolderOutcome()
        }

    private fun Member.isSelf() = router == self.router
}

internal fun ClaimOutcome.toHolderOutcome(): HolderOutcome =
    when (state) {
        ClaimState.STORED -> answer?.let(HolderOutcome::Stored) ?: HolderOutcome.Unknown
        ClaimState.IN_PROGRESS -> HolderOutcome.InProgress
        ClaimState.UNKNOWN -> HolderOutcome.Unknown
        ClaimState.NOT_HELD -> HolderOutcome.NotHeld
    }

internal fun HolderOutcome.toClaimOutcome(): ClaimOutcome =
    when (this) {
        is HolderOutcome.Stored -> ClaimOutcome(ClaimState.STORED, answer)
        HolderOutcome.InProgress -> ClaimOutcome(ClaimState.IN_PROGRESS)
        HolderOutcome.Unknown -> ClaimOutcome(ClaimState.UNKNOWN)
        HolderOutcome.NotHeld -> ClaimOutcome(ClaimState.NOT_HELD)
    }
