/*
 * Selects the voters of a claim. The claimant and each voter select them from their own view of the members. The
 * claimant needs a quorum of the union of these views, so that a router that is in only one view still counts.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.Member
import org.primrosesill.model.ClaimResource

/** Source of the routers that may have been alive at an instant or later, according to the member table. */
public fun interface KnownRouters {
    /** Returns the routers, or null while this router has no source that lists the others. Thread-safe. */
    public fun possiblyAliveSince(instantMillis: Long): List<Member>?
}

/** Selects the routers that count towards the quorum of a claim. */
internal class VoterSelection(private val knownRouters: KnownRouters, private val settings: ClaimSettings) {
    /**
     * Returns the routers that count towards the quorum of a claim of [resource], whether they can vote or not.
     *
     * For a key with a creation time these are the only routers that can ever vote on it. A router that started too
     * late is left out, since it abstains from this key for its whole lifetime. For a key without a creation time, a
     * router that started too recently can vote later, so that it has to count from the start.
     */
    fun of(resource: ClaimResource, kind: ClaimKind, createdAtMillis: Long, nowMillis: Long): List<Member>? =
        when (kind) {
            ClaimKind.SLOT -> slotVoters(resource, nowMillis)

            ClaimKind.KEY ->
                if (createdAtMillis > 0) {
                    knownRouters
                        .possiblyAliveSince(createdAtMillis)
                        ?.filter { it.startedAtMillis < createdAtMillis - settings.startMarginMillis }
                } else {
                    knownRouters.possiblyAliveSince(
                        nowMillis - settings.maximumRetentionMillis - settings.startMarginMillis,
                    )
                }
        }

    /** Returns the routers that may have held a slot within the longest time for which a slot is held. */
    fun possibleSlotHolders(nowMillis: Long): List<Member>? =
        knownRouters.possiblyAliveSince(nowMillis - settings.maximumSlotMillis - settings.startMarginMillis)

    /**
     * Returns the routers that may hold a slot now. One that has surely ended holds none: its connections are closed.
     */
    fun currentPossibleSlotHolders(nowMillis: Long): List<Member>? = knownRouters.possiblyAliveSince(nowMillis)

    private fun slotVoters(resource: ClaimResource, nowMillis: Long): List<Member>? {
        val candidates = possibleSlotHolders(nowMillis) ?: return null
        val zone = slotZone(resource)
        val unknownZone = candidates.filter { it.availabilityZone.value.isEmpty() }
        val inZone = candidates.filter { it.availabilityZone == zone }
        return if (inZone.isEmpty()) candidates else inZone + unknownZone
    }
}

/**
 * Returns the votes that a quorum of [size] known routers needs: more than three quarters. Two claimants can reach
 * disjoint quorums for one key only if the fractions of the fleet that their views lack add up to more than two thirds,
 * one third on each side. With a quorum of more than two thirds, one quarter on each side would be enough.
 */
internal fun votesNeeded(size: Int): Int = size * 3 / 4 + 1
