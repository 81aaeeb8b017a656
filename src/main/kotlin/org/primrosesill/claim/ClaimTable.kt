/*
 * The voter side of claims. It records each claim once and never grants the resource to another claimant before the
 * claim is released or has expired. The table is confined to the control thread, which passes the time to each call.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimVote
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.RouterId

/**
 * Claims and stored responses of one router. Not thread-safe.
 *
 * @param startedAtMillis wall clock at the start of the process; claims that were granted before it are unknown
 */
public class ClaimTable(
    private val self: RouterId,
    private val startedAtMillis: Long,
    private val settings: ClaimSettings,
    knownRouters: KnownRouters,
) {
    private val voterSelection = VoterSelection(knownRouters, settings)
    private val claims = HashMap<ClaimResource, RecordedClaim>()
    private val storedResponses = HashMap<ClaimResource, StoredAnswer>()
    private val releasedAttempts = LinkedHashMap<ReleasedAttempt, Long>()

    // Never decreases, because a clock that is set back must not make an expired key valid again.
    private var clockMillis = Long.MIN_VALUE

    /** Number of recorded claims. */
    public val size: Int get() = claims.size

    /** Votes on [request]. A repeated attempt receives the same vote again, any other attempt the current holder. */
    public fun vote(request: ClaimRequest, nowMillis: Long): ClaimReply {
        val now = advanceClock(nowMillis)
        removeExpired(request.resource, now)
        val existing = claims[request.resource]
        val attempt = ReleasedAttempt(request.resource, request.claimant, request.attempt)
        return when {
            existing != null && !existing.isSameAttempt(request) -> reply(request, now, ClaimVote.HELD, existing)
            attempt in releasedAttempts || !canRecord(request, now) -> reply(request, now, ClaimVote.ABSTAINED, null)
            existing != null -> reply(request, now, existing.vote, existing)
            else -> record(request, now)
        }
    }

    /** Removes the claim of the same attempt. If the release arrives before its claim, the claim is not recorded. */
    public fun release(release: ClaimRelease, nowMillis: Long) {
        val now = advanceClock(nowMillis)
        val existing = claims[release.resource]
        if (existing != null && existing.claimant == release.claimant && existing.attempt == release.attempt) {
            claims.remove(release.resource)
        }
        releasedAttempts[ReleasedAttempt(release.resource, release.claimant, release.attempt)] = now
        if (releasedAttempts.size > MAXIMUM_RELEASED_ATTEMPTS) releasedAttempts.remove(releasedAttempts.keys.first())
    }

    /** Stores the response of a request that ran. The first response of a resource is kept. */
    public fun store(response: StoredAnswer, nowMillis: Long) {
        if (advanceClock(nowMillis) < response.keepUntilMillis && storedResponses.size < settings.maximumClaims) {
            storedResponses.putIfAbsent(response.resource, response)
        }
    }

    /** Returns the stored response of [resource], or null. */
    public fun storedResponse(resource: ClaimResource): StoredAnswer? = storedResponses[resource]

    /** Returns the responses that a stopping router transfers to others. */
    public fun storedResponses(): List<StoredAnswer> = storedResponses.values.toList()

    /** Removes expired claims, responses and released attempts. Called about once a second. */
    public fun tick(nowMillis: Long) {
        val now = advanceClock(nowMillis)
        claims.values.removeIf { it.expiresAtMillis <= now }
        storedResponses.values.removeIf { it.keepUntilMillis <= now }
        releasedAttempts.values.removeIf { it + settings.maximumSlotMillis + settings.startMarginMillis <= now }
    }

    private fun advanceClock(nowMillis: Long): Long {
        clockMillis = maxOf(clockMillis, nowMillis)
        return clockMillis
    }

    private fun removeExpired(resource: ClaimResource, now: Long) {
        if (claims[resource]?.let { it.expiresAtMillis <= now } == true) claims.remove(resource)
    }

    private fun canRecord(request: ClaimRequest, now: Long): Boolean =
        when (request.kind) {
            ClaimKind.KEY -> canVoteOnKey(request, now)

            ClaimKind.SLOT ->
                request.heldUntilMillis > now &&
                    request.heldUntilMillis <= now + settings.maximumSlotMillis + settings.clockToleranceMillis
        }

    /** A voter abstains if it started too late, or if an earlier claim of the key may have expired in its table. */
    private fun canVoteOnKey(request: ClaimRequest, now: Long): Boolean {
        if (claims.size >= settings.maximumClaims && request.resource !in claims) return false
        val created = request.createdAtMillis
        return if (created > 0) {
            startedAtMillis < created - settings.startMarginMillis &&
                now < created + settings.maximumRetentionMillis + settings.clockToleranceMillis
        } else {
            startedAtMillis < now - settings.maximumRetentionMillis - settings.startMarginMillis
        }
    }

    private fun record(request: ClaimRequest, now: Long): ClaimReply {
        val startedTooRecently =
            request.kind == ClaimKind.SLOT &&
                startedAtMillis >= now - settings.maximumSlotMillis - settings.startMarginMillis
        val claim =
            RecordedClaim(
                request.claimant,
                request.claimantAddress,
                request.attempt,
                // A voter that started too recently records the claim but abstains, since it may lack an earlier claim.
                if (startedTooRecently) ClaimVote.ABSTAINED else ClaimVote.GRANTED,
                expiryMillis(request, now),
            )
        claims[request.resource] = claim
        return reply(request, now, claim.vote, claim)
    }

    private fun expiryMillis(request: ClaimRequest, now: Long): Long =
        when {
            request.kind == ClaimKind.SLOT -> request.heldUntilMillis + settings.clockToleranceMillis

            // From this instant on canVoteOnKey returns false, so that it is safe to remove the claim.
            request.createdAtMillis > 0 ->
                request.createdAtMillis + settings.maximumRetentionMillis + settings.startMarginMillis

            else -> now + settings.maximumRetentionMillis + settings.startMarginMillis
        }

    private fun reply(request: ClaimRequest, now: Long, vote: ClaimVote, holder: RecordedClaim?): ClaimReply =
        ClaimReply(
            voter = self,
            vote = vote,
            holder = holder?.claimant,
            holderAddress = holder?.claimantAddress,
            knownRouters =
                voterSelection
                    .of(request.resource, request.kind, request.createdAtMillis, now)
                    .orEmpty()
                    .map { it.router },
            answer = storedResponses[request.resource],
        )

    private companion object {
        /** Dropping a released attempt can only leave an unused key claimed; it never lets a key run twice. */
        const val MAXIMUM_RELEASED_ATTEMPTS = 10_000
    }
}

private data class ReleasedAttempt(val resource: ClaimResource, val claimant: RouterId, val attempt: String)

private class RecordedClaim(
    val claimant: RouterId,
    val claimantAddress: String,
    val attempt: String,
    val vote: ClaimVote,
    val expiresAtMillis: Long,
) {
    fun isSameAttempt(request: ClaimRequest): Boolean = claimant == request.claimant && attempt == request.attempt
}
