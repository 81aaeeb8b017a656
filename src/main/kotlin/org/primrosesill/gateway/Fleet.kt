/*
 * What one gateway knows of the others: who they are, what they have in progress, and up to which revision they know the
 * platform's items. Numbers come with the exchange and age; a gateway that was not heard for a while does not count.
 */
package org.primrosesill.gateway

import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.PartTable
import org.primrosesill.exchange.PlannedExchange
import org.primrosesill.exchange.planFullMesh
import org.primrosesill.exchange.planProbes
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.PrefixNews
import org.primrosesill.generated.RouterPart
import org.primrosesill.membership.MemberChange
import org.primrosesill.membership.MemberTable
import org.primrosesill.membership.MemberTableSettings
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.FleetLoad
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.PrefixHolding
import org.primrosesill.placement.PrefixId

/** What the traffic of this gateway knows, as the exchange carries it. */
internal interface OwnNews {
    fun inFlight(): Map<UpstreamId, Int>

    fun prefixes(): List<PrefixHolding>

    fun accept(prefixes: List<PrefixHolding>)
}

/** Published for traffic. */
internal class FleetView(val members: FleetMembers, val load: FleetLoad)

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class Fleet(
    self: Member,
    private val seeds: Set<String>,
    private val news: OwnNews,
    private val events: EventLog,
    private val startedAtMillis: Long,
) {
    private val members = MemberTable(self, seeds, expectsVmList = false, MEMBER_SETTINGS)
    private val parts = PartTable(self.router, PART_EXPIRY_MILLIS)
    private val memory = FleetMemory(self.availabilityZone)
    private var round = 0L

    /** Starts a round: whom to send to, and what. */
    fun nextRound(revision: Long): FleetRound {
        round++
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        val planned = (nearPeers() + farPeers()).map { it.peer.address }
        val probes = planProbes(round, members.silentAddresses())
        return FleetRound((planned + probes).distinct(), message(revision))
    }

    private fun nearPeers(): List<PlannedExchange> {
        val self = members.self()
        return planFullMesh(round, self.router, members.live().filter { it.availabilityZone == self.availabilityZone })
    }

    /** Bytes between zones cost more, so that other zones are told in every second round only. */
    private fun farPeers(): List<PlannedExchange> {
        if (round % 2 != 0L) return emptyList()
        val self = members.self()
        return planFullMesh(round / 2, self.router, members.live())
            .filter { it.peer.availabilityZone != self.availabilityZone }
    }

    /** What this gateway tells in an exchange. */
    fun message(revision: Long): ExchangeMessage {
        val inFlight = news.inFlight().mapKeys { it.key.value }
        val prefixes = news.prefixes().map { PrefixNews(it.prefix.value.toString(RADIX), it.upstream) }
        return ExchangeMessage(
            round,
            listOf(RouterPart(members.self(), revision, inFlight = inFlight)),
            prefixes = prefixes.ifEmpty { null },
        )
    }

    fun take(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            record(members.observe(part.member, nowMillis))
            parts.merge(part, nowMillis)
            memory.heard(part.member, nowMillis)
        }
        news.accept(message.prefixes.orEmpty().mapNotNull(::holding))
    }

    /** Takes that a gateway's VM answered, though the gateway itself did not. */
    fun reached(address: String, nowMillis: Long) = memory.reached(address, nowMillis)

    /** Says in the next exchange that this gateway is stopping. */
    fun leave() = members.updateSelf(members.self().copy(state = MemberState.LEAVING))

    fun tick(nowMillis: Long) = record(members.tick(nowMillis))

    fun view(nowMillis: Long): FleetView {
        val live = members.live().mapTo(HashSet()) { it.router } - members.self().router
        val others = memory.recent(nowMillis) + live
        val settled = nowMillis - startedAtMillis > SETTLING_MILLIS || memory.heardAll(seeds)
        val load = FleetLoad(parts.inFlight(nowMillis), memory.silentZones(nowMillis))
        return FleetView(FleetMembers(members.self().router, others, settled), load)
    }

    /** Returns a gateway that knows more of the platform's items than [revision], or null. */
    fun ahead(revision: Long): Member? =
        parts
            .parts()
            .filter { it.configurationRevision > revision }
            .maxByOrNull { it.configurationRevision }
            ?.member

    private fun record(changes: List<MemberChange>) =
        changes.forEach { change ->
            val subject = EventSubject(subject = "${change.member.router} at ${change.member.address}")
            when (change) {
                is MemberChange.Joined -> events.record(EventType.MEMBER_JOINED, "heard", subject)
                is MemberChange.Leaving -> events.record(EventType.MEMBER_LEAVING, "says that it is stopping", subject)
                is MemberChange.Lost -> {
                    parts.remove(change.member.router)
                    events.record(EventType.MEMBER_LOST, change.cause, subject)
                }
            }
        }

    private companion object {
        /** Until then some gateways may not have been heard. */
        const val SETTLING_MILLIS = 3_000L
        const val PART_EXPIRY_MILLIS = 1_500L

        /** Budgets are divided by the number of gateways, so that one that was cut off still counts for a while. */
        val MEMBER_SETTINGS = MemberTableSettings(suspicionTimeoutMillis = 5_000, retentionMillis = 60_000)
    }
}

private const val RADIX = 36

private fun holding(news: PrefixNews): PrefixHolding? =
    news.prefix.toLongOrNull(RADIX)?.let { PrefixHolding(PrefixId(it), news.upstream) }

internal class FleetRound(val addresses: List<String>, val message: ExchangeMessage)
