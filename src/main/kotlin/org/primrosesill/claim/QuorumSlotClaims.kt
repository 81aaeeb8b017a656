/*
 * Slots of cold upstreams. The routers of the upstream's zone grant each slot to one holder at a time, so that a cold
 * upstream bears no more requests than it has slots, also when there are fewer slots than routers.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimVote
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Returns claims of slots that are decided by the votes of the routers in the upstream's zone.
 *
 * @param zoneOf the availability zone of an upstream, or null when the upstream is unknown
 */
public fun quorumSlotClaims(context: ClaimContext, zoneOf: (UpstreamId) -> AvailabilityZoneId?): SlotClaims =
    QuorumSlotClaims(context, zoneOf)

private class QuorumSlotClaims(
    private val context: ClaimContext,
    private val zoneOf: (UpstreamId) -> AvailabilityZoneId?,
) : SlotClaims {
    private val electorate = Electorate(context.known, context.settings)

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
            heldUntilMillis = minOf(heldUntilMillis, now + context.settings.longestSlotMillis),
            attempt = context.newAttempt(),
        )
    }

    private suspend fun claimSlot(request: ClaimRequest): SlotClaim? {
        val now = context.currentMillis()
        val voters = electorate.of(request.resource, ClaimKind.SLOT, now, now) ?: return null
        // The holder's own record tells young voters, which may have forgotten the slot, that it is in use.
        val own = context.peers.claim(context.self(), request)
        if (own == null || own.vote == ClaimVote.HELD) return null
        val ballot = Ballot(request, voters, context.peers, context.settings, context.scope)
        val granted = ballot.collect() || (ballot.held.isEmpty() && isFreeEverywhere(ballot))
        if (granted && context.currentMillis() < request.heldUntilMillis) return HeldSlot(ballot, request)
        releaseAll(ballot, request)
        return null
    }

    private suspend fun isFreeEverywhere(ballot: Ballot): Boolean {
        val now = context.currentMillis()
        val past = electorate.fleet(now) ?: return false
        val present = electorate.fleetAtPresent(now) ?: return false
        return ballot.collectUnanimity(present, ended = (past - present.toSet()).map { it.router }.toSet())
    }

    private fun releaseAll(ballot: Ballot, request: ClaimRequest) {
        ballot.release()
        launchReleases(listOf(context.self()), context.peers, context.scope, request)
    }

    private inner class HeldSlot(private val ballot: Ballot, private val request: ClaimRequest) : SlotClaim {
        private val released = AtomicBoolean()

        override fun release() {
            if (released.compareAndSet(false, true)) releaseAll(ballot, request)
        }
    }
}
