/*
 * Messages of fleets that are too large for a full mesh. A message carries each heartbeat in five characters, and whole
 * parts only of routers that changed recently or that the peer requested, so that the traffic of a router stays
 * within its bound.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.RouterPart
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * The state of a router when it composes a message.
 *
 * @property round the wall clock divided by the length of a round; also the heartbeat of [self]
 * @property live all live members, [self] included
 * @property ownLoads running and queued requests of the upstreams for which this router is the first poller
 */
public data class ExchangeView(
    val round: Long,
    val self: Member,
    val live: List<Member>,
    val configurationRevision: Long,
    val ownLoads: Map<UpstreamId, Int>,
)

/** Composes and applies compact messages. Owned by the control thread. */
public class CompactExchange(private val self: RouterId) {
    private val membersByCode = HashMap<String, Member>()
    private val lastChangeRounds = HashMap<RouterId, Long>()
    private val receivedLoads = HashMap<UpstreamId, ReceivedLoad>()
    private val wantedCodes = LinkedHashSet<String>()
    private val codesByRouter = HashMap<RouterId, String>()

    /** Highest configuration revision received from a peer. */
    public var highestConfigurationRevision: Long = 0
        private set

    /** Returns the loads of upstreams that were reported within the last [LOAD_EXPIRY_ROUNDS] rounds before [round]. */
    public fun loads(round: Long): Map<UpstreamId, Int> =
        receivedLoads.filterValues { round - it.round <= LOAD_EXPIRY_ROUNDS }.mapValues { it.value.load }

    /**
     * Returns the message for a peer; [content] decides what it carries. For a reply, [request] is the message from the
     * peer: the reply carries the parts that it requests, and omits the sender, which the peer already has.
     */
    public fun compose(
        view: ExchangeView,
        content: ExchangeContent,
        request: ExchangeMessage? = null,
    ): ExchangeMessage {
        recordLiveMembers(view)
        val zoneMembers = view.live.filter { it.availabilityZone == view.self.availabilityZone }
        val includesHeartbeats =
            content != ExchangeContent.ZONE ||
                zoneMembers.size <= SMALL_ZONE_ROUTERS ||
                view.round % HEARTBEAT_CYCLE_ROUNDS < 2
        return ExchangeMessage(
            round = view.round,
            parts = partsToSend(view, request?.wanted.orEmpty()).map { RouterPart(it, view.configurationRevision) },
            sender = self.takeIf { request == null },
            configurationRevision = view.configurationRevision,
            heartbeats = if (includesHeartbeats) zoneMembers.joinToString("") { encode(it, view.round) } else "",
            wanted = wantedCodes.take(MAXIMUM_WANTED_CODES).joinToString(""),
            loads = if (content == ExchangeContent.ZONE) loadsToSend(view) else null,
        )
    }

    /** Applies a received message and returns its members with their new heartbeats, for the member table. */
    public fun apply(message: ExchangeMessage): List<Member> {
        message.parts.forEach { part ->
            val code = code(part.member.router)
            val previous = membersByCode[code]
            if (previous == null || part.member.heartbeat > previous.heartbeat) recordMember(part.member, message.round)
            wantedCodes -= code
        }
        highestConfigurationRevision = maxOf(highestConfigurationRevision, message.configurationRevision)
        message.loads.orEmpty().forEach { (upstream, load) ->
            receivedLoads[UpstreamId(upstream)] =
                ReceivedLoad(load, message.round)
        }
        return message.parts.map { it.member } +
            message.heartbeats.chunked(ENTRY_LENGTH).mapNotNull { decode(it, message.round) }
    }

    private fun recordLiveMembers(view: ExchangeView) {
        view.live.forEach { member ->
            val previous = membersByCode[code(member.router)]
            if (previous == null || member.heartbeat > previous.heartbeat) recordMember(member, view.round)
        }
        lastChangeRounds.values.removeIf { view.round - it > CHANGE_RELAY_ROUNDS }
    }

    private fun recordMember(member: Member, round: Long) {
        val previous = membersByCode.put(code(member.router), member)
        if (previous == null || previous.state != member.state) lastChangeRounds[member.router] = round
    }

    private fun partsToSend(view: ExchangeView, wantedByPeer: String): List<Member> {
        val requestedCodes = wantedByPeer.chunked(CODE_LENGTH).toSet()
        val changedRouters = lastChangeRounds.keys
        val recentlyChanged = view.live.filter { it.router in changedRouters }
        // The changes of a whole zone that restarts are spread over several rounds, so that each message stays small.
        val currentBatch =
            List(minOf(CHANGES_PER_MESSAGE, recentlyChanged.size)) {
                recentlyChanged[((view.round * CHANGES_PER_MESSAGE + it) % recentlyChanged.size).toInt()]
            }
        return (currentBatch + view.live.filter { code(it.router) in requestedCodes }).distinct()
    }

    /**
     * Sends own loads along the row of the grid, and in the next round also those received from the row along the
     * column.
     */
    private fun loadsToSend(view: ExchangeView): Map<String, Int>? {
        if (view.round % LOAD_CYCLE_ROUNDS > 1) return null
        val ownLoadsById = view.ownLoads.mapKeys { it.key.value }
        if (view.round % LOAD_CYCLE_ROUNDS == 0L) return ownLoadsById
        return ownLoadsById +
            receivedLoads.filterValues { it.round == view.round - 1 }.map { it.key.value to it.value.load }
    }

    private fun encode(member: Member, round: Long): String {
        val age = (round - member.heartbeat).coerceIn(0, ALPHABET.length - 1L)
        return code(member.router) + ALPHABET[age.toInt()]
    }

    private fun decode(entry: String, round: Long): Member? {
        val member = membersByCode[entry.take(CODE_LENGTH)]
        if (member == null) wantedCodes += entry.take(CODE_LENGTH)
        val age = ALPHABET.indexOf(entry.last())
        return member?.takeIf { age <= MAXIMUM_HEARTBEAT_AGE_ROUNDS }?.copy(heartbeat = round - age)
    }

    private fun code(router: RouterId): String = codesByRouter.getOrPut(router) { shortCode(router.value) }

    private class ReceivedLoad(val load: Int, val round: Long)

    private companion object {
        const val ALPHABET = SHORT_CODE_ALPHABET

        const val CODE_LENGTH = SHORT_CODE_LENGTH
        const val ENTRY_LENGTH = CODE_LENGTH + 1
        const val HEARTBEAT_CYCLE_ROUNDS = 4

        /** Largest zone whose heartbeats fit into every message. */
        const val SMALL_ZONE_ROUTERS = 24

        /**
         * Older heartbeats are ignored, as relaying them would keep a crashed router live past the suspicion timeout.
         */
        const val MAXIMUM_HEARTBEAT_AGE_ROUNDS = 5
        const val LOAD_CYCLE_ROUNDS = 6
        const val LOAD_EXPIRY_ROUNDS = 14
        const val CHANGE_RELAY_ROUNDS = 6
        const val CHANGES_PER_MESSAGE = 6
        const val MAXIMUM_WANTED_CODES = 50
    }
}
