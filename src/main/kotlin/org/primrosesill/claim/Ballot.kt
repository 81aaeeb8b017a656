/*
 * One claim attempt: asks the voters and counts their replies. The first voter is the same for every claimant of a
 * resource and is asked alone, so that two claimants seldom split the votes.
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

/** The votes of one attempt. Used by one coroutine at a time. */
internal class Ballot(
    private val request: ClaimRequest,
    private val electors: List<Member>,
    private val peers: ClaimPeers,
    private val settings: ClaimSettings,
    private val scope: CoroutineScope,
) {
    private val replies = HashMap<RouterId, ClaimReply>()
    private val identified = HashSet<RouterId>()

    // Another router's note that it never heard from an address adds nobody when the claimant knows the router there.
    private val unheardIds = electors.map { RouterId("$UNHEARD_PREFIX${it.address}") }.toSet()
    private val asked = electors.toMutableList()
    private val results = Channel<Pair<Member, ClaimReply?>>(Channel.UNLIMITED)
    private var outstanding = 0

    /** Replies that name another holder. */
    val held: List<ClaimReply> get() = replies.values.filter { it.vote == ClaimVote.HELD }

    /** A stored answer that some voter keeps. */
    val answer get() = replies.values.firstNotNullOfOrNull { it.answer }

    val granted: Int get() = replies.values.count { it.vote == ClaimVote.GRANTED }

    /** Votes needed out of all routers that the claimant or a voter knows. */
    val needed: Int get() = votesNeeded(known().size)

    /** Asks all electors and returns whether the claimant has its votes. */
    suspend fun collect(): Boolean {
        val order = electors.sortedBy { rank(it) }
        val first = order.firstOrNull() ?: return false
        val firstReply = withTimeoutOrNull(settings.firstVoteTimeoutMillis) { peers.claim(first, request) }
        firstReply?.let { count(first, it) }
        if (firstReply?.vote == ClaimVote.HELD) return false
        val remaining = if (firstReply == null) order else order.drop(1)
        ask(remaining)
        // An address from which nothing was heard may still turn out to be a known router, so it counts once here.
        receive { won() || granted + outstanding < votesNeeded(electors.size) }
        return won()
    }

    /**
     * Asks the routers of [fleet] that are not yet asked, and returns whether every one of them and of the electors
     * says that the resource is free, save those that [ended]. This replaces the quorum for a slot while the voters are
     * too young to vote.
     */
    suspend fun collectUnanimity(fleet: List<Member>, ended: Set<RouterId>): Boolean {
        val others = fleet.filter { member -> asked.none { it.router == member.router } }
        asked += others
        ask(others)
        receive { false }
        val recorded =
            replies.values
                .filter { it.vote != ClaimVote.HELD && it.holder == request.claimant }
                .map { it.voter }
                .toSet()
        return recorded.size == replies.size && recorded.containsAll(known() + fleet.map { it.router } - ended)
    }

    /** Releases the attempt at every router that was asked. The caller has given the claim up before. */
    fun release(): Unit = launchReleases(asked, peers, scope, request)

    private fun won(): Boolean = granted >= needed

    private fun ask(voters: List<Member>) {
        outstanding += voters.size
        // The calls outlive the decision, because a vote that is recorded late still tells repeats who holds the key.
        voters.forEach { voter -> scope.launch { results.send(voter to peers.claim(voter, request)) } }
    }

    private suspend fun receive(decided: () -> Boolean) {
        withTimeoutOrNull(settings.voteTimeoutMillis) {
            while (outstanding > 0 && !decided()) {
                val (voter, reply) = results.receive()
                outstanding--
                if (reply != null) count(voter, reply)
            }
        }
    }

    private fun count(voter: Member, reply: ClaimReply) {
        replies[reply.voter] = reply
        // A vote shows who is at an address from which the claimant had not heard.
        if (reply.vote != ClaimVote.ABSTAINED && reply.voter != voter.router &&
            voter.isUnheard()
        ) {
            identified += voter.router
        }
    }

    private fun known(): Set<RouterId> {
        val known = HashSet<RouterId>()
        electors.mapTo(known) { it.router }
        replies.values.forEach { reply ->
            reply.knownRouters.filterTo(known) { it !in unheardIds }
            // An abstaining router is no elector of a key, since it can never vote on it.
            if (reply.vote != ClaimVote.ABSTAINED) known += reply.voter
        }
        return known - identified
    }

    private fun rank(member: Member): Long =
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
            repeat(RELEASE_TRIES) { if (peers.release(voter, release)) return@launch }
        }
    }
}

private const val RELEASE_TRIES = 3

/** Start of the ids that the member table gives to listed addresses from which no router was heard. */
private const val UNHEARD_PREFIX = "unheard@"

private fun Member.isUnheard(): Boolean = router.value.startsWith(UNHEARD_PREFIX)
