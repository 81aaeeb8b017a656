/*
 * The decision code of the product as the policy of a routing trial, with one upstream table and one selector for each
 * router. Delay lines model the exchange of in-flight counts and the load polls; the trial itself delays the updates
 * from the platform.
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
    private val engineIds = fleet.engines.map { it.id }
    private val engineIndexes = engineIds.withIndex().associate { (index, id) -> id to index }

    /** In-flight counts that each router sent in its rounds, with the time of sending, oldest first. */
    private val sentCounts = List(settings.routers) { ArrayDeque<Pair<Long, IntArray>>() }

    /** For each router, by sender, the time of sending of the latest counts that its reservation table has applied. */
    private val appliedMillis = List(settings.routers) { LongArray(settings.routers) { -1 } }
    private val polledReports = ArrayDeque<Pair<Long, List<LoadReport>>>()

    /** Load reports derived from refusals of cold engines, which all routers receive like polled reports. */
    private val refusalReports = ArrayDeque<Pair<Long, LoadReport>>()

    private fun newSelector(router: Int): UpstreamSelector =
        affinityUpstreamSelector(
            snapshot = { snapshots[router] },
            currentMillis = { nowMillis },
            routerSeed = router.toLong(),
            onColdReported = { id, limit ->
                tables[router].recordCold(id, limit, nowMillis)?.let { refusalReports += nowMillis to it }
            },
        )

    override fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice? {
        this.nowMillis = nowMillis
        val fullEngines = HashSet<UpstreamId>()
        val tried = excluded.mapTo(HashSet()) { engineIds[it] }
        repeat(MAXIMUM_RESERVATIONS) {
            val choice = chooseUpstream(router, prompt, tried + fullEngines) ?: return@repeat
            if (choice.requiresSlot || reserve(router, choice.upstream)) return trialChoice(choice)
            selectors[router].finish(choice.upstream.id)
            fullEngines += choice.upstream.id
        }
        return chooseUpstream(router, prompt, tried)?.let(::trialChoice)
    }

    private fun chooseUpstream(router: Int, prompt: TrialPrompt, excluded: Set<UpstreamId>): UpstreamChoice? =
        selectors[router].choose(RoutingRequest(trialPool, prompt.chat.toString(), excluded)).getOrNull()

    private fun trialChoice(choice: UpstreamChoice) =
        TrialChoice(engineIndexes.getValue(choice.upstream.id), choice.requiresSlot)

    /**
     * Reserves capacity at the reservation owner of [upstream] and returns whether the request can be sent. The few
     * milliseconds of the call are omitted, since they are short compared with the exchange delay.
     */
    private fun reserve(router: Int, upstream: UpstreamView): Boolean {
        if (!settings.reservations || settings.routers <= MAXIMUM_ROUTERS_WITHOUT_RESERVATIONS) return true
        val owner = reservationOwnerOf(upstream.id, upstream.availabilityZone, routerZones) ?: return true
        val ownerIndex = routerIndexes.getValue(owner)
        val otherInFlight = (selectors[router].inFlight()[upstream.id] ?: 1) - 1
        val total = selectors[router].poolTotal(trialPool)
        val limit = selectors[ownerIndex].loadLimit(trialPool, upstream.id, total)
        val request = ReservationRequest(trialPool, upstream.id, routerIds[router], otherInFlight, total)
        return reservations[ownerIndex].reserve(request, limit, nowMillis).state != ReservationState.FULL
    }

    override fun finish(router: Int, engine: Int) = selectors[router].finish(engineIds[engine])

    override fun recordConnection(router: Int, engine: Int, succeeded: Boolean) =
        selectors[router].recordConnection(engineIds[engine], succeeded)

    override fun recordCold(router: Int, engine: Int, coldConcurrencyLimit: Int) =
        selectors[router].recordCold(engineIds[engine], coldConcurrencyLimit)

    /** Applies the VM list and the zones out of service to the table of [router]. */
    fun applyPlatformState(router: Int, revision: Long, list: List<VmEntry>, zonesOut: Set<Int>, nowMillis: Long) {
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

    /** Polls the load of all engines. */
    fun poll(nowMillis: Long) {
        polledReports += nowMillis to fleet.engines.filter { it.present }.map { it.report(nowMillis) }
        while (polledReports.size > DELAY_LINE_MESSAGES) polledReports.removeFirst()
    }

    /** Sends the in-flight counts of [router]. The trial calls it once in each round of the router. */
    fun sendCounts(router: Int, nowMillis: Long) {
        val counts = IntArray(engineIds.size)
        selectors[router].inFlight().forEach { (id, count) -> counts[engineIndexes.getValue(id)] = count }
        sentCounts[router] += nowMillis to counts
        while (sentCounts[router].size > DELAY_LINE_MESSAGES) sentCounts[router].removeFirst()
    }

    /** Applies the messages that have arrived at [router] and builds its new snapshot, as its control thread does. */
    fun refresh(router: Int, nowMillis: Long) {
        this.nowMillis = nowMillis
        val latestSentMillis = nowMillis - settings.exchangeDelayMillis
        val table = tables[router]
        table.applyOthersInFlight(othersInFlight(router, latestSentMillis))
        applyCountsToReservations(router, latestSentMillis)
        polledReports.lastOrNull { it.first <= latestSentMillis }?.let { table.applyReports(it.second, nowMillis) }
        while (refusalReports.isNotEmpty() && refusalReports.first().first < nowMillis - REFUSAL_REPORT_EXPIRY_MILLIS) {
            refusalReports.removeFirst()
        }
        table.applyReports(refusalReports.filter { it.first <= latestSentMillis }.map { it.second }, nowMillis)
        snapshots[router] = table.tick(nowMillis).snapshot
    }

    private fun othersInFlight(router: Int, latestSentMillis: Long): Map<UpstreamId, Int> {
        val sums = IntArray(engineIds.size)
        for (other in sentCounts.indices) {
            if (other == router) continue
            val counts = sentCounts[other].lastOrNull { it.first <= latestSentMillis }?.second ?: continue
            for (index in sums.indices) sums[index] += counts[index]
        }
        return sums.indices.filter { sums[it] > 0 }.associate { engineIds[it] to sums[it] }
    }

    /** Applies the counts of other routers to the reservation table of [router], each message once when it arrives. */
    private fun applyCountsToReservations(router: Int, latestSentMillis: Long) {
        for (other in sentCounts.indices) {
            val sent = sentCounts[other].lastOrNull { it.first <= latestSentMillis } ?: continue
            if (other == router || appliedMillis[router][other] == sent.first) continue
            appliedMillis[router][other] = sent.first
            val counts =
                sent.second.indices
                    .filter { sent.second[it] > 0 }
                    .associate { engineIds[it] to sent.second[it] }
            reservations[router].applyInFlight(routerIds[other], counts, nowMillis)
        }
    }

    private companion object {
        /** Maximum number of reservation calls for one request, as in the request path. */
        const val MAXIMUM_RESERVATIONS = 8

        /** Number of messages kept for each sender. They cover more than the longest delay. */
        const val DELAY_LINE_MESSAGES = 8
        const val REFUSAL_REPORT_EXPIRY_MILLIS = 5_000L
    }
}
