/*
 * What one gateway knows of the others: who they are, what they have in progress, and up to which revision they know the
 * platform's items. Heartbeats, loads and what engines have read are passed on from gateway to gateway.
 */
package org.primrosesill.gateway

import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.NewsSource
import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.SMALL_FLEET
import org.primrosesill.exchange.heartbeatDigest
import org.primrosesill.exchange.planAlarm
import org.primrosesill.exchange.planAnnouncement
import org.primrosesill.exchange.planGossip
import org.primrosesill.exchange.planProbes
import org.primrosesill.exchange.readHeartbeatDigest
import org.primrosesill.exchange.shortCode
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterPart
import org.primrosesill.membership.MemberChange
import org.primrosesill.membership.MemberTable
import org.primrosesill.membership.MemberTableSettings
import org.primrosesill.placement.FleetLoad
import org.primrosesill.placement.FleetMembers
import kotlin.random.Random

/** Published for traffic. */
internal class FleetView(val members: FleetMembers, val load: FleetLoad)

internal class FleetRound(val addresses: List<String>, val message: ExchangeMessage)

/** Owned by the control thread. Times are milliseconds of a steady clock. */
internal class Fleet(
    self: Member,
    private val seeds: Set<String>,
    private val news: TrafficNews,
    private val events: EventLog,
    startedAtMillis: Long,
    private val startDuty: StartDuty,
    private val random: Random,
) {
    private val members = MemberTable(self, seeds, expectsVmList = false, MEMBER_SETTINGS)
    private val memory = FleetMemory(self.availabilityZone)
    private val acquaintance = Acquaintance(startedAtMillis)
    private val wanted = LinkedHashSet<String>()
    private var round = 0L

    /** Whether all gateways that are alive are known. */
    val isKnown: Boolean get() = acquaintance.isSettled

    /** Starts a round: whom to send to, and what. */
    fun nextRound(keeper: DirectoryKeeper): FleetRound {
        round++
        news.knowUpstreams(keeper.view.upstreamIds)
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        val planned = planGossip(round, self, members.live(), random).map { it.address }
        val probes = planProbes(round, members.silentAddresses())
        return FleetRound((planned + probes).distinct(), message(keeper))
    }

    /** What this gateway tells in an exchange. */
    fun message(keeper: DirectoryKeeper): ExchangeMessage = message(keeper, emptyList())

    /** Returns what tells other gateways that this one has news of the platform's items from [source]. */
    fun announcement(keeper: DirectoryKeeper, source: NewsSource, carriesChanges: Boolean): FleetRound {
        val told = planAnnouncement(members.self(), members.live(), source, carriesChanges, random)
        val part = RouterPart(members.self(), keeper.revision)
        val age = keeper.ageMillis ?: -1
        return FleetRound(told.map { it.address }, ExchangeMessage(round, listOf(part), platformAgeMillis = age))
    }

    /** Returns where news of [peer] comes from. */
    fun sourceOf(peer: Member): NewsSource =
        if (peer.availabilityZone == members.self().availabilityZone) NewsSource.OWN_ZONE else NewsSource.OTHER_ZONE

    /** Returns what tells others that upstreams have fallen silent. */
    fun silenceRound(): FleetRound {
        val told = planAlarm(members.self(), members.live(), random)
        val message = ExchangeMessage(round, parts = emptyList(), sender = members.self().router)
        return FleetRound(told.map { it.address }, news.addTo(message))
    }

    /** Returns what tells all gateways of a small fleet what this one has in progress, or null in a large one. */
    fun countNews(): FleetRound? {
        if (!isSmall()) return null
        val message = ExchangeMessage(round, parts = emptyList(), sender = members.self().router)
        return FleetRound(others().map { it.address }, news.addCountsTo(message))
    }

    private fun isSmall() = members.live().size <= SMALL_FLEET

    /** Whether this gateway asks the platform, when its view is [ageMillis] old and it is behind for [behindMillis]. */
    fun reads(ageMillis: Long?, behindMillis: Long, nowMillis: Long): Boolean =
        (isKnown || !startDuty.leavesItToOthers(ageMillis, nowMillis)) &&
            readsPlatform(members.self(), members.live(), ageMillis, behindMillis)

    /** Takes the message of a peer. */
    fun take(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            observe(part.member, nowMillis)
            wanted -= shortCode(part.member.router.value)
        }
        val digest = readHeartbeatDigest(message.members, members.live())
        digest.members.forEach { observe(it, nowMillis) }
        wanted += digest.unknown
        news.take(message)
        message.sender?.let { news.takeCounts(it, message) }
    }

    /** Returns the answer to a peer that lacks members or has no view of the platform, or null when none is needed. */
    fun answerTo(message: ExchangeMessage, keeper: DirectoryKeeper): ExchangeMessage? {
        val asked = message.wanted.chunked(SHORT_CODE_LENGTH).toSet()
        val introduced = members.live().filter { shortCode(it.router.value) in asked }
        val hasNoView = message.parts.firstOrNull()?.configurationRevision == 0L && keeper.revision > 0
        if (introduced.isEmpty() && !hasNoView) return null
        // An answer asks nothing, or two gateways that both miss a member would answer each other without end.
        return message(keeper, introduced).copy(wanted = "")
    }

    /** Says in the next exchange that this gateway is stopping. */
    fun leave() = members.updateSelf(members.self().copy(state = MemberState.LEAVING))

    fun tick(nowMillis: Long) {
        record(members.tick(nowMillis))
        acquaintance.tick(nowMillis, memory.heardAll(seeds))
        news.expectCounts(others().mapTo(HashSet()) { it.router }.takeIf { isSmall() })
    }

    fun view(nowMillis: Long): FleetView {
        val live = members.live().mapTo(HashSet()) { it.router } - members.self().router
        val others = memory.recent(nowMillis) + live
        val load = FleetLoad(memory.silentZones(nowMillis))
        return FleetView(FleetMembers(members.self().router, others, acquaintance.isSettled), load)
    }

    fun self(): Member = members.self()

    /** The other gateways that are alive, in no order. */
    fun others(): List<Member> = members.live().filter { it.router != members.self().router }

    private fun message(keeper: DirectoryKeeper, introduced: List<Member>): ExchangeMessage {
        val live = members.live()
        val self = members.self()
        val others = introduced.filter { it.router != self.router }
        val parts = listOf(RouterPart(self, keeper.revision)) + others.map { RouterPart(it, 0) }
        val message =
            ExchangeMessage(
                round = round,
                parts = parts,
                members = heartbeatDigest(live),
                sender = self.router,
                wanted = wanted.take(MAXIMUM_WANTED).joinToString(""),
                platformAgeMillis = keeper.ageMillis ?: -1,
            )
        return news.addTo(if (isSmall()) news.addCountsTo(message) else message)
    }

    private fun observe(member: Member, nowMillis: Long) {
        if (memory.heard(member, nowMillis)) acquaintance.joined(nowMillis)
        record(members.observe(member, nowMillis))
    }

    private fun record(changes: List<MemberChange>) =
        changes.forEach { change ->
            val subject = EventSubject(subject = "${change.member.router} at ${change.member.address}")
            when (change) {
                is MemberChange.Joined -> events.record(EventType.MEMBER_JOINED, "heard", subject)
                is MemberChange.Leaving -> events.record(EventType.MEMBER_LEAVING, "says that it is stopping", subject)
                is MemberChange.Lost -> {
                    events.record(EventType.MEMBER_LOST, change.cause, subject)
                }
            }
        }

    private companion object {
        const val MAXIMUM_WANTED = 20

        /** In a large fleet a heartbeat takes some rounds to get around. */
        val MEMBER_SETTINGS = MemberTableSettings(suspicionTimeoutMillis = 6_000, retentionMillis = 60_000)
    }
}
