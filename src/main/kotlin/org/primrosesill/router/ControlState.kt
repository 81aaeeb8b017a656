/*
 * The control state of one router: all tables that the control thread owns, and how news passes between them.
 */
package org.primrosesill.router

import org.primrosesill.claim.ClaimTable
import org.primrosesill.configuration.DocumentStore
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.PartTable
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterPart
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmList
import org.primrosesill.limit.CustomerOwner
import org.primrosesill.membership.MemberChange
import org.primrosesill.membership.MemberTable
import org.primrosesill.model.CustomerId
import org.primrosesill.model.UpstreamId
import org.primrosesill.routing.ReservationTable
import org.primrosesill.routing.UpstreamTable

/**
 * Numbers that traffic counts and the exchange carries.
 *
 * @property upstreams requests in flight by upstream
 * @property customers requests in flight by customer
 */
internal data class OwnCounts(val upstreams: Map<String, Int>, val customers: Map<String, Int>)

/** Used on the control thread only; [views] is what others read. Times are milliseconds since the Unix epoch. */
internal class ControlState(
    val members: MemberTable,
    val parts: PartTable,
    val upstreams: UpstreamTable,
    val documents: DocumentStore,
    val claims: ClaimTable,
    private val customers: CustomerOwner,
    private val reservations: ReservationTable,
    private val views: PublishedViews,
    private val events: EventLog,
    private val ownCounts: () -> OwnCounts,
) {
    /** The newest VM list that this router has seen, for peers that do not read the platform. */
    var vmList: VmList = VmList(0, emptyList())
        private set

    private val polled = HashMap<UpstreamId, LoadReport>()

    /** Starts a round: raises the heartbeat and returns what this router tells the others. */
    fun nextPart(): RouterPart {
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        return ownPart()
    }

    /** What this router tells in reply to an exchange. */
    fun ownPart(): RouterPart {
        val counts = ownCounts()
        return RouterPart(
            member = members.self(),
            configurationRevision = documents.revision,
            vmListRevision = vmList.revision,
            inFlight = counts.upstreams,
            reports = polled.values.toList(),
            customersInFlight = counts.customers,
        )
    }

    /** Takes the parts of other routers. */
    fun receive(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            record(members.observe(part.member, nowMillis))
            if (parts.merge(part, nowMillis)) {
                val inFlight = part.customersInFlight.orEmpty().mapKeys { CustomerId(it.key) }
                customers.observe(part.member.router, inFlight, nowMillis)
                val upstreams = part.inFlight.orEmpty().mapKeys { UpstreamId(it.key) }
                reservations.applyInFlight(part.member.router, upstreams, nowMillis)
            }
        }
        upstreams.applyReports(parts.reports().values.toList(), nowMillis)
    }

    /** Takes load reports that this router polled, and tells them in the next round. */
    fun receiveReports(reports: List<LoadReport>, assigned: Set<UpstreamId>, nowMillis: Long) {
        polled.keys.retainAll(assigned)
        reports.associateByTo(polled) { it.upstream }
        upstreams.applyReports(reports, nowMillis)
    }

    /** Takes what an upstream said in an answer, ahead of its next report. */
    fun receiveCold(upstream: UpstreamId, bears: Int, nowMillis: Long) {
        upstreams.recordCold(upstream, bears, nowMillis)?.let { polled[upstream] = it }
        publish(nowMillis)
    }

    fun receiveVmList(list: VmList, nowMillis: Long) {
        if (list.revision <= vmList.revision) return
        vmList = list
        upstreams.applyVmList(list, nowMillis)
        members.updateVmList(list.vms.filter { it.kind == VmKind.ROUTER }.mapTo(HashSet()) { it.address })
    }

    /** Applies a page of the configuration from the platform or a peer, named by [source]. */
    fun receivePage(page: ConfigurationPage, since: Long, source: String, nowMillis: Long) {
        val report =
            documents.apply(page, nowMillis, since).fold(
                { error ->
                    events.record(EventType.CONFIGURATION_REFUSED, "page from $source: $error")
                    return
                },
                { it },
            )
        report.accepted.forEach {
            val cause = "${if (it.deleted) "deleted" else "accepted"}, read from $source"
            val subject = EventSubject(subject = it.name.value, configurationRevision = it.revision)
            events.record(EventType.CONFIGURATION_ACCEPTED, cause, subject)
        }
        report.refused.forEach {
            val subject = EventSubject(subject = it.name.value, configurationRevision = it.revision)
            events.record(EventType.CONFIGURATION_REFUSED, it.errors.joinToString("; "), subject)
        }
        documents.snapshot.fleet?.let { upstreams.applyFleet(it, documents.revision) }
        publish(nowMillis)
    }

    /** Says in the next exchange that this router is stopping. */
    fun leave() {
        members.updateSelf(members.self().copy(state = MemberState.LEAVING))
    }

    /** Advances time in all tables and publishes what changed. */
    fun tick(nowMillis: Long) {
        record(members.tick(nowMillis))
        claims.tick(nowMillis)
        customers.tick(nowMillis)
        publish(nowMillis)
    }

    private fun publish(nowMillis: Long) {
        upstreams.applyOthersInFlight(parts.inFlight(nowMillis))
        val update = upstreams.tick(nowMillis)
        update.changes.forEach { events.record(it.type, it.cause, it.subject) }
        parts.retainUpstreams(upstreams.zones.keys)
        reservations.retainUpstreams(upstreams.zones.keys)
        views.routing.set(update.snapshot)
        views.configuration.set(documents.snapshot)
        views.members.set(members.snapshot())
        views.platform.set(PlatformView(vmList.revision, documents.refused()))
    }

    private fun record(changes: List<MemberChange>) =
        changes.forEach { change ->
            val subject = EventSubject(subject = change.member.describe())
            when (change) {
                is MemberChange.Joined -> events.record(EventType.MEMBER_JOINED, "heard", subject)

                is MemberChange.Leaving -> {
                    customers.removeRouter(change.member.router)
                    events.record(EventType.MEMBER_LEAVING, "says that it is stopping", subject)
                }

                is MemberChange.Lost -> {
                    parts.remove(change.member.router)
                    customers.removeRouter(change.member.router)
                    reservations.removeRouter(change.member.router)
                    events.record(EventType.MEMBER_LOST, change.cause, subject)
                }
            }
        }
}

private fun Member.describe(): String = "$router at $address in $availabilityZone"
