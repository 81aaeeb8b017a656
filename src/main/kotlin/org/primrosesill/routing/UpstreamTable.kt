/*
 * The state of all upstreams at this router. It merges the VM list, the fleet document, load reports and the counts of
 * other routers into an immutable snapshot for traffic. Confined to the control thread.
 *
 * The VM list lags and can be wrong, so on its own it only adds upstreams; an upstream that is missing from it is
 * removed only when it no longer responds to load polls either, or after [UNLISTED_EXPIRY_MILLIS].
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

/** A state change that is recorded in the event log for operators. */
public data class RoutingChange(val type: EventType, val subject: EventSubject, val cause: String)

/** The result of [UpstreamTable.tick]. */
public data class RoutingUpdate(val snapshot: RoutingSnapshot, val changes: List<RoutingChange>)

/** The upstreams known to the control thread. All times are milliseconds since the Unix epoch. */
public class UpstreamTable {
    private val entries = LinkedHashMap<UpstreamId, UpstreamEntry>()

    /** Upstreams that were leaving when they were removed, with the time at which this record expires. */
    private val removedLeaving = HashMap<UpstreamId, Long>()
    private val changes = mutableListOf<RoutingChange>()
    private var fleet: FleetDocument? = null
    private var othersInFlight: Map<UpstreamId, Int> = emptyMap()

    /** Revision of the VM list in force, or -1 before the first one. */
    public var vmListRevision: Long = -1
        private set

    /** All known upstreams with their zones, eligible or not. */
    public val zones: Map<UpstreamId, AvailabilityZoneId> get() = entries.mapValues { it.value.vm.availabilityZone }

    /** The upstreams that report their load, with their zones. */
    public val polledUpstreamZones: Map<UpstreamId, AvailabilityZoneId>
        get() = entries.filterValues { it.vm.kind == VmKind.ENGINE }.mapValues { it.value.vm.availabilityZone }

    /** The addresses of all known upstreams. */
    public val addresses: Map<UpstreamId, String> get() = entries.mapValues { it.value.vm.address }

    /**
     * Applies a VM list. A list that is not newer than the one in force is ignored; an empty one removes no upstream.
     */
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
                record(EventType.UPSTREAM_JOINED, id, "listed by the platform")
                UpstreamEntry(id, vm, leaving = id in removedLeaving)
            }
        entry.vm = vm
        entry.unlistedSinceMillis = null
        if (vm.state == VmState.LEAVING) markLeaving(entry, "listed as leaving by the platform")
    }

    /** Applies the fleet document in force at [revision]. It alone takes zones and VMs out of service. */
    public fun applyFleet(document: FleetDocument, revision: Long? = null) {
        val previousFleet = fleet
        fleet = document
        val oldZones = previousFleet.zonesOutOfService()
        val newZones = document.zonesOutOfService()
        (newZones.keys - oldZones.keys).forEach {
            val reason = newZones.getValue(it).ifEmpty { "no reason provided" }
            record(EventType.ZONE_OUT, it.value, "taken out of service by operators: $reason", revision)
        }
        (oldZones.keys - newZones.keys).forEach {
            record(EventType.ZONE_BACK, it.value, "returned to service by operators", revision)
        }
        val oldVms = previousFleet?.outOfServiceVms.orEmpty().toSet()
        val newVms = document.outOfServiceVms.toSet()
        (newVms - oldVms).forEach { record(EventType.VM_OUT, it.value, "taken out of service by operators", revision) }
        (oldVms - newVms).forEach { record(EventType.VM_BACK, it.value, "returned to service by operators", revision) }
    }

    /** Applies load reports. For each upstream, a report that is not newer than the current one is ignored. */
    public fun applyReports(reports: List<LoadReport>, nowMillis: Long) {
        for (report in reports) {
            val entry = entries[report.upstream] ?: continue
            if (!entry.accept(report, nowMillis)) continue
            if (report.state == UpstreamState.LEAVING) markLeaving(entry, "reported leaving")
        }
    }

    /**
     * Records that a response of [upstream] reported it as cold. Returns the report to share in the next exchange, or
     * null if the upstream is unknown.
     */
    public fun recordCold(upstream: UpstreamId, coldConcurrencyLimit: Int, nowMillis: Long): LoadReport? {
        val entry = entries[upstream] ?: return null
        val last = entry.report
        val report =
            LoadReport(
                upstream = upstream,
                state = if (entry.leaving) UpstreamState.LEAVING else UpstreamState.COLD,
                running = last?.running ?: 0,
                queued = last?.queued ?: 0,
                capacity = last?.capacity ?: 0,
                bears = coldConcurrencyLimit,
                reportedAtMillis = maxOf(nowMillis, (last?.reportedAtMillis ?: 0) + 1),
            )
        entry.accept(report, nowMillis)
        return report
    }

    /** Replaces the in-flight counts with [counts], the sums over all other routers as of the last exchange. */
    public fun applyOthersInFlight(counts: Map<UpstreamId, Int>) {
        othersInFlight = counts
    }

    /** Applies timeouts, and returns the snapshot for traffic and the changes since the last call. */
    public fun tick(nowMillis: Long): RoutingUpdate {
        removedLeaving.values.removeIf { it < nowMillis }
        entries.values.filter { it.isLost(nowMillis) }.forEach { remove(it, nowMillis) }
        entries.values.forEach { updateState(it, nowMillis) }
        return RoutingUpdate(snapshot(nowMillis), changes.toList()).also { changes.clear() }
    }

    private fun remove(entry: UpstreamEntry, nowMillis: Long) {
        entries.remove(entry.id)
        if (entry.leaving) removedLeaving[entry.id] = nowMillis + REMOVED_LEAVING_EXPIRY_MILLIS
        record(EventType.UPSTREAM_LOST, entry.id, entry.lossCause(nowMillis))
    }

    private fun updateState(entry: UpstreamEntry, nowMillis: Long) {
        val cause = entry.updateState(nowMillis) ?: return
        record(if (entry.warm) EventType.UPSTREAM_WARM else EventType.UPSTREAM_COLD, entry.id, cause)
    }

    private fun markLeaving(entry: UpstreamEntry, cause: String) {
        if (entry.leaving) return
        entry.leaving = true
        record(EventType.UPSTREAM_LEAVING, entry.id, cause)
    }

    private fun snapshot(nowMillis: Long): RoutingSnapshot {
        val document = fleet ?: return RoutingSnapshot()
        val zonesOutOfService = document.zonesOutOfService().keys
        val vmsOutOfService = document.outOfServiceVms.toSet()
        val pools =
            document.pools.associate { settings ->
                val members = entries.values.filter { settings.id in it.vm.pools }
                val views =
                    members.map { entry ->
                        val reason = ineligibleReason(entry, zonesOutOfService, vmsOutOfService)
                        entry.view(nowMillis, settings, othersInFlight[entry.id] ?: 0, reason)
                    }
                settings.id to PoolView(settings, views)
            }
        return RoutingSnapshot(pools, nowMillis)
    }

    private fun ineligibleReason(
        entry: UpstreamEntry,
        zonesOutOfService: Set<AvailabilityZoneId>,
        vmsOutOfService: Set<VmId>,
    ): String? =
        when {
            entry.vm.availabilityZone in zonesOutOfService -> "zone '${entry.vm.availabilityZone}' is out of service"
            VmId(entry.id.value) in vmsOutOfService -> "the VM is out of service"
            entry.leaving -> "the upstream is leaving"
            else -> null
        }

    private fun record(type: EventType, upstream: UpstreamId, cause: String) {
        changes += RoutingChange(type, EventSubject(upstream = upstream), cause)
    }

    private fun record(type: EventType, name: String, cause: String, revision: Long?) {
        changes += RoutingChange(type, EventSubject(subject = name, configurationRevision = revision), cause)
    }

    private companion object {
        /** Longer than the maximum delay of a VM list or load report in transit. */
        const val REMOVED_LEAVING_EXPIRY_MILLIS = 3_600_000L
    }
}

private fun FleetDocument?.zonesOutOfService(): Map<AvailabilityZoneId, String> =
    this
        ?.availabilityZones
        .orEmpty()
        .filter { it.outOfService }
        .associate { it.id to it.reason }
