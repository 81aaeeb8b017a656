/*
 * The product's own decision code in a routing trial: one upstream table and one selector for each router, and between
 * them a delay line that stands in for the exchange, the load polls and the platform.
 */
package org.primrosesill.experiment

import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.ReservationState
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmList
import org.primrosesill.generated.VmState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.VmId
import org.primrosesill.routing.MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS
import org.primrosesill.routing.ReservationTable
import org.primrosesill.routing.RoutingRequest
import org.primrosesill.routing.RoutingSnapshot
import org.primrosesill.routing.UpstreamChoice
import org.primrosesill.routing.UpstreamSelector
import org.primrosesill.routing.UpstreamTable
import org.primrosesill.routing.UpstreamView
import org.primrosesill.routing.affinityUpstreamSelector
import org.primrosesill.routing.reservationOwnerOf

private val trialPool = PoolId("trial")

private fun zoneId(zone: Int) = AvailabilityZoneId("zone-$zone")

internal class ProductPolicy(private val settings: RoutingTrialSettings, private val fleet: TrialFleet) :
    RoutingPolicy {
    private val snapshots = Array(settings.routers) { RoutingSnapshot() }
    private var nowMillis = 0L
    private val tables = List(settings.routers) { UpstreamTable() }
    private val selectors = List(settings.routers, ::newSelector)
    private val reservations = List(settings.routers) { ReservationTable() }
    private val routerIds = List(settings.routers) { RouterId("router-$it") }
    private val routerIndexes = routerIds.withIndex().associate { (index, id) -> id to index }
    private val routerZones = routerIds.withIndex().associate { (index, id) -> id to zoneId(index % settings.zones) }
    private val ids = fleet.engines.map { it.id }
    private val indexes = ids.withIndex().associate { (index, id) -> id to index }

    /** Counts and reports that each router sent in its rounds, oldest first. */
    private val sentCounts = List(settings.routers) { ArrayDeque<Pair<Long, IntArray>>() }
    private val observed = List(settings.routers) { LongArray(settings.routers) { -1 } }
    private val polledReports = ArrayDeque<Pair<Long, List<LoadReport>>>()

    /** Reports made from refusals that said cold, spread like polled ones. */
    private val refusalReports = ArrayDeque<Pair<Long, LoadReport>>()

    private fun newSelector(router: Int): UpstreamSelector =
        affinityUpstreamSelector(
            snapshot = { snapshots[router] },
            currentMillis = { nowMillis },
            routerSeed = router.toLong(),
            onColdReported = { id, bears ->
                tables[router].recordCold(id, bears, nowMillis)?.let { refusalReports += nowMillis to it }
            },
        )

    override fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice? {
        this.nowMillis = nowMillis
        val full = HashSet<UpstreamId>()
        val tried = excluded.mapTo(HashSet()) { ids[it] }
        repeat(MAXIMUM_PLACES) {
            val choice = chooseAt(router, prompt, tried + full) ?: return@repeat
            if (choice.requiresSlot || reserve(router, choice.upstream)) return trialChoice(choice)
            selectors[router].finish(choice.upstream.id)
            full += choice.upstream.id
        }
        return chooseAt(router, prompt, tried)?.let(::trialChoice)
    }

    private fun chooseAt(router: Int, prompt: TrialPrompt, excluded: Set<UpstreamId>): UpstreamChoice? =
        selectors[router].choose(RoutingRequest(trialPool, prompt.chat.toString(), excluded)).getOrNull()

    private fun trialChoice(choice: UpstreamChoice) =
        TrialChoice(indexes.getValue(choice.upstream.id), choice.requiresSlot)

    /** The way to the home takes a few milliseconds, which is short beside the delay of the exchange. */
    private fun reserve(router: Int, upstream: UpstreamView): Boolean {
        if (!settings.reservations || settings.routers <= MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS) return true
        val home = reservationOwnerOf(upstream.id, upstream.availabilityZone, routerZones) ?: return true
        val homeIndex = routerIndexes.getValue(home)
        val others = (selectors[router].inFlight()[upstream.id] ?: 1) - 1
        val total = selectors[router].poolTotal(trialPool)
        val limit = selectors[homeIndex].loadLimit(trialPool, upstream.id, total)
        val request = ReservationRequest(trialPool, upstream.id, routerIds[router], others, total)
        return reservations[homeIndex].reserve(request, limit, nowMillis).state != ReservationState.FULL
    }

    override fun finish(router: Int, engine: Int) = selectors[router].finish(ids[engine])

    override fun recordConnection(router: Int, engine: Int, succeeded: Boolean) =
        selectors[router].recordConnection(ids[engine], succeeded)

    override fun recordCold(router: Int, engine: Int, bears: Int) = selectors[router].recordCold(ids[engine], bears)

    /** The platform tells [router] which engines exist and which zones are out. */
    fun platform(router: Int, revision: Long, list: List<VmEntry>, zonesOut: Set<Int>, nowMillis: Long) {
        tables[router].applyVmList(VmList(revision, list), nowMillis)
        tables[router].applyFleet(fleetDocument(zonesOut))
    }

    fun vmEntries(): List<VmEntry> =
        fleet.engines.filter { it.present }.map {
            val state = if (it.leaving) VmState.LEAVING else VmState.LIVE
            VmEntry(VmId(it.id.value), zoneId(it.zone), VmKind.ENGINE, "127.0.0.1:1", state, listOf(trialPool))
        }

    private fun fleetDocument(zonesOut: Set<Int>): FleetDocument =
        FleetDocument(
            List(settings.zones) { AvailabilityZoneSettings(zoneId(it), outOfService = it in zonesOut) },
            listOf(PoolSettings(trialPool, PoolKind.CHAT)),
            allowAllZonesOut = true,
        )

    /** The routers poll all engines. */
    fun poll(nowMillis: Long) {
        polledReports += nowMillis to fleet.engines.filter { it.present }.map { it.report(nowMillis) }
        while (polledReports.size > HISTORY) polledReports.removeFirst()
    }

    /** One round of [router]: it sends its counts. */
    fun send(router: Int, nowMillis: Long) {
        val counts = IntArray(ids.size)
        selectors[router].inFlight().forEach { (id, count) -> counts[indexes.getValue(id)] = count }
        sentCounts[router] += nowMillis to counts
        while (sentCounts[router].size > HISTORY) sentCounts[router].removeFirst()
    }

    /** The control thread of [router] takes over what has arrived and renews the snapshot. */
    fun refresh(router: Int, nowMillis: Long) {
        this.nowMillis = nowMillis
        val arrived = nowMillis - settings.exchangeDelayMillis
        val table = tables[router]
        table.applyOthersInFlight(othersInFlight(router, arrived))
        observeReservations(router, arrived)
        polledReports.lastOrNull { it.first <= arrived }?.let { table.applyReports(it.second, nowMillis) }
        while (refusalReports.isNotEmpty() && refusalReports.first().first < nowMillis - REFUSAL_MEMORY_MILLIS) {
            refusalReports.removeFirst()
        }
        table.applyReports(refusalReports.filter { it.first <= arrived }.map { it.second }, nowMillis)
        snapshots[router] = table.tick(nowMillis).snapshot
    }

    private fun othersInFlight(router: Int, arrivedMillis: Long): Map<UpstreamId, Int> {
        val sums = IntArray(ids.size)
        for (other in sentCounts.indices) {
            if (other == router) continue
            val counts = sentCounts[other].lastOrNull { it.first <= arrivedMillis }?.second ?: continue
            for (index in sums.indices) sums[index] += counts[index]
        }
        return sums.indices.filter { sums[it] > 0 }.associate { ids[it] to sums[it] }
    }

    /** Each part reaches the reservation table once, when it arrives. */
    private fun observeReservations(router: Int, arrivedMillis: Long) {
        for (other in sentCounts.indices) {
            val sent = sentCounts[other].lastOrNull { it.first <= arrivedMillis } ?: continue
            if (other == router || observed[router][other] == sent.first) continue
            observed[router][other] = sent.first
            val counts =
                sent.second.indices
                    .filter { sent.second[it] > 0 }
                    .associate { ids[it] to sent.second[it] }
            reservations[router].applyInFlight(routerIds[other], counts, nowMillis)
        }
    }

    private companion object {
        /** As in the request path. */
        const val MAXIMUM_PLACES = 8

        /** Rounds kept in the delay line; more than the longest delay needs. */
        const val HISTORY = 8
        const val REFUSAL_MEMORY_MILLIS = 5_000L
    }
}
