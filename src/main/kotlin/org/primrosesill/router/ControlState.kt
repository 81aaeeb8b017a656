/*
 * The control state of one router: all tables that the control thread owns, and the updates between them.
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
 * Requests in flight on this router, counted on the request path and sent to peers in the exchange.
 *
 * @property upstreams requests in flight by upstream
 * @property customers requests in flight by customer
 */
internal data class InFlightCounts(val upstreams: Map<String, Int>, val customers: Map<String, Int>)

/** Confined to the control thread; other threads read [views]. Times are in milliseconds since the Unix epoch. */
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
    private val inFlightCounts: () -> InFlightCounts,
) {
    /** The newest VM list that this router has received; served to peers that do not read the platform. */
    var vmList: VmList = VmList(0, emptyList())
        private set

    private val polledReports = HashMap<UpstreamId, LoadReport>()

    /** Starts a round of the exchange: increments the heartbeat and returns the part to send. */
    fun startRound(): RouterPart {
        val self = members.self()
        members.updateSelf(self.copy(heartbeat = self.heartbeat + 1))
        return ownPart()
    }

    /** Returns the part of this router with its current heartbeat, as sent in reply to an exchange. */
    fun ownPart(): RouterPart {
        val counts = inFlightCounts()
        return RouterPart(
            member = members.self(),
            configurationRevision = documents.revision,
            vmListRevision = vmList.revision,
            inFlight = counts.upstreams,
            reports = polledReports.values.toList(),
            customersInFlight = counts.customers,
        )
    }

    /** Merges the parts of other routers into the tables. */
    fun receive(message: ExchangeMessage, nowMillis: Long) {
        for (part in message.parts) {
            recordChanges(members.observe(part.member, nowMillis))
            if (parts.merge(part, nowMillis)) {
                val inFlight = part.customersInFlight.orEmpty().mapKeys { CustomerId(it.key) }
                customers.observe(part.member.router, inFlight, nowMillis)
                val upstreams = part.inFlight.orEmpty().mapKeys { UpstreamId(it.key) }
                reservations.applyInFlight(part.member.router, upstreams, nowMillis)
            }
        }
        upstreams.applyReports(parts.reports().values.toList(), nowMillis)
    }

    /** Applies load reports that this router polled, and includes them in the next round of the exchange. */
    fun receiveReports(reports: List<LoadReport>, assigned: Set<UpstreamId>, nowMillis: Long) {
        polledReports.keys.retainAll(assigned)
        reports.associateByTo(polledReports) { it.upstream }
        upstreams.applyReports(reports, nowMillis)
    }

    /** Applies the cold state that an upstream reported in a response, ahead of its next load report. */
    fun receiveColdState(upstream: UpstreamId, coldConcurrencyLimit: Int, nowMillis: Long) {
        upstreams.recordCold(upstream, coldConcurrencyLimit, nowMillis)?.let { polledReports[upstream] = it }
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

    /** Announces in the next exchange that this router is leaving. */
    fun announceLeaving() {
        members.updateSelf(members.self().copy(state = MemberState.LEAVING))
    }

    /** Expires entries in all tables and publishes the views. */
    fun tick(nowMillis: Long) {
        recordChanges(members.tick(nowMillis))
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

    private fun recordChanges(changes: List<MemberChange>) =
        changes.forEach { change ->
            val subject = EventSubject(subject = change.member.describe())
            when (change) {
                is MemberChange.Joined -> events.record(EventType.MEMBER_JOINED, "message received", subject)

                is MemberChange.Leaving -> {
                    customers.removeRouter(change.member.router)
                    events.record(EventType.MEMBER_LEAVING, "the member announced that it is stopping", subject)
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
