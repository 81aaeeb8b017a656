/*
 * State of the fleet as one gateway sees it: the members, their requests in flight, and the revision of the
 * platform's items that each of them holds. Heartbeats, loads and the prompt parts that engines hold spread from
 * gateway to gateway by gossip.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.SMALL_FLEET_GATEWAYS
import org.primrosesill.exchange.UpdateSource
import org.primrosesill.exchange.heartbeatDigest
import org.primrosesill.exchange.planAnnouncement
import org.primrosesill.exchange.planGossip
import org.primrosesill.exchange.planProbes
import org.primrosesill.exchange.planSmallChanges
import org.primrosesill.exchange.planUrgentReport
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
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.FleetReachability
import kotlin.random.Random

/** Immutable view of the fleet that the control thread publishes for the traffic thread. */
internal class FleetView(val members: FleetMembers, val reachability: FleetReachability)

/** An exchange message and the peer addresses that it is sent to. */
internal class AddressedMessage(val addresses: List<String>, val message: ExchangeMessage)

/** Owned by the control thread. Times are milliseconds of a monotonic clock. */
internal class Fleet(
    self: Member,
    private val seeds: Set<String>,
    private val trafficGossip: TrafficGossip,
    private val events: EventLog,
    startedAtMillis: Long,
    private val startupReadPolicy: StartupReadPolicy,
    private val random: Random,
) {
    private val members = MemberTable(self, seeds, expectsVmList = false, MEMBER_SETTINGS)
    private val recentMembers = RecentMembers(self.availabilityZone)
    private val settledDetector = SettledFleetDetector(startedAtMillis)

    /** Short codes of members that this gateway lacks and requests from peers. */
    private val unknownCodes = LinkedHashSet<String>()
    private var round = 0L

    /** Whether the member list has settled, so that it holds all live gateways. */
    val isSettled: Boolean get() = settledDetector.isSettled

    /** Starts a gossip round and returns its message with the addresses of the receivers. */
    fun nextRound(directory: DirectoryManager): AddressedMessage {
        round++
        trafficGossip.updateKnownUpstreams(directory.view.upstreamIds)
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        val selected = planGossip(round, self, members.live(), random).map { it.address }
        val probes = planProbes(round, members.silentAddresses())
        return AddressedMessage((selected + probes).distinct(), message(directory))
    }

    /** Returns the message that this gateway sends in a gossip round. */
    fun message(directory: DirectoryManager): ExchangeMessage = message(directory, emptyList())

    /** Returns the announcement of a newer revision of the platform's items, which came from [source]. */
    fun announcement(directory: DirectoryManager, source: UpdateSource, carriesChanges: Boolean): AddressedMessage {
        val receivers = planAnnouncement(members.self(), members.live(), source, carriesChanges, random)
        val part = partOf(members.self(), directory.revision)
        val age = directory.ageMillis ?: -1
        return AddressedMessage(
            receivers.map { it.address },
            ExchangeMessage(round, listOf(part), platformAgeMillis = age),
        )
    }

    /**
     * Returns the message for small changes that came from [source] and do not wait for a large one before them. It states
     * only the revision that was [announced] before, so that its receivers do not all fetch the large change from this gateway.
     */
    fun smallChangesMessage(source: UpdateSource, announced: PlatformRevision): AddressedMessage {
        val receivers = planSmallChanges(members.self(), members.live(), source)
        val part = partOf(members.self(), announced)
        return AddressedMessage(receivers.map { it.address }, ExchangeMessage(round, listOf(part)))
    }

    /** Returns the kind of source that [peer] is for updates of the platform's items. */
    fun sourceOf(peer: Member): UpdateSource =
        if (peer.availabilityZone == members.self().availabilityZone) UpdateSource.OWN_ZONE else UpdateSource.OTHER_ZONE

    /** Returns the message that reports silent upstreams to other gateways. */
    fun silentUpstreamsMessage(): AddressedMessage {
        val receivers = planUrgentReport(members.self(), members.live(), random)
        val message = ExchangeMessage(round, parts = emptyList(), sender = members.self().router)
        return AddressedMessage(receivers.map { it.address }, trafficGossip.addTo(message))
    }

    /** Returns the message that reports urgent crash evidence to other gateways. */
    fun crashEvidenceMessage(): AddressedMessage {
        val receivers = planUrgentReport(members.self(), members.live(), random)
        val message = ExchangeMessage(round, parts = emptyList(), sender = members.self().router)
        return AddressedMessage(receivers.map { it.address }, trafficGossip.addUrgentCrashEvidence(message))
    }

    /** Returns the request counts of this gateway for all others of a small fleet, or null in a large one. */
    fun requestCountsMessage(): AddressedMessage? {
        if (!isSmall()) return null
        val message = ExchangeMessage(round, parts = emptyList(), sender = members.self().router)
        return AddressedMessage(others().map { it.address }, trafficGossip.addRequestCounts(message))
    }

    private fun isSmall() = members.live().size <= SMALL_FLEET_GATEWAYS

    /** Returns whether this gateway reads the platform, given a view age of [ageMillis] and a lag of [behindMillis]. */
    fun isPlatformReader(ageMillis: Long?, behindMillis: Long, nowMillis: Long): Boolean =
        (isSettled || !startupReadPolicy.defersToPeers(ageMillis, nowMillis)) &&
            readsPlatform(members.self(), members.live(), ageMillis, behindMillis)

    /** Applies the message of a peer. */
    fun applyMessage(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            observe(part.member, nowMillis)
            unknownCodes -= shortCode(part.member.router.value)
        }
        val digest = readHeartbeatDigest(message.members, members.live())
        digest.members.forEach { observe(it, nowMillis) }
        unknownCodes += digest.unknownCodes
        trafficGossip.applyMessage(message)
        message.sender?.let { trafficGossip.applyRequestCounts(it, message) }
    }

    /** Returns the reply to a peer that lacks members or has no view of the platform, or null when none is needed. */
    fun replyTo(message: ExchangeMessage, directory: DirectoryManager): ExchangeMessage? {
        val requested = message.wanted.chunked(SHORT_CODE_LENGTH).toSet()
        val requestedMembers = members.live().filter { shortCode(it.router.value) in requested }
        val hasNoView =
            message.parts.firstOrNull()?.configurationRevision == 0L && directory.revision > PlatformRevision.NONE
        if (requestedMembers.isEmpty() && !hasNoView) return null
        // A reply requests no members: two gateways that both lack a member would reply to each other forever.
        return message(directory, requestedMembers).copy(wanted = "")
    }

    /** Marks this gateway as leaving in the messages that it sends from now on. */
    fun leave() = members.updateSelf(members.self().copy(state = MemberState.LEAVING))

    /** Marks silent members as lost, and updates whether the fleet has settled and who has to send request counts. */
    fun tick(nowMillis: Long) {
        record(members.tick(nowMillis))
        settledDetector.tick(nowMillis, recentMembers.hasSeenAll(seeds))
        trafficGossip.retainServiceCounts(others().map { it.router })
        trafficGossip.expectRequestCounts(others().mapTo(HashSet()) { it.router }.takeIf { isSmall() })
    }

    /** Returns the view for the traffic thread. */
    fun view(nowMillis: Long): FleetView {
        val live = members.live().mapTo(HashSet()) { it.router } - members.self().router
        val others = recentMembers.recentlySeen(nowMillis) + live
        val reachability = FleetReachability(recentMembers.silentZones(nowMillis))
        return FleetView(FleetMembers(members.self().router, others, settledDetector.isSettled), reachability)
    }

    fun self(): Member = members.self()

    /** Returns the other live gateways, in no particular order. */
    fun others(): List<Member> = members.live().filter { it.router != members.self().router }

    private fun message(directory: DirectoryManager, requestedMembers: List<Member>): ExchangeMessage {
        val live = members.live()
        val self = members.self()
        val others = requestedMembers.filter { it.router != self.router }
        val parts = listOf(partOf(self, directory.revision)) + others.map { RouterPart(it, 0) }
        val message =
            ExchangeMessage(
                round = round,
                parts = parts,
                members = heartbeatDigest(live),
                sender = self.router,
                wanted = unknownCodes.take(MAXIMUM_REQUESTED_CODES).joinToString(""),
                platformAgeMillis = directory.ageMillis ?: -1,
            )
        return trafficGossip.addTo(if (isSmall()) trafficGossip.addRequestCounts(message) else message)
    }

    private fun observe(member: Member, nowMillis: Long) {
        if (recentMembers.observe(member, nowMillis)) settledDetector.memberJoined(nowMillis)
        record(members.observe(member, nowMillis))
    }

    private fun record(changes: List<MemberChange>) =
        changes.forEach { change ->
            val subject = EventSubject(subject = "${change.member.router} at ${change.member.address}")
            when (change) {
                is MemberChange.Joined ->
                    events.record(EventType.MEMBER_JOINED, "heartbeat received", subject)
                is MemberChange.Leaving ->
                    events.record(EventType.MEMBER_LEAVING, "the member announced that it is stopping", subject)
                is MemberChange.Lost -> {
                    events.record(EventType.MEMBER_LOST, change.cause, subject)
                }
            }
        }

    private companion object {
        const val MAXIMUM_REQUESTED_CODES = 20

        /** In a large fleet a heartbeat takes several gossip rounds to reach all gateways. */
        val MEMBER_SETTINGS = MemberTableSettings(suspicionTimeoutMillis = 6_000, retentionMillis = 60_000)
    }
}
