/*
 * Idempotency keys over the whole fleet. A key is sent only after more than three quarters of the routers that can vote
 * on it have recorded the claim; nobody else can then reach as many.
 */
package org.primrosesill.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.Member
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.Failure
import java.util.concurrent.ConcurrentHashMap

/**
 * What claims need from their router.
 *
 * @property self this router as its peers know it
 * @property currentMillis wall clock in milliseconds since the Unix epoch
 * @property newAttempt a new id for each attempt, never used before in the fleet
 * @property scope runs calls that outlive a claim: late votes, releases, copies of answers
 */
public class ClaimContext(
    public val self: () -> Member,
    public val known: KnownRouters,
    public val peers: ClaimPeers,
    public val settings: ClaimSettings,
    public val currentMillis: () -> Long,
    public val newAttempt: () -> String,
    public val scope: CoroutineScope,
)

/** Key claims that also answer other routers' questions about the keys that this router holds. */
public interface HeldKeyClaims : KeyClaims {
    /** What this router knows of its own claim of [resource]; [stored] is the answer in its claim table, if any. */
    public fun outcome(resource: ClaimResource, stored: StoredAnswer?): HolderOutcome
}

/** Returns claims of idempotency keys that are decided by the votes of the fleet. */
public fun quorumKeyClaims(context: ClaimContext): HeldKeyClaims = QuorumKeyClaims(context)

private class QuorumKeyClaims(private val context: ClaimContext) : HeldKeyClaims {
    private val settings = context.settings
    private val electorate = Electorate(context.known, settings)
    private val holding = ConcurrentHashMap<ClaimResource, Holding>()

    override fun outcome(resource: ClaimResource, stored: StoredAnswer?): HolderOutcome =
        when {
            stored != null -> HolderOutcome.Stored(stored)
            else -> holding[resource]?.outcome() ?: HolderOutcome.NotHeld
        }

    override suspend fun claim(request: KeyedRequest): Either<Failure, KeyClaimResult> =
        either {
            val now = context.currentMillis()
            val key =
                ensureNotNull(
                    IdempotencyKey.parse(request.key),
                ) { Failure.KeyInvalid("1 to 255 visible ASCII characters") }
            val retention = minOf(request.contract.keyRetentionMillis, settings.longestRetentionMillis)
            ensure(key.createdAtMillis == 0L || now < key.createdAtMillis + retention) {
                Failure.KeyInvalid("it was created over $retention ms ago")
            }
            ensure(key.createdAtMillis <= now + settings.clockToleranceMillis) {
                Failure.KeyInvalid("its creation time is in the future")
            }
            val resource = key.resource(request.contract.customer)
            val mine = Holding(now + settings.longestRetentionMillis)
            forgetHoldings(now)
            holding.putIfAbsent(resource, mine)?.let { earlier ->
                return@either repeatHere(earlier, resource, request).bind()
            }
            claimNew(request, resource, key, mine).bind()
        }

    private suspend fun claimNew(
        request: KeyedRequest,
        resource: ClaimResource,
        key: IdempotencyKey,
        mine: Holding,
    ): Either<Failure, KeyClaimResult> {
        var granted = false
        try {
            val now = context.currentMillis()
            val electors = electorate.of(resource, ClaimKind.KEY, key.createdAtMillis, now)
            val voters = electors ?: return Failure.TooFewVotes(0, 1).left()
            val ballot = ballot(claimRequest(resource, key, now), voters)
            granted = ballot.collect() && context.currentMillis() < request.deadlineMillis
            if (granted) return KeyClaimResult.Granted(HeldClaim(resource, ballot, voters, mine)).right()
            // Withdrawn for good: the entry is gone before any voter hears of the release.
            holding.remove(resource, mine)
            ballot.release()
            return refused(ballot, resource, request, voters)
        } finally {
            if (!granted) holding.remove(resource, mine)
        }
    }

    private fun claimRequest(resource: ClaimResource, key: IdempotencyKey, now: Long): ClaimRequest {
        val self = context.self()
        val from = if (key.createdAtMillis > 0) key.createdAtMillis else now
        return ClaimRequest(
            resource = resource,
            kind = ClaimKind.KEY,
            claimant = self.router,
            claimantAddress = self.address,
            createdAtMillis = key.createdAtMillis,
            heldUntilMillis = from + settings.longestRetentionMillis,
            attempt = context.newAttempt(),
        )
    }

    private fun ballot(claim: ClaimRequest, voters: List<Member>) =
        Ballot(claim, voters, context.peers, settings, context.scope)

    /** Explains a claim without its votes: the key is answered, running, of unknown outcome, or free. */
    private suspend fun refused(
        ballot: Ballot,
        resource: ClaimResource,
        request: KeyedRequest,
        voters: List<Member>,
    ): Either<Failure, KeyClaimResult> {
        ballot.answer?.let { return repeated(it, request) }
        val holders = ballot.held.mapNotNull { it.holderAddress }.distinct()
        val outcomes = holders.map { context.peers.outcome(it, resource) }
        outcomes.firstNotNullOfOrNull { it as? HolderOutcome.Stored }?.let { return repeated(it.answer, request) }
        return when {
            HolderOutcome.InProgress in outcomes -> Failure.KeyInProgress().left()
            outcomes.all { it == HolderOutcome.NotHeld } -> Failure.TooFewVotes(ballot.granted, ballot.needed).left()
            else -> storedElsewhere(resource, voters)?.let { repeated(it, request) } ?: unknown()
        }
    }

    private suspend fun storedElsewhere(resource: ClaimResource, voters: List<Member>): StoredAnswer? =
        coroutineScope {
            voters
                .map { async { context.peers.outcome(it.address, resource) } }
                .awaitAll()
                .firstNotNullOfOrNull { (it as? HolderOutcome.Stored)?.answer }
        }

    private suspend fun repeatHere(
        earlier: Holding,
        resource: ClaimResource,
        request: KeyedRequest,
    ): Either<Failure, KeyClaimResult> {
        val stored = context.peers.outcome(context.self().address, resource) as? HolderOutcome.Stored
        return when {
            stored != null -> repeated(stored.answer, request)
            earlier.outcome() == HolderOutcome.InProgress -> Failure.KeyInProgress().left()
            else -> unknown()
        }
    }

    private fun repeated(answer: StoredAnswer, request: KeyedRequest): Either<Failure, KeyClaimResult> =
        if (answer.requestDigest == request.requestDigest) {
            KeyClaimResult.Repeated(answer).right()
        } else {
            Failure.KeyReused().left()
        }

    private fun unknown(): Either<Failure, KeyClaimResult> =
        Failure.OutcomeUnknown(null, "the first request with this key has no known outcome").left()

    private fun forgetHoldings(now: Long) {
        // In-progress entries end with their request; a kept or answered one is remembered as long as its key is valid.
        if (holding.size > HOLDINGS_BEFORE_CLEANUP) holding.values.removeIf { it.forgetAtMillis < now && it.finished }
    }

    private inner class HeldClaim(
        override val resource: ClaimResource,
        private val ballot: Ballot,
        private val voters: List<Member>,
        private val mine: Holding,
    ) : KeyClaim {
        override suspend fun complete(answer: StoredAnswer) {
            val self = context.self()
            context.peers.store(self, answer)
            mine.finished = true
            context.scope.launch {
                var copies = 0
                for (voter in voters.filter { it.router != self.router }) {
                    if (copies < COPIES && context.peers.store(voter, answer)) copies++
                }
            }
        }

        override suspend fun release() {
            holding.remove(resource, mine)
            ballot.release()
        }

        override fun keep() {
            mine.finished = true
        }
    }

    private companion object {
        const val COPIES = 2
        const val HOLDINGS_BEFORE_CLEANUP = 1_000
    }
}

/** This router's own claim of one key. */
private class Holding(val forgetAtMillis: Long) {
    @Volatile var finished = false

    fun outcome(): HolderOutcome = if (finished) HolderOutcome.Unknown else HolderOutcome.InProgress
}
