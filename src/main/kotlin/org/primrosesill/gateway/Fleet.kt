/*
 * What one gateway knows of the others: who they are, what they have in progress, and up to which revision they know the
 * platform's items. Numbers come with the exchange and age; a gateway that was not heard for a while does not count.
 */
package org.primrosesill.gateway

import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.PartTable
import org.primrosesill.exchange.planFullMesh
import org.primrosesill.exchange.planProbes
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterPart
import org.primrosesill.membership.MemberChange
import org.primrosesill.membership.MemberTable
import org.primrosesill.membership.MemberTableSettings
import org.primrosesill.model.UpstreamId

/** What the traffic of this gateway counts, as the exchange carries it. */
internal fun interface OwnCounts {
    fun inFlight(): Map<UpstreamId, Int>
}

/** Published for traffic. */
internal class FleetView(val gateways: Int, val othersInFlight: Map<UpstreamId, Int>)

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class Fleet(
    self: Member,
    seeds: Set<String>,
    private val ownCounts: OwnCounts,
    private val events: EventLog,
) {
    private val members = MemberTable(self, seeds, expectsVmList = false, MEMBER_SETTINGS)
    private val parts = PartTable(self.router, PART_EXPIRY_MILLIS)
    private var round = 0L

    /** Starts a round: whom to send to, and what. */
    fun nextRound(revision: Long): FleetRound {
        round++
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        val planned = planFullMesh(round, self.router, members.live()).map { it.peer.address }
        val probes = planProbes(round, members.silentAddresses())
        return FleetRound((planned + probes).distinct(), message(revision))
    }

    /** What this gateway tells in an exchange. */
    fun message(revision: Long): ExchangeMessage {
        val inFlight = ownCounts.inFlight().filterValues { it > 0 }.mapKeys { it.key.value }
        return ExchangeMessage(round, listOf(RouterPart(members.self(), revision, inFlight = inFlight)))
    }

    fun take(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            record(members.observe(part.member, nowMillis))
            parts.merge(part, nowMillis)
        }
    }

    /** Says in the next exchange that this gateway is stopping. */
    fun leave() = members.updateSelf(members.self().copy(state = MemberState.LEAVING))

    fun tick(nowMillis: Long) = record(members.tick(nowMillis))

    fun view(nowMillis: Long) = FleetView(members.live().size, parts.inFlight(nowMillis))

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
        const val PART_EXPIRY_MILLIS = 1_500L

        /** Budgets are divided by the number of gateways, so that one that was cut off still counts for a while. */
        val MEMBER_SETTINGS = MemberTableSettings(suspicionTimeoutMillis = 5_000, retentionMillis = 60_000)
    }
}

internal class FleetRound(val addresses: List<String>, val message: ExchangeMessage)
