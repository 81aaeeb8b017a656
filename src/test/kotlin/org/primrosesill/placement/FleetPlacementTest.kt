/*
 * Loads at their worst, replayed without the bench. Each test compares with baselines in the same run, or with the stated
 * bound.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.forwarding.upstream
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 5L
private const val ROUTERS = 6

/** Interval of the exchange between gateways. */
private const val EXCHANGE_MILLIS = 400L

/** Routers and engines of a large fleet, and how much more comes to it. */
private const val LARGE_FLEET = 30
private const val LARGE_FLEET_FACTOR = 4.0
private val SILENT_ENGINES = listOf("engine-3", "engine-11", "engine-20")

private const val GROWN_ROUTERS = 69
private const val GROWN_ENGINES = 98

/** The load of the larger of the users' deployments. */
private val grownKinds =
    listOf(
        ReplayKind("draft", 127.0, 275, 2_520, 6_100, 580, 270),
        ReplayKind("question", 174.0, 564, 341, 1_700, 360, 120),
        ReplayKind("chat", 143.0, 694, 103, 500, 110, 1_400),
    )

private val evacuationKinds =
    listOf(
        ReplayKind("draft", 9.7, 24, 2_520, 6_100, 580, 300),
        ReplayKind("question", 13.3, 49, 340, 1_700, 360, 150),
        ReplayKind("chat", 14.7, 81, 100, 500, 110, 1_600),
    )

class FleetPlacementTest {
    private fun replay(
        policy: Policy,
        load: List<ReplayRequest>,
        prepare: PlacementReplay.() -> Unit = {},
    ): ReplayResult = PlacementReplay(policy, ROUTERS, PlacementReplay.engines(8), SEED).apply(prepare).play(load)

    // Guards against parts that are read at every engine because requests are spread by load alone.
    @Test
    fun `heavy parts that many requests share are read at few engines`() {
        val load = replayLoad(mixedKinds, 30_000, ROUTERS, SEED)
        val product = replay(Policy.PRODUCT, load)
        val random = replay(Policy.RANDOM, load)
        val leastLoad = replay(Policy.LEAST_LOAD, load)
        println(
            "read again: product ${product.tokensReadAgain}, random ${random.tokensReadAgain}, least load ${leastLoad.tokensReadAgain}",
        )
        println("late: product ${product.late}, random ${random.late}, least load ${leastLoad.late} of ${load.size}")
        expectThat(product.tokensReadAgain).isLessThan(random.tokensReadAgain / 5)
        expectThat(product.tokensReadAgain).isLessThan(leastLoad.tokensReadAgain / 5)
        expectThat(product.late).isLessThanOrEqualTo(leastLoad.late)
    }

    // Guards against one engine that gets all requests for the part that most ask for.
    @TestFactory
    fun `a part that gets much of the traffic is served by as many engines as it takes`(): List<DynamicTest> =
        listOf(0.3, 0.6, 0.9).map { share ->
            dynamicTest("$share of the drafts") {
                val load = replayLoad(mixedKinds, 20_000, ROUTERS, SEED, hotShare = share, hotFromMillis = 5_000)
                val product = replay(Policy.PRODUCT, load)
                println("late ${product.late}, over the limit ${product.overLimit} of ${product.requests}")
                expectThat(product.overLimit * 100).isLessThanOrEqualTo(product.requests * 3)
                expectThat(product.late * 100).describedAs("late").isLessThanOrEqualTo(product.requests)
            }
        }

    // Guards against an engine that holds over twice the mean of its pool, and three, while a zone is evacuated and engines are
    // replaced, so that four of nine take all work.
    @TestFactory
    fun `a few engines that carry the work of their pool share it evenly`(): List<DynamicTest> =
        (1L..4L).map { seed ->
            dynamicTest("seed $seed") {
                val load = replayLoad(evacuationKinds, 20_000, ROUTERS, seed)
                val engines =
                    PlacementReplay.engines(9).mapIndexed { number, engine ->
                        if (number < 4) engine else engine.copy(blockedBecause = "its zone is evacuated")
                    }
                val result = PlacementReplay(Policy.PRODUCT, ROUTERS, engines, seed, EXCHANGE_MILLIS).play(load)
                println(
                    "seed $seed: over the limit ${result.overLimit} of ${result.requests}, late ${result.late}, again ${result.tokensReadAgain}, fetched ${result.tokensFetched}",
                )
                expectThat(result.overLimit * 100).isLessThanOrEqualTo(result.requests * 3)
            }
        }

    // Guards against an engine that fails part of its requests and is sent as many as before.
    @Test
    fun `an engine that fails is sent less`() {
        val load = replayLoad(mixedKinds, 30_000, ROUTERS, SEED)
        val result = replay(Policy.PRODUCT, load) { at(10_000) { engine("engine-3").failureShare = 0.45 } }
        val later = result.arrivals.mapValues { (_, instants) -> instants.count { it > 15_000 } }
        val mean = later.values.sum().toDouble() / 8
        val failing = later.entries.firstOrNull { it.key.value == "engine-3" }?.value ?: 0
        println("requests to the failing engine $failing, mean $mean")
        expectThat(failing.toDouble()).isLessThan(mean / 2)
    }

    // Guards against prompts that are read again at engine after engine, since gateways of a large fleet hear late what
    // engines have read; and against engines that get far more than the mean, since they hear late of each other's work.
    @Test
    fun `a large fleet finds what engines have read, and keeps below the load bound`() {
        val load = replayLoad(grownKinds, 20_000, GROWN_ROUTERS, SEED)
        val engines = PlacementReplay.engines(GROWN_ENGINES)
        val result = PlacementReplay(Policy.PRODUCT, GROWN_ROUTERS, engines, SEED, EXCHANGE_MILLIS).play(load)
        println(
            "read again ${result.tokensReadAgain}, fetched ${result.tokensFetched}, late ${result.late}, " +
                "over the limit ${result.overLimit} of ${result.requests}",
        )
        expectThat(result.overLimit * 100).isLessThanOrEqualTo(result.requests * 3)
    }

    // Guards against engines that take requests and never answer: seen with 9 of 98 engines before 69 gateways, each of which
    // found out by itself, as their loads fell to nothing.
    @Test
    fun `engines that fell silent are left out by all routers`() {
        val load = replayLoad(mixedKinds.map { it.times(LARGE_FLEET_FACTOR) }, 12_000, LARGE_FLEET, SEED)

        fun hung(policy: Policy) =
            PlacementReplay(policy, LARGE_FLEET, PlacementReplay.engines(LARGE_FLEET), SEED, EXCHANGE_MILLIS)
                .apply { at(5_000) { SILENT_ENGINES.forEach { engine(it).hangs = true } } }
                .play(load)
                .hung
        val product = hung(Policy.PRODUCT)
        val random = hung(Policy.RANDOM)
        println("requests at silent engines in 7 s: product $product, random $random of ${load.size}")
        expectThat(product).isLessThan(random / 2)
    }

    // Guards against the loads of a returning zone: every router sees its engines idle, and all send there at once.
    @TestFactory
    fun `cold engines get no more than they bear from all routers together`(): List<DynamicTest> =
        listOf(6, 9, 30, 84).map { routers ->
            dynamicTest("$routers routers") {
                val load = replayLoad(mixedKinds.map { it.times(4.0) }, 10_000, routers, SEED)
                // Three of nine engines have just come back.
                val engines = PlacementReplay.engines(9) { if (it % 3 == 0) 1_000_000 else 0 }
                val result = PlacementReplay(Policy.PRODUCT, routers, engines, SEED).play(load)
                val cold = engines.filter { it.coldUntilMillis > 0 }.mapNotNull { result.arrivals[it.id] }
                val worst =
                    cold.maxOfOrNull { instants ->
                        instants.maxOf { start ->
                            instants.count {
                                it in
                                    start until start + 1_000
                            }
                        }
                    }
                        ?: 0
                println("most requests to a cold engine in a second: $worst")
                expectThat(worst.toDouble()).isLessThanOrEqualTo(10.0 * 1.5 + 5)
                expectThat(result.refused.size).describedAs("refused").isEqualTo(0)
            }
        }

    private fun placementOf(
        upstreams: List<KnownUpstream>,
        fleet: FleetLoad,
        activity: UpstreamActivity,
        settled: Boolean = true,
    ) = fleetPlacement(
        PlacementInputs(
            AvailabilityZoneId("a"),
            activity,
            UpstreamLoads(activity) { 0 },
            PartIndex { 0 },
            ColdStartBudget({ ColdStartBound(1.5, 5) }, { FleetMembers(RouterId("self"), emptySet(), settled) }, { 0 }),
            SilentUpstreams("self", activity) { 0 },
            UpstreamNotices({ 2_000 }, { 0 }),
            { fleet },
            {},
            { 0 },
            Random(SEED),
        ),
    ) to DirectoryView(1, PlacementReplay.engineConfiguration(), mapOf(enginePool to upstreams))

    private val request =
        PlacementRequest(enginePool, prompt = null, 100.milliseconds, bodyBytes = 0, excluded = emptySet())

    // Guards against time lost on connections to a zone that is cut off.
    @Test
    fun `a zone that fell silent is passed over while another one answers`() {
        val upstreams = listOf(upstream("near", enginePool, "a"), upstream("far", enginePool, "b"))
        for ((silent, expected) in listOf("a" to "far", "b" to "near")) {
            val (placement, view) =
                placementOf(
                    upstreams,
                    FleetLoad(
                        silentZones = setOf(AvailabilityZoneId(silent)),
                    ),
                    UpstreamActivity {
                        0
                    },
                )
            expectThat(placement.choose(request, view))
                .isA<PlacementResult.Chosen>()
                .get {
                    this.upstream.id.value
                }.isEqualTo(expected)
        }
    }

    // Guards against upstreams that are leaving, evacuated, suspect, tried before or cold without a budget.
    @TestFactory
    fun `only upstreams that may take a request get one`(): List<DynamicTest> {
        class Case(
            val name: String,
            val upstreams: List<KnownUpstream>,
            val suspect: List<String>,
            val settled: Boolean,
            val expected: String?,
        )
        val good = upstream("good", enginePool, "b")
        return listOf(
            Case(
                "one is blocked",
                listOf(upstream("blocked", enginePool, "a", blocked = "it is draining"), good),
                emptyList(),
                true,
                "good",
            ),
            Case("one is suspect", listOf(upstream("suspect", enginePool, "a"), good), listOf("suspect"), true, "good"),
            Case("all are suspect", listOf(good), listOf("good"), true, "good"),
            Case(
                "one is cold and the fleet not known",
                listOf(upstream("cold", enginePool, "a", 100), good),
                emptyList(),
                false,
                "good",
            ),
            Case(
                "all are cold and the fleet not known",
                listOf(upstream("cold", enginePool, "a", 100)),
                emptyList(),
                false,
                null,
            ),
            Case("none", emptyList(), emptyList(), true, null),
        ).map { case ->
            dynamicTest(case.name) {
                val activity = UpstreamActivity { 0 }
                case.suspect.forEach { activity.failed(org.primrosesill.model.UpstreamId(it)) }
                val (placement, view) = placementOf(case.upstreams, FleetLoad(), activity, case.settled)
                val chosen = placement.choose(request, view) as? PlacementResult.Chosen
                expectThat(chosen?.upstream?.id?.value).isEqualTo(case.expected)
            }
        }
    }
}
