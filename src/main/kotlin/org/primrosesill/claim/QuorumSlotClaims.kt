/*
 * Claims of the slots of cold upstreams. The routers of the upstream's zone grant each slot to one holder at a time, so
 * that a cold upstream receives no more concurrent requests than it has slots, even with fewer slots than routers.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimVote
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Returns slot claims that a quorum of the routers in the upstream's zone decides.
 *
 * @param zoneOf returns the availability zone of an upstream, or null when the upstream is unknown
 */
public fun quorumSlotClaims(context: ClaimContext, zoneOf: (UpstreamId) -> AvailabilityZoneId?): SlotClaims =
    QuorumSlotClaims(context, zoneOf)

private class QuorumSlotClaims(
    private val context: ClaimContext,
    private val zoneOf: (UpstreamId) -> AvailabilityZoneId?,
) : SlotClaims {
    private val voterSelection = VoterSelection(context.knownRouters, context.settings)

    override suspend fun claim(upstream: UpstreamId, slots: Int, heldUntilMillis: Long): SlotClaim? {
        val zone = zoneOf(upstream) ?: return null
        for (index in 0 until slots) {
            claimSlot(request(zone, upstream, index, heldUntilMillis))?.let { return it }
            if (context.currentMillis() >= heldUntilMillis) return null
        }
        return null
    }

    private fun request(
        zone: AvailabilityZoneId,
        upstream: UpstreamId,
        index: Int,
        heldUntilMillis: Long,
    ): ClaimRequest {
        val self = context.self()
        val now = context.currentMillis()
        return ClaimRequest(
            resource = slotResource(zone, upstream, index),
            kind = ClaimKind.SLOT,
            claimant = self.router,
            claimantAddress = self.address,
            createdAtMillis = now,
            heldUntilMillis = minOf(heldUntilMillis, now + context.settings.maximumSlotMillis),
            attempt = context.newAttempt(),
        )
    }

    private suspend fun claimSlot(request: ClaimRequest): SlotClaim? {
        val now = context.currentMillis()
        val voters = voterSelection.of(request.resource, ClaimKind.SLOT, now, now) ?: return null
        // The holder records the claim itself, because voters that started recently may have no record of the slot.
        val ownReply = context.peers.claim(context.self(), request)
        if (ownReply == null || ownReply.vote == ClaimVote.HELD) return null
        val votes = VoteCollector(request, voters, context.peers, context.settings, context.scope)
        val granted = votes.collect() || (votes.heldReplies.isEmpty() && isConfirmedFree(votes))
        if (granted && context.currentMillis() < request.heldUntilMillis) return HeldSlot(votes, request)
        releaseEverywhere(votes, request)
        return null
    }

    private suspend fun isConfirmedFree(votes: VoteCollector): Boolean {
        val now = context.currentMillis()
        val previousHolders = voterSelection.possibleSlotHolders(now) ?: return false
        val currentHolders = voterSelection.currentPossibleSlotHolders(now) ?: return false
        return votes.collectUnanimity(
            currentHolders,
            ended =
                (previousHolders - currentHolders.toSet())
                    .map {
                        it.router
                    }.toSet(),
        )
    }

    private fun releaseEverywhere(votes: VoteCollector, request: ClaimRequest) {
        votes.release()
        launchReleases(listOf(context.self()), context.peers, context.scope, request)
    }

    private inner class HeldSlot(private val votes: VoteCollector, private val request: ClaimRequest) : SlotClaim {
        private val released = AtomicBoolean()

        override fun release() {
            if (released.compareAndSet(false, true)) releaseEverywhere(votes, request)
        }
    }
}
