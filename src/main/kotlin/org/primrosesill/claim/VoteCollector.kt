/*
 * Collects the votes of one claim attempt. The first voter is the same for every claimant of a resource and is
 * contacted alone, so that concurrent claimants seldom split the votes.
 */
package org.primrosesill.claim

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimVote
import org.primrosesill.generated.Member
import org.primrosesill.model.RouterId

/** Sends a claim request to the voters and counts their replies. Used by one coroutine at a time. */
internal class VoteCollector(
    private val request: ClaimRequest,
    private val voters: List<Member>,
    private val peers: ClaimPeers,
    private val settings: ClaimSettings,
    private val scope: CoroutineScope,
) {
    private val replies = HashMap<RouterId, ClaimReply>()
    private val resolvedPlaceholders = HashSet<RouterId>()

    // Voters report a placeholder id for an address without a heartbeat. It is not one more router if the claimant
    // already counts the member at that address.
    private val placeholderIds = voters.map { RouterId("$PLACEHOLDER_PREFIX${it.address}") }.toSet()
    private val contacted = voters.toMutableList()
    private val replyChannel = Channel<Pair<Member, ClaimReply?>>(Channel.UNLIMITED)
    private var pendingReplies = 0

    /** Replies that name another holder of the resource. */
    val heldReplies: List<ClaimReply> get() = replies.values.filter { it.vote == ClaimVote.HELD }

    /** The stored response that a voter returned, or null. */
    val storedResponse get() = replies.values.firstNotNullOfOrNull { it.answer }

    val granted: Int get() = replies.values.count { it.vote == ClaimVote.GRANTED }

    /** Votes that a quorum needs out of all routers in the views of the claimant and the replying voters. */
    val needed: Int get() = votesNeeded(knownRouters().size)

    /** Contacts all voters and returns whether the claimant reached a quorum. */
    suspend fun collect(): Boolean {
        val orderedVoters = voters.sortedBy { hashWeight(it) }
        val firstVoter = orderedVoters.firstOrNull() ?: return false
        val firstReply = withTimeoutOrNull(settings.firstVoteTimeoutMillis) { peers.claim(firstVoter, request) }
        firstReply?.let { recordReply(firstVoter, it) }
        if (firstReply?.vote == ClaimVote.HELD) return false
        val remaining = if (firstReply == null) orderedVoters else orderedVoters.drop(1)
        requestVotes(remaining)
        // The early exit counts each placeholder as one router, although it can turn out to be an already known one.
        receiveReplies { hasQuorum() || granted + pendingReplies < votesNeeded(voters.size) }
        return hasQuorum()
    }

    /**
     * Contacts the routers of [routers] that were not contacted yet, and returns whether all of them and all voters
     * confirmed that the resource is free, except those that [ended]. This replaces the quorum for a slot while the
     * voters started too recently to vote.
     */
    suspend fun collectUnanimity(routers: List<Member>, ended: Set<RouterId>): Boolean {
        val newVoters = routers.filter { member -> contacted.none { it.router == member.router } }
        contacted += newVoters
        requestVotes(newVoters)
        receiveReplies { false }
        val confirmed =
            replies.values
                .filter { it.vote != ClaimVote.HELD && it.holder == request.claimant }
                .map { it.voter }
                .toSet()
        return confirmed.size == replies.size &&
            confirmed.containsAll(knownRouters() + routers.map { it.router } - ended)
    }

    /** Releases the attempt at every contacted router. Called only after the claim was given up. */
    fun release(): Unit = launchReleases(contacted, peers, scope, request)

    private fun hasQuorum(): Boolean = granted >= needed

    private fun requestVotes(voters: List<Member>) {
        pendingReplies += voters.size
        // The calls outlive the decision, because a vote that is recorded late still shows retries who holds the key.
        voters.forEach { voter -> scope.launch { replyChannel.send(voter to peers.claim(voter, request)) } }
    }

    private suspend fun receiveReplies(isDecided: () -> Boolean) {
        withTimeoutOrNull(settings.voteTimeoutMillis) {
            while (pendingReplies > 0 && !isDecided()) {
                val (voter, reply) = replyChannel.receive()
                pendingReplies--
                if (reply != null) recordReply(voter, reply)
            }
        }
    }

    private fun recordReply(voter: Member, reply: ClaimReply) {
        replies[reply.voter] = reply
        // A vote identifies the router at an address that had only a placeholder id.
        if (reply.vote != ClaimVote.ABSTAINED && reply.voter != voter.router &&
            voter.isPlaceholder()
        ) {
            resolvedPlaceholders += voter.router
        }
    }

    private fun knownRouters(): Set<RouterId> {
        val union = HashSet<RouterId>()
        voters.mapTo(union) { it.router }
        replies.values.forEach { reply ->
            reply.knownRouters.filterTo(union) { it !in placeholderIds }
            // A router that abstains does not count as a voter of a key, since it can never vote on it.
            if (reply.vote != ClaimVote.ABSTAINED) union += reply.voter
        }
        return union - resolvedPlaceholders
    }

    private fun hashWeight(member: Member): Long =
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(request.resource.value)
            .putString(member.router.value)
            .asLong
}

/** Sends releases of [request] in the background, each up to three times, because a lost one blocks the resource. */
internal fun launchReleases(voters: List<Member>, peers: ClaimPeers, scope: CoroutineScope, request: ClaimRequest) {
    val release = ClaimRelease(request.resource, request.claimant, request.attempt)
    voters.forEach { voter ->
        scope.launch {
            repeat(MAXIMUM_RELEASE_ATTEMPTS) { if (peers.release(voter, release)) return@launch }
        }
    }
}

private const val MAXIMUM_RELEASE_ATTEMPTS = 3

/** Prefix of the placeholder ids that the member table assigns to listed addresses that sent no heartbeat yet. */
private const val PLACEHOLDER_PREFIX = "unheard@"

private fun Member.isPlaceholder(): Boolean = router.value.startsWith(PLACEHOLDER_PREFIX)
