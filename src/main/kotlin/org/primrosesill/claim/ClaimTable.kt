/*
 * The voter. It records each claim once and never gives a resource to anybody else before it is released or no longer
 * valid. The control thread owns the table and passes the time to each call.
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
 * Claims and stored answers of one router. Not safe for use from several threads.
 *
 * @param startedAtMillis wall clock at the start of the process; what was granted before is unknown
 */
public class ClaimTable(
    private val self: RouterId,
    private val startedAtMillis: Long,
    private val settings: ClaimSettings,
    known: KnownRouters,
) {
    private val electorate = Electorate(known, settings)
    private val claims = HashMap<ClaimResource, RecordedClaim>()
    private val answers = HashMap<ClaimResource, StoredAnswer>()
    private val withdrawn = LinkedHashMap<Withdrawal, Long>()

    // A clock that is set back must not make a forgotten key valid again.
    private var latestMillis = Long.MIN_VALUE

    /** Claims that are recorded at present. */
    public val size: Int get() = claims.size

    /** Votes on [request]. The same attempt receives the same vote again, every other one is told who holds it. */
    public fun vote(request: ClaimRequest, nowMillis: Long): ClaimReply {
        val now = advance(nowMillis)
        expire(request.resource, now)
        val held = claims[request.resource]
        val withdrawal = Withdrawal(request.resource, request.claimant, request.attempt)
        return when {
            held != null && !held.belongsTo(request) -> reply(request, now, ClaimVote.HELD, held)
            withdrawal in withdrawn || !mayRecord(request, now) -> reply(request, now, ClaimVote.ABSTAINED, null)
            held != null -> reply(request, now, held.vote, held)
            else -> record(request, now)
        }
    }

    /** Frees a claim if it is the same attempt. A release that overtakes its claim makes the claim void. */
    public fun release(release: ClaimRelease, nowMillis: Long) {
        val now = advance(nowMillis)
        val held = claims[release.resource]
        if (held != null && held.claimant == release.claimant && held.attempt == release.attempt) {
            claims.remove(release.resource)
        }
        withdrawn[Withdrawal(release.resource, release.claimant, release.attempt)] = now
        if (withdrawn.size > MAXIMUM_WITHDRAWN) withdrawn.remove(withdrawn.keys.first())
    }

    /** Keeps the answer of a request that ran. The first answer of a resource stays. */
    public fun store(answer: StoredAnswer, nowMillis: Long) {
        if (advance(nowMillis) < answer.keepUntilMillis && answers.size < settings.maximumClaims) {
            answers.putIfAbsent(answer.resource, answer)
        }
    }

    /** The stored answer of [resource], or null. */
    public fun answer(resource: ClaimResource): StoredAnswer? = answers[resource]

    /** The answers that a stopping router hands on. */
    public fun answers(): List<StoredAnswer> = answers.values.toList()

    /** Drops what is no longer valid. Called about once a second. */
    public fun tick(nowMillis: Long) {
        val now = advance(nowMillis)
        claims.values.removeIf { it.forgetAtMillis <= now }
        answers.values.removeIf { it.keepUntilMillis <= now }
        withdrawn.values.removeIf { it + settings.longestSlotMillis + settings.startMarginMillis <= now }
    }

    private fun advance(nowMillis: Long): Long {
        latestMillis = maxOf(latestMillis, nowMillis)
        return latestMillis
    }

    private fun expire(resource: ClaimResource, now: Long) {
        if (claims[resource]?.let { it.forgetAtMillis <= now } == true) claims.remove(resource)
    }

    private fun mayRecord(request: ClaimRequest, now: Long): Boolean =
        when (request.kind) {
            ClaimKind.KEY -> mayVoteOnKey(request, now)

            ClaimKind.SLOT ->
                request.heldUntilMillis > now &&
                    request.heldUntilMillis <= now + settings.longestSlotMillis + settings.clockToleranceMillis
        }

    /** A voter that started too late, or that may have forgotten an earlier claim of the key, has no vote. */
    private fun mayVoteOnKey(request: ClaimRequest, now: Long): Boolean {
        if (claims.size >= settings.maximumClaims && request.resource !in claims) return false
        val created = request.createdAtMillis
        return if (created > 0) {
            startedAtMillis < created - settings.startMarginMillis &&
                now < created + settings.longestRetentionMillis + settings.clockToleranceMillis
        } else {
            startedAtMillis < now - settings.longestRetentionMillis - settings.startMarginMillis
        }
    }

    private fun record(request: ClaimRequest, now: Long): ClaimReply {
        val tooYoung =
            request.kind == ClaimKind.SLOT &&
                startedAtMillis >= now - settings.longestSlotMillis - settings.startMarginMillis
        val claim =
            RecordedClaim(
                request.claimant,
                request.claimantAddress,
                request.attempt,
                // The record of a young voter says that nothing is held here at present, but it is no vote.
                if (tooYoung) ClaimVote.ABSTAINED else ClaimVote.GRANTED,
                forgetAt(request, now),
            )
        claims[request.resource] = claim
        return reply(request, now, claim.vote, claim)
    }

    private fun forgetAt(request: ClaimRequest, now: Long): Long =
        when {
            request.kind == ClaimKind.SLOT -> request.heldUntilMillis + settings.clockToleranceMillis

            // From this instant on mayVoteOnKey abstains, so that forgetting is safe.
            request.createdAtMillis > 0 ->
                request.createdAtMillis + settings.longestRetentionMillis + settings.startMarginMillis

            else -> now + settings.longestRetentionMillis + settings.startMarginMillis
        }

    private fun reply(request: ClaimRequest, now: Long, vote: ClaimVote, holder: RecordedClaim?): ClaimReply =
        ClaimReply(
            voter = self,
            vote = vote,
            holder = holder?.claimant,
            holderAddress = holder?.claimantAddress,
            knownRouters =
                electorate
                    .of(request.resource, request.kind, request.createdAtMillis, now)
                    .orEmpty()
                    .map { it.router },
            answer = answers[request.resource],
        )

    private companion object {
        /** A forgotten withdrawal can only leave a key taken that nobody uses; it never lets a key run twice. */
        const val MAXIMUM_WITHDRAWN = 10_000
    }
}

private data class Withdrawal(val resource: ClaimResource, val claimant: RouterId, val attempt: String)

private class RecordedClaim(
    val claimant: RouterId,
    val claimantAddress: String,
    val attempt: String,
    val vote: ClaimVote,
    val forgetAtMillis: Long,
) {
    fun belongsTo(request: ClaimRequest): Boolean = claimant == request.claimant && attempt == request.attempt
}
