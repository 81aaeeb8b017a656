/*
 * Messages of fleets beyond the full mesh. A message carries heartbeats in five characters each, and whole parts only of
 * routers that changed lately or that the peer asked for, so that the traffic of a node stays within its bound.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.RouterPart
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * What a router knows when it composes a message.
 *
 * @property round the wall clock divided by the length of a round; also the heartbeat of [self]
 * @property live all live members with [self]
 * @property ownLoads running and queued requests of the upstreams for which this router is the first poller
 */
public data class ExchangeView(
    val round: Long,
    val self: Member,
    val live: List<Member>,
    val configurationRevision: Long,
    val ownLoads: Map<UpstreamId, Int>,
)

/** Composes and takes compact messages. Owned by the control thread. */
public class CompactExchange(private val self: RouterId) {
    private val known = HashMap<String, Member>()
    private val changedInRound = HashMap<RouterId, Long>()
    private val loads = HashMap<UpstreamId, HeldLoad>()
    private val wanted = LinkedHashSet<String>()
    private val codes = HashMap<RouterId, String>()

    /** Highest configuration revision that a peer told. */
    public var newestConfiguration: Long = 0
        private set

    /** Loads of upstreams that were reported within the last [LOAD_EXPIRY_ROUNDS] rounds before [round]. */
    public fun loads(round: Long): Map<UpstreamId, Int> =
        loads.filterValues { round - it.round <= LOAD_EXPIRY_ROUNDS }.mapValues { it.value.load }

    /**
     * The message for a peer: [content] decides what it carries. For a reply, [request] is what the peer sent; the reply
     * carries the parts that it asked for, and leaves out the sender, whom the peer knows.
     */
    public fun compose(
        view: ExchangeView,
        content: ExchangeContent,
        request: ExchangeMessage? = null,
    ): ExchangeMessage {
        remember(view)
        val zone = view.live.filter { it.availabilityZone == view.self.availabilityZone }
        val beats =
            content != ExchangeContent.ZONE || zone.size <= SMALL_ZONE || view.round % HEARTBEAT_CYCLE < 2
        return ExchangeMessage(
            round = view.round,
            parts = parts(view, request?.wanted.orEmpty()).map { RouterPart(it, view.configurationRevision) },
            sender = self.takeIf { request == null },
            configurationRevision = view.configurationRevision,
            heartbeats = if (beats) zone.joinToString("") { encode(it, view.round) } else "",
            wanted = wanted.take(MAXIMUM_WANTED).joinToString(""),
            loads = if (content == ExchangeContent.ZONE) loadsFor(view) else null,
        )
    }

    /** Takes a message and returns the members with their new heartbeats, for the member table. */
    public fun take(message: ExchangeMessage): List<Member> {
        message.parts.forEach { part ->
            val code = code(part.member.router)
            val held = known[code]
            if (held == null || part.member.heartbeat > held.heartbeat) remember(part.member, message.round)
            wanted -= code
        }
        newestConfiguration = maxOf(newestConfiguration, message.configurationRevision)
        message.loads.orEmpty().forEach { (upstream, load) ->
            loads[UpstreamId(upstream)] =
                HeldLoad(load, message.round)
        }
        return message.parts.map { it.member } +
            message.heartbeats.chunked(ENTRY_LENGTH).mapNotNull { decode(it, message.round) }
    }

    private fun remember(view: ExchangeView) {
        view.live.forEach { member ->
            val held = known[code(member.router)]
            if (held == null || member.heartbeat > held.heartbeat) remember(member, view.round)
        }
        changedInRound.values.removeIf { view.round - it > CHANGE_ROUNDS }
    }

    private fun remember(member: Member, round: Long) {
        val held = known.put(code(member.router), member)
        if (held == null || held.state != member.state) changedInRound[member.router] = round
    }

    private fun parts(view: ExchangeView, wantedByPeer: String): List<Member> {
        val asked = wantedByPeer.chunked(CODE_LENGTH).toSet()
        val changed = changedInRound.keys
        val recent = view.live.filter { it.router in changed }
        // A whole zone that comes back is told in turns, so that one message stays small.
        val some =
            List(minOf(CHANGES_PER_MESSAGE, recent.size)) {
                recent[((view.round * CHANGES_PER_MESSAGE + it) % recent.size).toInt()]
            }
        return (some + view.live.filter { code(it.router) in asked }).distinct()
    }

    /** Own loads go along the row; in the next round everything heard from the row goes along the column. */
    private fun loadsFor(view: ExchangeView): Map<String, Int>? {
        if (view.round % LOAD_CYCLE_ROUNDS > 1) return null
        val own = view.ownLoads.mapKeys { it.key.value }
        if (view.round % LOAD_CYCLE_ROUNDS == 0L) return own
        return own + loads.filterValues { it.round == view.round - 1 }.map { it.key.value to it.value.load }
    }

    private fun encode(member: Member, round: Long): String {
        val age = (round - member.heartbeat).coerceIn(0, ALPHABET.length - 1L)
        return code(member.router) + ALPHABET[age.toInt()]
    }

    private fun decode(entry: String, round: Long): Member? {
        val member = known[entry.take(CODE_LENGTH)]
        if (member == null) wanted += entry.take(CODE_LENGTH)
        val age = ALPHABET.indexOf(entry.last())
        return member?.takeIf { age <= MAXIMUM_AGE }?.copy(heartbeat = round - age)
    }

    private fun code(router: RouterId): String = codes.getOrPut(router) { shortCode(router.value) }

    private class HeldLoad(val load: Int, val round: Long)

    private companion object {
        const val ALPHABET = SHORT_CODE_ALPHABET

        const val CODE_LENGTH = SHORT_CODE_LENGTH
        const val ENTRY_LENGTH = CODE_LENGTH + 1
        const val HEARTBEAT_CYCLE = 4

        /** Up to this size the heartbeats of the zone fit into every message. */
        const val SMALL_ZONE = 24

        /** Older heartbeats are no sign of life: a crashed router would be relayed beyond the suspicion timeout. */
        const val MAXIMUM_AGE = 5
        const val LOAD_CYCLE_ROUNDS = 6
        const val LOAD_EXPIRY_ROUNDS = 14
        const val CHANGE_ROUNDS = 6
        const val CHANGES_PER_MESSAGE = 6
        const val MAXIMUM_WANTED = 50
    }
}
