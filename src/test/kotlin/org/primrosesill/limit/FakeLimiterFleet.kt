/*
 * Limiters and owners of several routers under virtual time. Tests can interrupt the lease calls and the heartbeats.
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
private const val MAXIMUM_ROUTERS = 340

internal class Scenario(
    val name: String,
    val routers: Int,
    val contractAt: (Long) -> Contract,
    val offeredAt: (Long) -> Double,
    val routerAt: (Long, Int) -> Int = { _, random -> random },
    val requestMillis: Long = 100,
    val seconds: Int = 90,
    val events: Map<Int, FakeLimiterFleet.() -> Unit> = emptyMap(),
)

internal class Outcome {
    val started = ArrayList<Long>()
    val refused = HashMap<LimitReason, Int>()
    var offered = 0
    var calls = 0
    var maximumRunning = 0
    val fixedShareStarted = ArrayList<Long>()

    /**
     * Returns the largest excess of started requests over the contract in any minute, as a fraction of the contract.
     */
    fun maximumExcess(scenario: Scenario, started: List<Long> = this.started): Double =
        (0..maxOf(0, scenario.seconds - 60)).maxOf { from ->
            val count = started.count { it >= from * 1_000L && it < (from + 60) * 1_000L }
            val allowed = (from until from + 60).sumOf { scenario.contractAt(it * 1_000L).requestsPerSecond }
            (count - scenario.contractAt(from * 1_000L).burst) / allowed - 1
        }
}

internal class FakeRouter(
    val index: Int,
    val position: Int,
    val zone: AvailabilityZoneId,
    val startedAtMillis: Long,
    fleet: FakeLimiterFleet,
) {
    val id = RouterId("router-$index-$startedAtMillis")
    val owner = CustomerOwner(startedAtMillis)
    val limiter = FleetCustomerLimiter(id, fleet.transport(this)) { fleet.nowMillis }
    val lastHeartbeatMillis = LongArray(MAXIMUM_ROUTERS) { LONG_AGO }
    var ownerOrder = emptyList<FakeRouter>()
    var zoneFraction = 1.0
    var isAlive = true
    var isPaused = false
    var share = 1.0
    var shareFilledAtMillis = 0L
    val isWorking get() = isAlive && !isPaused
}

internal class FakeLimiterFleet(private val scope: TestScope, val scenario: Scenario) {
    val nowMillis get() = scope.currentTime
    val outcome = Outcome()
    val routers = ArrayList<FakeRouter>()

    /** Whether lease calls and heartbeats between two routers are possible. */
    var connected: (FakeRouter, FakeRouter) -> Boolean = { _, _ -> true }

    /** Whether a heartbeat of the first router reaches the second one. */
    var delivers: (FakeRouter, FakeRouter) -> Boolean = { _, _ -> true }
    private val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
    private val customer = scenario.contractAt(0).customer
    private var running = 0

    init {
        repeat(scenario.routers) { routers += FakeRouter(it, it, AvailabilityZoneId("zone-${it % 3}"), LONG_AGO, this) }
        routers.forEach { router -> (LONG_AGO..0 step 1_000).forEach { router.owner.tick(it) } }
        repeat(2) { exchangeHeartbeats() }
    }

    fun owner(rank: Int = 0) =
        routers.filter { it.isAlive }.let { live ->
            val id = ownerOrder(customer, live.map { it.id })[rank]
            live.first { it.id == id }
        }

    fun join(index: Int) {
        routers += FakeRouter(index, routers.size, AvailabilityZoneId("zone-${index % 3}"), nowMillis, this)
    }

    fun exchangeHeartbeats() {
        val working = routers.filter { it.isWorking }
        val inFlight = routers.map { if (it.isWorking) it.limiter.inFlight() else emptyMap() }
        val byId = routers.associateBy { it.id }
        val byWeight = ownerOrder(customer, byId.keys, routers.size).map { byId.getValue(it) }
        val zones = routers.mapTo(HashSet()) { it.zone }
        for (receiver in working) {
            receiver.lastHeartbeatMillis[receiver.position] = nowMillis
            for (sender in working) {
                if (sender === receiver || !connected(sender, receiver) || !delivers(sender, receiver)) continue
                if (random.nextInt(100) < HEARTBEAT_LOSS_PERCENT) continue
                receiver.lastHeartbeatMillis[sender.position] = nowMillis
                receiver.owner.observe(sender.id, inFlight[sender.position], nowMillis)
            }
            val live = byWeight.filter { nowMillis - receiver.lastHeartbeatMillis[it.position] <= OWNER_TIMEOUT_MILLIS }
            receiver.ownerOrder = live.take(2)
            receiver.zoneFraction = visibleZoneFraction(zones, live.mapTo(HashSet()) { it.zone })
            receiver.owner.tick(nowMillis)
        }
    }

    fun transport(router: FakeRouter) =
        LeaseClient { request, rank -> send(router, router.ownerOrder.getOrNull(rank), request) }

    private suspend fun send(from: FakeRouter, target: FakeRouter?, request: LeaseRequest): LeaseReply {
        outcome.calls++
        delay(1L + random.nextInt(3))
        if (target == null || !target.isWorking || !connected(from, target)) awaitCancellation()
        return service(target).handle(request).also { delay(1L + random.nextInt(3)) }
    }

    private fun service(router: FakeRouter) =
        LeaseService(
            router.id,
            { router.ownerOrder.firstOrNull()?.id },
            { request, isBackup ->
                router.owner.grant(
                    request,
                    GrantContext(scenario.contractAt(nowMillis), isBackup, router.zoneFraction),
                    nowMillis,
                )
            },
            { _, request -> send(router, router.ownerOrder.first(), request) },
        )

    suspend fun run() {
        scope.backgroundScope.launch {
            while (true) {
                delay(1_000)
                exchangeHeartbeats()
                routers.filter { it.isWorking }.forEach { launch { it.limiter.report() } }
            }
        }
        scope.backgroundScope.launch {
            for ((second, event) in scenario.events.toSortedMap()) {
                delay(second * 1_000L - nowMillis)
                event()
            }
        }
        var nextRequestMillis = 0.0
        while (nextRequestMillis < scenario.seconds * 1_000) {
            delay((nextRequestMillis.roundToLong() - nowMillis).coerceAtLeast(0))
            val serving = routers.filter { it.isWorking }
            val router = serving[scenario.routerAt(nowMillis, random.nextInt(serving.size)) % serving.size]
            scope.launch { request(router) }
            nextRequestMillis += 1_000 / scenario.offeredAt(nowMillis)
        }
    }

    /** The baseline: each router enforces an equal share of the rate on its own, and may start one request at least. */
    private fun tryFixedShare(router: FakeRouter): Boolean {
        val rate = scenario.contractAt(nowMillis).requestsPerSecond / scenario.routers
        val refilled = rate * (nowMillis - router.shareFilledAtMillis) / 1_000
        router.share = minOf(maxOf(1.0, rate / 2), router.share + refilled)
        router.shareFilledAtMillis = nowMillis
        return (router.share >= 1).also { if (it) router.share-- }
    }

    private suspend fun request(router: FakeRouter) {
        outcome.offered++
        if (tryFixedShare(router)) outcome.fixedShareStarted += nowMillis
        val permit =
            when (val result = router.limiter.acquire(scenario.contractAt(nowMillis))) {
                is Either.Left -> {
                    outcome.refused.merge((result.value as Failure.LimitExceeded).limit, 1, Int::plus)
                    return
                }
                is Either.Right -> result.value
            }
        outcome.started += nowMillis
        outcome.maximumRunning = maxOf(outcome.maximumRunning, ++running)
        delay(scenario.requestMillis)
        running--
        permit.release(0)
    }
}

private const val HEARTBEAT_LOSS_PERCENT = 2

internal fun runScenario(scenario: Scenario): Outcome {
    lateinit var fleet: FakeLimiterFleet
    runTest {
        fleet = FakeLimiterFleet(this, scenario)
        fleet.run()
    }
    return fleet.outcome
}

internal fun contract(rate: Double, concurrent: Int = 1_000, burst: Int = 1, customer: String = "valle") =
    Contract(CustomerId(customer), listOf("a".repeat(64)), rate, concurrent, burst)
