/*
 * Builders of routing inputs for tests.
 */
package org.primrosesill.routing

import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmList
import org.primrosesill.generated.VmState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.VmId

internal val pool = PoolId("advisor")

internal fun engine(name: String, zone: String = "a", state: VmState = VmState.LIVE): VmEntry =
    VmEntry(VmId(name), AvailabilityZoneId(zone), VmKind.ENGINE, "127.0.0.1:1", state, listOf(pool))

internal fun service(name: String): VmEntry = engine(name).copy(kind = VmKind.SERVICE)

internal fun vms(revision: Long, vararg entries: VmEntry): VmList = VmList(revision, entries.toList())

internal fun fleet(vararg zonesOut: String, vmsOut: List<String> = emptyList()): FleetDocument =
    FleetDocument(
        availabilityZones =
            listOf(
                "a",
                "b",
                "c",
            ).map { AvailabilityZoneSettings(AvailabilityZoneId(it), outOfService = it in zonesOut) },
        pools = listOf(PoolSettings(pool, PoolKind.CHAT)),
        outOfServiceVms = vmsOut.map(::VmId),
    )

internal fun report(
    name: String,
    atMillis: Long,
    state: UpstreamState = UpstreamState.WARM,
    running: Int = 0,
    coldConcurrencyLimit: Int = 1,
): LoadReport =
    LoadReport(
        UpstreamId(name),
        state,
        running,
        queued = 0,
        bears = coldConcurrencyLimit,
        reportedAtMillis = atMillis,
    )

internal fun view(
    name: String,
    state: UpstreamState = UpstreamState.WARM,
    others: Int = 0,
    reported: Int = 0,
    ineligibleReason: String? = null,
    coldConcurrencyLimit: Int = 1,
): UpstreamView =
    UpstreamView(
        id = UpstreamId(name),
        availabilityZone = AvailabilityZoneId("a"),
        address = "127.0.0.1:1",
        pools = listOf(pool),
        state = state,
        coldConcurrencyLimit = coldConcurrencyLimit,
        reportedLoad = reported,
        othersInFlight = others,
        ineligibleReason = ineligibleReason,
    )

internal fun snapshot(vararg views: UpstreamView): RoutingSnapshot =
    RoutingSnapshot(mapOf(pool to PoolView(PoolSettings(pool, PoolKind.CHAT), views.toList())))
