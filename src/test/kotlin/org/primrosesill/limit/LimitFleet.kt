/*
 * Limiters and owners of several routers under virtual time, with a lease transport and an exchange that tests can cut.
 */
package org.primrosesill.limit

import arrow.core.Either
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.generated.Contract
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.model.RouterId
import kotlin.math.roundToLong

internal const val SEED = 20_261_204L
private const val LONG_AGO = -600_000L
private const val MAXIMUM_NODES = 340

internal class Scenario(
    val name: String,
    val routers: Int,
    val contractAt: (Long) -> Contract,
    val offeredAt: (Long) -> Double,
    val routerAt: (Long, Int) -> Int = { _, random -> random },
    val requestMillis: Long = 100,
    val seconds: Int = 90,
    val events: Map<Int, LimitFleet.() -> Unit> = emptyMap(),
)

internal class Outcome {
    val started = ArrayList<Long>()
    val refused = HashMap<LimitReason, Int>()
    var offered = 0
    var calls = 0
    var mostRunning = 0
    val baselineStarted = ArrayList<Long>()

    /** The highest ratio of started requests to what the contract allows over any minute, in requests over the limit. */
    fun worstMinuteOver(scenario: Scenario, started: List<Long> = this.started): Double =
        (0..maxOf(0, scenario.seconds - 60)).maxOf { from ->
            val count = started.count { it >= from * 1_000L && it < (from + 60) * 1_000L }
            val allowed = (from until from + 60).sumOf { scenario.contractAt(it * 1_000L).requestsPerSecond }
            (count - scenario.contractAt(from * 1_000L).burst) / allowed - 1
        }
}

internal class LimitNode(
    val index: Int,
    val position: Int,
    val zone: AvailabilityZoneId,
    val startedAt: Long,
    fleet: LimitFleet,
) {
    val id = RouterId("router-$index-$startedAt")
    val owner = CustomerOwner(startedAt)
    val limiter = FleetCustomerLimiter(id, fleet.transport(this)) { fleet.now }
    val heard = LongArray(MAXIMUM_NODES) { LONG_AGO }
    var order = emptyList<LimitNode>()
    var zoneFraction = 1.0
    var alive = true
    var paused = false
    var share = 1.0
    var shareFilledAt = 0L
    val working get() = alive && !paused
}

internal class LimitFleet(private val scope: TestScope, val scenario: Scenario) {
    val now get() = scope.currentTime
    val outcome = Outcome()
    val nodes = ArrayList<LimitNode>()
    var linked: (LimitNode, LimitNode) -> Boolean = { _, _ -> true }
    var hears: (LimitNode, LimitNode) -> Boolean = { _, _ -> true }
    private val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
    private val customer = scenario.contractAt(0).customer
    private var running = 0

    init {
        repeat(scenario.routers) { nodes += LimitNode(it, it, AvailabilityZoneId("zone-${it % 3}"), LONG_AGO, this) }
        nodes.forEach { node -> (LONG_AGO..0 step 1_000).forEach { node.owner.tick(it) } }
        repeat(2) { exchange() }
    }

    fun ownerNode(rank: Int = 0) =
        nodes.filter { it.alive }.let { live ->
            val id = ownerOrder(customer, live.map { it.id })[rank]
            live.first { it.id == id }
        }

    fun join(index: Int) {
        nodes += LimitNode(index, nodes.size, AvailabilityZoneId("zone-${index % 3}"), now, this)
    }

    fun exchange() {
        val working = nodes.filter { it.working }
        val inFlight = nodes.map { if (it.working) it.limiter.inFlight() else emptyMap() }
        val byId = nodes.associateBy { it.id }
        val weights = ownerOrder(customer, byId.keys, nodes.size).map { byId.getValue(it) }
        val zones = nodes.mapTo(HashSet()) { it.zone }
        for (receiver in working) {
            receiver.heard[receiver.position] = now
            for (sender in working) {
                if (sender === receiver || !linked(sender, receiver) || !hears(sender, receiver)) continue
                if (random.nextInt(100) < LOSS_PERCENT) continue
                receiver.heard[sender.position] = now
                receiver.owner.observe(sender.id, inFlight[sender.position], now)
            }
            val seen = weights.filter { now - receiver.heard[it.position] <= OWNER_UNHEARD_MILLIS }
            receiver.order = seen.take(2)
            receiver.zoneFraction = visibleZoneFraction(zones, seen.mapTo(HashSet()) { it.zone })
            receiver.owner.tick(now)
        }
    }

    fun transport(node: LimitNode) = LeaseClient { request, rank -> send(node, node.order.getOrNull(rank), request) }

    private suspend fun send(from: LimitNode, target: LimitNode?, request: LeaseRequest): LeaseReply {
        outcome.calls++
        delay(1L + random.nextInt(3))
        if (target == null || !target.working || !linked(from, target)) awaitCancellation()
        return service(target).answer(request).also { delay(1L + random.nextInt(3)) }
    }

    private fun service(node: LimitNode) =
        LeaseService(
            node.id,
            { node.order.firstOrNull()?.id },
            { request, standsIn ->
                node.owner.grant(request, OwnerView(scenario.contractAt(now), standsIn, node.zoneFraction), now)
            },
            { _, request -> send(node, node.order.first(), request) },
        )

    suspend fun run() {
        scope.backgroundScope.launch {
            while (true) {
                delay(1_000)
                exchange()
                nodes.filter { it.working }.forEach { launch { it.limiter.report() } }
            }
        }
        scope.backgroundScope.launch {
            for ((second, event) in scenario.events.toSortedMap()) {
                delay(second * 1_000L - now)
                event()
            }
        }
        var next = 0.0
        while (next < scenario.seconds * 1_000) {
            delay((next.roundToLong() - now).coerceAtLeast(0))
            val serving = nodes.filter { it.working }
            val node = serving[scenario.routerAt(now, random.nextInt(serving.size)) % serving.size]
            scope.launch { request(node) }
            next += 1_000 / scenario.offeredAt(now)
        }
    }

    /** The baseline: each router holds an equal part of the rate for itself, and one request at least. */
    private fun fixedShare(node: LimitNode): Boolean {
        val rate = scenario.contractAt(now).requestsPerSecond / scenario.routers
        val added = rate * (now - node.shareFilledAt) / 1_000
        node.share = minOf(maxOf(1.0, rate / 2), node.share + added)
        node.shareFilledAt = now
        return (node.share >= 1).also { if (it) node.share-- }
    }

    private suspend fun request(node: LimitNode) {
        outcome.offered++
        if (fixedShare(node)) outcome.baselineStarted += now
        val permit =
            when (val result = node.limiter.acquire(scenario.contractAt(now))) {
                is Either.Left -> {
                    outcome.refused.merge((result.value as Failure.LimitExceeded).limit, 1, Int::plus)
                    return
                }
                is Either.Right -> result.value
            }
        outcome.started += now
        outcome.mostRunning = maxOf(outcome.mostRunning, ++running)
        delay(scenario.requestMillis)
        running--
        permit.release(0)
    }
}

private const val LOSS_PERCENT = 2

internal fun runScenario(scenario: Scenario): Outcome {
    lateinit var fleet: LimitFleet
    runTest {
        fleet = LimitFleet(this, scenario)
        fleet.run()
    }
    return fleet.outcome
}

internal fun contract(rate: Double, concurrent: Int = 1_000, burst: Int = 1, customer: String = "valle") =
    Contract(CustomerId(customer), listOf("a".repeat(64)), rate, concurrent, burst)
