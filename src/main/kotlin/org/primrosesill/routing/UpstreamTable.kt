/*
 * What this router knows of all upstreams: the VM list, the fleet document, load reports and the counts of other
 * routers come in, and an immutable snapshot for traffic comes out. Owned by the control thread.
 *
 * The VM list lags and can be wrong, so it only ever adds upstreams on its own; it takes one away only when the
 * upstream has stopped answering its load poll as well.
 */
package org.primrosesill.routing

import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmList
import org.primrosesill.generated.VmState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.VmId

/** Something an operator may have to answer for, in the terms of the event log. */
public data class RoutingChange(val type: EventType, val subject: EventSubject, val cause: String)

/** The result of [UpstreamTable.tick]. */
public data class RoutingUpdate(val snapshot: RoutingSnapshot, val changes: List<RoutingChange>)

/** The upstreams as the control thread knows them. All times are milliseconds since the Unix epoch. */
public class UpstreamTable {
    private val entries = LinkedHashMap<UpstreamId, UpstreamEntry>()

    /** Ids that were leaving when they were lost, with the time until which they are remembered. */
    private val departed = HashMap<UpstreamId, Long>()
    private val changes = mutableListOf<RoutingChange>()
    private var fleet: FleetDocument? = null
    private var othersInFlight: Map<UpstreamId, Int> = emptyMap()

    /** Revision of the VM list in force, or -1 before the first one. */
    public var vmListRevision: Long = -1
        private set

    /** All known upstreams with their zones, eligible or not. */
    public val zones: Map<UpstreamId, AvailabilityZoneId> get() = entries.mapValues { it.value.vm.availabilityZone }

    /** The upstreams that report their load, with their zones. */
    public val pollableZones: Map<UpstreamId, AvailabilityZoneId>
        get() = entries.filterValues { it.vm.kind == VmKind.ENGINE }.mapValues { it.value.vm.availabilityZone }

    /** Where each known upstream is reached. */
    public val addresses: Map<UpstreamId, String> get() = entries.mapValues { it.value.vm.address }

    /** Takes over a VM list. One that is not newer than the list in force is ignored; an empty one removes nobody. */
    public fun applyVmList(list: VmList, nowMillis: Long) {
        if (list.revision <= vmListRevision) return
        vmListRevision = list.revision
        val upstreams = list.vms.filter { it.kind != VmKind.ROUTER }
        upstreams.forEach { applyVm(it) }
        if (list.vms.isEmpty()) return
        val listed = upstreams.mapTo(HashSet()) { UpstreamId(it.id.value) }
        entries.values.filter { it.id !in listed }.forEach {
            it.unlistedSinceMillis =
                it.unlistedSinceMillis ?: nowMillis
        }
    }

    private fun applyVm(vm: VmEntry) {
        val id = UpstreamId(vm.id.value)
        val entry =
            entries.getOrPut(id) {
                change(EventType.UPSTREAM_JOINED, id, "listed by the platform")
                UpstreamEntry(id, vm, leaving = id in departed)
            }
        entry.vm = vm
        entry.unlistedSinceMillis = null
        if (vm.state == VmState.LEAVING) markLeaving(entry, "listed as leaving by the platform")
    }

    /** Takes over the fleet document in force at [revision]. It alone takes zones and VMs out of service. */
    public fun applyFleet(document: FleetDocument, revision: Long? = null) {
        val before = fleet
        fleet = document
        val zonesBefore = before.zonesOut()
        val zonesAfter = document.zonesOut()
        (zonesAfter.keys - zonesBefore.keys).forEach {
            val reason = zonesAfter.getValue(it).ifEmpty { "no reason given" }
            place(EventType.ZONE_OUT, it.value, "taken out by operators: $reason", revision)
        }
        (zonesBefore.keys - zonesAfter.keys).forEach {
            place(EventType.ZONE_BACK, it.value, "brought back by operators", revision)
        }
        val vmsBefore = before?.outOfServiceVms.orEmpty().toSet()
        val vmsAfter = document.outOfServiceVms.toSet()
        (vmsAfter - vmsBefore).forEach { place(EventType.VM_OUT, it.value, "taken out by operators", revision) }
        (vmsBefore - vmsAfter).forEach { place(EventType.VM_BACK, it.value, "brought back by operators", revision) }
    }

    /** Takes over load reports. For each upstream, a report that is not newer than the last one is ignored. */
    public fun applyReports(reports: List<LoadReport>, nowMillis: Long) {
        for (report in reports) {
            val entry = entries[report.upstream] ?: continue
            if (!entry.accept(report, nowMillis)) continue
            if (report.state == UpstreamState.LEAVING) markLeaving(entry, "reports that it is leaving")
        }
    }

    /**
     * Records that [upstream] said it is cold in an answer. Returns the report to share in the next exchange, or null
     * when the upstream is unknown.
     */
    public fun recordCold(upstream: UpstreamId, bears: Int, nowMillis: Long): LoadReport? {
        val entry = entries[upstream] ?: return null
        val last = entry.report
        val report =
            LoadReport(
                upstream = upstream,
                state = if (entry.leaving) UpstreamState.LEAVING else UpstreamState.COLD,
                running = last?.running ?: 0,
                queued = last?.queued ?: 0,
                capacity = last?.capacity ?: 0,
                bears = bears,
                reportedAtMillis = maxOf(nowMillis, (last?.reportedAtMillis ?: 0) + 1),
            )
        entry.accept(report, nowMillis)
        return report
    }

    /** Replaces the counts of all other routers, as summed from the last exchange. */
    public fun applyOthersInFlight(counts: Map<UpstreamId, Int>) {
        othersInFlight = counts
    }

    /** Advances time, and returns the view for traffic and what changed since the last call. */
    public fun tick(nowMillis: Long): RoutingUpdate {
        departed.values.removeIf { it < nowMillis }
        entries.values.filter { it.isLost(nowMillis) }.forEach { remove(it, nowMillis) }
        entries.values.forEach { updateState(it, nowMillis) }
        return RoutingUpdate(snapshot(nowMillis), changes.toList()).also { changes.clear() }
    }

    private fun remove(entry: UpstreamEntry, nowMillis: Long) {
        entries.remove(entry.id)
        if (entry.leaving) departed[entry.id] = nowMillis + DEPARTED_MEMORY_MILLIS
        change(EventType.UPSTREAM_LOST, entry.id, entry.lostBecause(nowMillis))
    }

    private fun updateState(entry: UpstreamEntry, nowMillis: Long) {
        val cause = entry.update(nowMillis) ?: return
        change(if (entry.warm) EventType.UPSTREAM_WARM else EventType.UPSTREAM_COLD, entry.id, cause)
    }

    private fun markLeaving(entry: UpstreamEntry, cause: String) {
        if (entry.leaving) return
        entry.leaving = true
        change(EventType.UPSTREAM_LEAVING, entry.id, cause)
    }

    private fun snapshot(nowMillis: Long): RoutingSnapshot {
        val document = fleet ?: return RoutingSnapshot()
        val zonesOut = document.zonesOut().keys
        val vmsOut = document.outOfServiceVms.toSet()
        val pools =
            document.pools.associate { settings ->
                val members = entries.values.filter { settings.id in it.vm.pools }
                val views =
                    members.map { entry ->
                        val blocked = blockedBecause(entry, zonesOut, vmsOut)
                        entry.view(nowMillis, settings, othersInFlight[entry.id] ?: 0, blocked)
                    }
                settings.id to PoolView(settings, views)
            }
        return RoutingSnapshot(pools, nowMillis)
    }

    private fun blockedBecause(entry: UpstreamEntry, zonesOut: Set<AvailabilityZoneId>, vmsOut: Set<VmId>): String? =
        when {
            entry.vm.availabilityZone in zonesOut -> "zone '${entry.vm.availabilityZone}' is out of service"
            VmId(entry.id.value) in vmsOut -> "the VM is out of service"
            entry.leaving -> "the upstream is leaving"
            else -> null
        }

    private fun change(type: EventType, upstream: UpstreamId, cause: String) {
        changes += RoutingChange(type, EventSubject(upstream = upstream), cause)
    }

    private fun place(type: EventType, name: String, cause: String, revision: Long?) {
        changes += RoutingChange(type, EventSubject(subject = name, configurationRevision = revision), cause)
    }

    private companion object {
        /** Longer than any VM list or report that is under way can be delayed. */
        const val DEPARTED_MEMORY_MILLIS = 3_600_000L
    }
}

private fun FleetDocument?.zonesOut(): Map<AvailabilityZoneId, String> =
    this
        ?.availabilityZones
        .orEmpty()
        .filter { it.outOfService }
        .associate { it.id to it.reason }
