/*
 * Claims of idempotency keys by a quorum of the fleet. A request is sent only after more than three quarters of the
 * routers that can vote on its key have recorded the claim, so that no other claimant can reach a quorum.
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
 * Dependencies of claims.
 *
 * @property self member entry of this router
 * @property currentMillis wall clock in milliseconds since the Unix epoch
 * @property newAttempt returns an id for an attempt that is unique in the fleet
 * @property scope runs calls that outlive a claim: late votes, releases, replication of responses
 */
public class ClaimContext(
    public val self: () -> Member,
    public val knownRouters: KnownRouters,
    public val peers: ClaimPeers,
    public val settings: ClaimSettings,
    public val currentMillis: () -> Long,
    public val newAttempt: () -> String,
    public val scope: CoroutineScope,
)

/** Claims keys, and returns the outcome of the keys that this router holds to routers that request it. */
public interface KeyClaimHolder : KeyClaims {
    /**
     * Returns the state of this router's own claim of [resource]; [stored] is the response in its claim table, if any.
     */
    public fun outcome(resource: ClaimResource, stored: StoredAnswer?): HolderState
}

/** Returns key claims that a quorum of the fleet decides. */
public fun quorumKeyClaims(context: ClaimContext): KeyClaimHolder = QuorumKeyClaims(context)

private class QuorumKeyClaims(private val context: ClaimContext) : KeyClaimHolder {
    private val settings = context.settings
    private val voterSelection = VoterSelection(context.knownRouters, settings)
    private val localClaims = ConcurrentHashMap<ClaimResource, LocalClaim>()

    override fun outcome(resource: ClaimResource, stored: StoredAnswer?): HolderState =
        when {
            stored != null -> HolderState.Stored(stored)
            else -> localClaims[resource]?.outcome() ?: HolderState.NotHeld
        }

    override suspend fun claim(request: KeyedRequest): Either<Failure, KeyClaimResult> =
        either {
            val now = context.currentMillis()
            val key =
                ensureNotNull(
                    IdempotencyKey.parse(request.key),
                ) { Failure.KeyInvalid("1 to 255 visible ASCII characters") }
            val retention = minOf(request.contract.keyRetentionMillis, settings.maximumRetentionMillis)
            ensure(key.createdAtMillis == 0L || now < key.createdAtMillis + retention) {
                Failure.KeyInvalid("it was created over $retention ms ago")
            }
            ensure(key.createdAtMillis <= now + settings.clockToleranceMillis) {
                Failure.KeyInvalid("its creation time is in the future")
            }
            val resource = key.resource(request.contract.customer)
            val localClaim = LocalClaim(now + settings.maximumRetentionMillis)
            removeExpiredClaims(now)
            localClaims.putIfAbsent(resource, localClaim)?.let { existing ->
                return@either resolveLocalDuplicate(existing, resource, request).bind()
            }
            claimByQuorum(request, resource, key, localClaim).bind()
        }

    private suspend fun claimByQuorum(
        request: KeyedRequest,
        resource: ClaimResource,
        key: IdempotencyKey,
        localClaim: LocalClaim,
    ): Either<Failure, KeyClaimResult> {
        var granted = false
        try {
            val now = context.currentMillis()
            val selected = voterSelection.of(resource, ClaimKind.KEY, key.createdAtMillis, now)
            val voters = selected ?: return Failure.TooFewVotes(0, 1).left()
            val votes = voteCollector(claimRequest(resource, key, now), voters)
            granted = votes.collect() && context.currentMillis() < request.deadlineMillis
            if (granted) return KeyClaimResult.Granted(GrantedKeyClaim(resource, votes, voters, localClaim)).right()
            // The claim is given up for good: its entry is removed before any voter receives the release.
            localClaims.remove(resource, localClaim)
            votes.release()
            return resolveRefusal(votes, resource, request, voters)
        } finally {
            if (!granted) localClaims.remove(resource, localClaim)
        }
    }

    private fun claimRequest(resource: ClaimResource, key: IdempotencyKey, now: Long): ClaimRequest {
        val self = context.self()
        val validFromMillis = if (key.createdAtMillis > 0) key.createdAtMillis else now
        return ClaimRequest(
            resource = resource,
            kind = ClaimKind.KEY,
            claimant = self.router,
            claimantAddress = self.address,
            createdAtMillis = key.createdAtMillis,
            heldUntilMillis = validFromMillis + settings.maximumRetentionMillis,
            attempt = context.newAttempt(),
        )
    }

    private fun voteCollector(claim: ClaimRequest, voters: List<Member>) =
        VoteCollector(claim, voters, context.peers, settings, context.scope)

    /** Resolves a claim without a quorum: the request ran, is running or has an unknown outcome, or the key is free. */
    private suspend fun resolveRefusal(
        votes: VoteCollector,
        resource: ClaimResource,
        request: KeyedRequest,
        voters: List<Member>,
    ): Either<Failure, KeyClaimResult> {
        votes.storedResponse?.let { return replay(it, request) }
        val holders = votes.heldReplies.mapNotNull { it.holderAddress }.distinct()
        val outcomes = holders.map { context.peers.outcome(it, resource) }
        outcomes.firstNotNullOfOrNull { it as? HolderState.Stored }?.let { return replay(it.response, request) }
        return when {
            HolderState.InProgress in outcomes -> Failure.KeyInProgress().left()
            outcomes.all { it == HolderState.NotHeld } -> Failure.TooFewVotes(votes.granted, votes.needed).left()
            else -> findStoredResponse(resource, voters)?.let { replay(it, request) } ?: outcomeUnknown()
        }
    }

    private suspend fun findStoredResponse(resource: ClaimResource, voters: List<Member>): StoredAnswer? =
        coroutineScope {
            voters
                .map { async { context.peers.outcome(it.address, resource) } }
                .awaitAll()
                .firstNotNullOfOrNull { (it as? HolderState.Stored)?.response }
        }

    private suspend fun resolveLocalDuplicate(
        existing: LocalClaim,
        resource: ClaimResource,
        request: KeyedRequest,
    ): Either<Failure, KeyClaimResult> {
        val stored = context.peers.outcome(context.self().address, resource) as? HolderState.Stored
        return when {
            stored != null -> replay(stored.response, request)
            existing.outcome() == HolderState.InProgress -> Failure.KeyInProgress().left()
            else -> outcomeUnknown()
        }
    }

    private fun replay(response: StoredAnswer, request: KeyedRequest): Either<Failure, KeyClaimResult> =
        if (response.requestDigest == request.requestDigest) {
            KeyClaimResult.Replayed(response).right()
        } else {
            Failure.KeyReused().left()
        }

    private fun outcomeUnknown(): Either<Failure, KeyClaimResult> =
        Failure.OutcomeUnknown(null, "the outcome of the first request with this key is unknown").left()

    private fun removeExpiredClaims(now: Long) {
        // An entry in progress is removed with its request; a finished one is kept for as long as its key is valid.
        if (localClaims.size >
            CLAIMS_BEFORE_CLEANUP
        ) {
            localClaims.values.removeIf { it.expiresAtMillis < now && it.finished }
        }
    }

    private inner class GrantedKeyClaim(
        override val resource: ClaimResource,
        private val votes: VoteCollector,
        private val voters: List<Member>,
        private val localClaim: LocalClaim,
    ) : KeyClaim {
        override suspend fun complete(response: StoredAnswer) {
            val self = context.self()
            context.peers.store(self, response)
            localClaim.finished = true
            context.scope.launch {
                var replicas = 0
                for (voter in voters.filter { it.router != self.router }) {
                    if (replicas < RESPONSE_REPLICAS && context.peers.store(voter, response)) replicas++
                }
            }
        }

        override suspend fun release() {
            localClaims.remove(resource, localClaim)
            votes.release()
        }

        override fun markOutcomeUnknown() {
            localClaim.finished = true
        }
    }

    private companion object {
        const val RESPONSE_REPLICAS = 2
        const val CLAIMS_BEFORE_CLEANUP = 1_000
    }
}

/** Claim of one key by this router itself. */
private class LocalClaim(val expiresAtMillis: Long) {
    @Volatile var finished = false

    fun outcome(): HolderState = if (finished) HolderState.Unknown else HolderState.InProgress
}
