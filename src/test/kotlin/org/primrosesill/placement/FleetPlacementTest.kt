/*
 * Placement under worst-case loads, which are replayed in virtual time within one process. Each test compares with
 * baselines of the same run or with a fixed bound.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.load.ReportedLoad
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 5L
private const val ROUTERS = 6

/** Interval of the exchange between routers. */
private const val EXCHANGE_MILLIS = 400L

/** Number of routers and also of engines in a large fleet, and the factor on its request rate. */
private const val LARGE_FLEET = 30
private const val LARGE_FLEET_FACTOR = 4.0
private val SILENT_ENGINES = listOf("engine-3", "engine-11", "engine-20")

private const val LARGEST_FLEET_ROUTERS = 69
private const val LARGEST_FLEET_ENGINES = 98

/** When a subject becomes popular, and the time within which its requests are spread. */
private const val HOT_START_MILLIS = 10_000L
private const val SPREAD_MILLIS = 2_000L

private const val PLAIN_REQUESTS = 600
private const val REPLACEMENT_START_MILLIS = 10_000L

/** All subjects are equally popular, or a tenth of them get nearly half of the requests. */
private val popularitiesAndSeeds = listOf(1.0, 3.0).flatMap { popularity -> (1L..4L).map { popularity to it } }
private const val COLD_MILLIS = 3_000L

/** Engines are added one after the other; the first requests to them are counted once all have been added. */
private const val JOINED_ENGINES = LARGEST_FLEET_ENGINES / 4
private const val SCALE_OUT_START_MILLIS = 10_000L
private const val SCALE_OUT_INTERVAL_MILLIS = 200L
private const val FIRST_REQUESTS_MILLIS = 5_000L

/** Callers of the users' deployments send requests in groups, and few subjects are much more popular than others. */
private const val GROUP_SIZE = 3
private const val DAY_POPULARITY = 1.4

private val scaleOutCases =
    listOf(DAY_POPULARITY, 3.0).flatMap { popularity -> (1L..4L).map { ScaleOutCase(popularity, it) } }
private const val LOAD_BOUND_WINDOW_MILLIS = 5_000L

/** The load of the larger of the users' deployments. */
private val largestFleetKinds =
    listOf(
        ReplayKind("draft", 127.0, 275, 2_520, 6_100, 580, 270),
        ReplayKind("question", 174.0, 564, 341, 1_700, 360, 120),
        ReplayKind("chat", 143.0, 694, 103, 500, 110, 1_400),
    )

/** The same load with responses so long that each engine has three requests in flight on average. */
private val scaleOutKinds =
    listOf(
        ReplayKind("draft", 127.0, 275, 2_520, 6_100, 580, 500),
        ReplayKind("question", 174.0, 564, 341, 1_700, 360, 300),
        ReplayKind("chat", 143.0, 694, 103, 500, 110, 1_500),
    )

private val evacuationKinds =
    listOf(
        ReplayKind("draft", 9.7, 24, 2_520, 6_100, 580, 300),
        ReplayKind("question", 13.3, 49, 340, 1_700, 360, 150),
        ReplayKind("chat", 14.7, 81, 100, 500, 110, 1_600),
    )

private class ScaleOutCase(val popularity: Double, val seed: Long)

class FleetPlacementTest {
    private fun replay(
        policy: Policy,
        load: List<ReplayRequest>,
        prepare: PlacementReplay.() -> Unit = {},
    ): ReplayResult = PlacementReplay(policy, ROUTERS, PlacementReplay.engines(8), SEED).apply(prepare).play(load)

    // Guards against prefilling the same parts on every engine because requests are distributed by load alone.
    @Test
    fun `long parts that many requests share are prefilled on few engines`() {
        val load = replayLoad(mixedKinds, 30_000, ROUTERS, SEED)
        val product = replay(Policy.PRODUCT, load)
        val random = replay(Policy.RANDOM, load)
        val leastLoad = replay(Policy.LEAST_LOAD, load)
        println(
            "prefilled again: product ${product.tokensPrefilledAgain}, random ${random.tokensPrefilledAgain}, least load ${leastLoad.tokensPrefilledAgain}",
        )
        println("late: product ${product.late}, random ${random.late}, least load ${leastLoad.late} of ${load.size}")
        expectThat(product.tokensPrefilledAgain).isLessThan(random.tokensPrefilledAgain / 5)
        expectThat(product.tokensPrefilledAgain).isLessThan(leastLoad.tokensPrefilledAgain / 5)
        expectThat(product.late).isLessThanOrEqualTo(leastLoad.late)
    }

    // Guards against a single engine that gets all requests for the most popular part.
    @TestFactory
    fun `requests that share one part are spread over as many engines as their load requires`(): List<DynamicTest> =
        listOf(0.3, 0.6, 0.9).map { share ->
            dynamicTest("$share of the drafts have one subject") {
                val load = replayLoad(mixedKinds, 20_000, ROUTERS, SEED, hotShare = share, hotFromMillis = 5_000)
                val product = replay(Policy.PRODUCT, load)
                println("late ${product.late}, over the load bound ${product.overLoadBound} of ${product.requests}")
                expectThat(product.overLoadBound * 100).isLessThanOrEqualTo(product.requests * 3)
                expectThat(product.late * 100).describedAs("late").isLessThanOrEqualTo(product.requests)
            }
        }

    // Guards against engines over the load bound in a large fleet because routers learn too late that a part has become popular.
    @TestFactory
    fun `a large fleet spreads requests that share one part within seconds`(): List<DynamicTest> =
        listOf(0.3, 0.6).map { share ->
            dynamicTest("$share of the drafts have one subject") {
                val load =
                    replayLoad(
                        scaleOutKinds,
                        18_000,
                        LARGEST_FLEET_ROUTERS,
                        SEED,
                        hotShare = share,
                        hotFromMillis = HOT_START_MILLIS,
                        popularity = DAY_POPULARITY,
                        groupSize = GROUP_SIZE,
                        variableResponses = true,
                    )
                val engines = PlacementReplay.engines(LARGEST_FLEET_ENGINES)
                val replay = PlacementReplay(Policy.PRODUCT, LARGEST_FLEET_ROUTERS, engines, SEED, EXCHANGE_MILLIS)
                val result = replay.play(load)
                val from = HOT_START_MILLIS + SPREAD_MILLIS
                val worst = result.worstOverLoadBound(LOAD_BOUND_WINDOW_MILLIS, from)
                println(
                    "share $share: over the load bound ${result.overLoadBound} of ${result.requests}, " +
                        "worst window after ${SPREAD_MILLIS} ms $worst, late ${result.late}, " +
                        "prefilled again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}",
                )
                expectThat(worst).describedAs("over the load bound").isLessThanOrEqualTo(0.03)
                expectThat(result.late).describedAs("late").isEqualTo(0)
            }
        }

    // Guards against an engine with more requests in flight than twice the mean of its pool plus three, while a zone is
    // evacuated and engines are replaced, so that four of nine engines get all requests.
    @TestFactory
    fun `a few engines that serve all requests of their pool share them evenly`(): List<DynamicTest> =
        (1L..4L).map { seed ->
            dynamicTest("seed $seed") {
                val load = replayLoad(evacuationKinds, 20_000, ROUTERS, seed)
                val engines =
                    PlacementReplay.engines(9).mapIndexed { number, engine ->
                        if (number < 4) engine else engine.copy(ineligibleReason = "its zone is evacuated")
                    }
                val result = PlacementReplay(Policy.PRODUCT, ROUTERS, engines, seed, EXCHANGE_MILLIS).play(load)
                println(
                    "seed $seed: over the load bound ${result.overLoadBound} of ${result.requests}, late ${result.late}, prefilled again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}",
                )
                expectThat(result.overLoadBound * 100).isLessThanOrEqualTo(result.requests * 3)
            }
        }

    // Guards against an engine that fails some of its requests and still gets as many as before.
    @Test
    fun `an engine that fails requests gets fewer of them`() {
        val load = replayLoad(mixedKinds, 30_000, ROUTERS, SEED)
        val result = replay(Policy.PRODUCT, load) { at(10_000) { engine("engine-3").failureRate = 0.45 } }
        val later = result.arrivals.mapValues { (_, instants) -> instants.count { it > 15_000 } }
        val mean = later.values.sum().toDouble() / 8
        val failing = later.entries.firstOrNull { it.key.value == "engine-3" }?.value ?: 0
        println("requests to the failing engine $failing, mean $mean")
        expectThat(failing.toDouble()).isLessThan(mean / 2)
    }

    // Guards against prompts that are prefilled again on engine after engine, since routers of a large fleet receive late
    // updates of what engines have cached; and against engines that get far more requests than the mean, since routers
    // receive late updates of each other's requests.
    @Test
    fun `a large fleet keeps engines below the load bound`() {
        val load = replayLoad(largestFleetKinds, 20_000, LARGEST_FLEET_ROUTERS, SEED)
        val engines = PlacementReplay.engines(LARGEST_FLEET_ENGINES)
        val result = PlacementReplay(Policy.PRODUCT, LARGEST_FLEET_ROUTERS, engines, SEED, EXCHANGE_MILLIS).play(load)
        println(
            "prefilled again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}, late ${result.late}, " +
                "over the load bound ${result.overLoadBound} of ${result.requests}",
        )
        expectThat(result.overLoadBound * 100).isLessThanOrEqualTo(result.requests * 3)
    }

    // Guards against engines that get over twice the mean load while engines of a large fleet leave and start: the reports
    // from which the routers know their load are seconds old, and new engines lower the mean.
    @TestFactory
    fun `a large fleet keeps engines below the load bound while engines are replaced`(): List<DynamicTest> =
        popularitiesAndSeeds.map { (popularity, seed) ->
            dynamicTest("popularity $popularity, seed $seed") {
                val load = replayLoad(largestFleetKinds, 25_000, LARGEST_FLEET_ROUTERS, seed, popularity = popularity)
                val engines = PlacementReplay.engines(LARGEST_FLEET_ENGINES)
                val replay =
                    PlacementReplay(Policy.PRODUCT, LARGEST_FLEET_ROUTERS, engines, seed, EXCHANGE_MILLIS).apply {
                        replaceEngines(LARGEST_FLEET_ENGINES)
                    }
                val result = replay.play(load)
                val worst = result.worstOverLoadBound(LOAD_BOUND_WINDOW_MILLIS, fromMillis = REPLACEMENT_START_MILLIS)
                println(
                    "popularity $popularity, seed $seed: " +
                        "over the load bound ${result.overLoadBound} of ${result.requests}, " +
                        "worst window $worst, prefilled again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}",
                )
                expectThat(worst).isLessThanOrEqualTo(0.03)
            }
        }

    /** Adds 19 engines within five seconds, and then replaces one engine each 600 ms, the new one first. */
    private fun PlacementReplay.replaceEngines(firstNumber: Int) {
        repeat(19) { at(REPLACEMENT_START_MILLIS + it * 260L) { startEngine(firstNumber + it, COLD_MILLIS) } }
        repeat(20) {
            val startMillis = REPLACEMENT_START_MILLIS + it * 600L
            at(startMillis) { startEngine(firstNumber + 19 + it, COLD_MILLIS) }
            at(startMillis + 300) { drainEngines(1) }
        }
    }

    /** Plays a load while a quarter of the pool is added, warm and empty; other engines have cached all parts. */
    private fun playScaleOut(case: ScaleOutCase): ReplayResult {
        val load =
            replayLoad(
                scaleOutKinds,
                25_000,
                LARGEST_FLEET_ROUTERS,
                case.seed,
                popularity = case.popularity,
                groupSize = GROUP_SIZE,
                variableResponses = true,
            )
        val engines = PlacementReplay.engines(LARGEST_FLEET_ENGINES)
        val replay = PlacementReplay(Policy.PRODUCT, LARGEST_FLEET_ROUTERS, engines, case.seed, EXCHANGE_MILLIS)
        repeat(JOINED_ENGINES) { number ->
            replay.at(SCALE_OUT_START_MILLIS + number * SCALE_OUT_INTERVAL_MILLIS) {
                replay.startEngine(LARGEST_FLEET_ENGINES + number, coldMillis = 0)
            }
        }
        return replay.play(load)
    }

    // Guards against engines that join a large pool and get no requests, because other engines have cached all parts, and
    // against engines with over twice the mean load of all engines at the same time: a bound on late reports alone sends the
    // requests of all routers to the engines whose last report is low.
    @TestFactory
    fun `engines that join a large pool take their share of its load within seconds`(): List<DynamicTest> =
        scaleOutCases.map { case ->
            dynamicTest("popularity ${case.popularity}, seed ${case.seed}") {
                val result = playScaleOut(case)
                val start = SCALE_OUT_START_MILLIS + JOINED_ENGINES * SCALE_OUT_INTERVAL_MILLIS
                val window = start until start + FIRST_REQUESTS_MILLIS
                val counts = result.arrivals.mapValues { (_, instants) -> instants.count { it in window } }
                val joined =
                    List(JOINED_ENGINES) { counts[UpstreamId("engine-${LARGEST_FLEET_ENGINES + it}")] ?: 0 }
                val mean = counts.values.sum().toDouble() / (LARGEST_FLEET_ENGINES + JOINED_ENGINES)
                val worst = result.worstOverLoadBound(LOAD_BOUND_WINDOW_MILLIS, fromMillis = SCALE_OUT_START_MILLIS)
                println(
                    "popularity ${case.popularity}, seed ${case.seed}: joined engines ${joined.sorted()}, " +
                        "mean of all $mean; over the load bound ${result.overLoadBound} of ${result.requests}, " +
                        "worst window $worst, late ${result.late}, " +
                        "prefilled again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}",
                )
                expectThat(worst).describedAs("over the load bound").isLessThanOrEqualTo(0.03)
                expectThat(joined.count { it == 0 }).describedAs("engines without a request").isEqualTo(0)
                expectThat(joined.average()).isGreaterThanOrEqualTo(mean / 2)
            }
        }

    // Guards against engines that accept requests and never respond. Occurred with 9 of 98 engines behind 69 routers: the
    // loads of these engines dropped to nothing, and each router had to detect the silence by itself.
    @Test
    fun `silent engines are excluded by all routers`() {
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

    // Guards against an overload when a zone returns to service: every router sees its engines as idle, and all send there at
    // once.
    @TestFactory
    fun `cold engines get no more requests from all routers together than they can serve`(): List<DynamicTest> =
        listOf(6, 9, 30, 84).map { routers ->
            dynamicTest("$routers routers") {
                val load = replayLoad(mixedKinds.map { it.times(4.0) }, 10_000, routers, SEED)
                // Three of nine engines have just returned to service.
                val engines = PlacementReplay.engines(9) { if (it % 3 == 0) 1_000_000 else 0 }
                val result = PlacementReplay(Policy.PRODUCT, routers, engines, SEED).play(load)
                val cold = engines.filter { it.coldUntilMillis > 0 }.mapNotNull { result.arrivals[it.id] }
                val mostInSecond =
                    cold.maxOfOrNull { instants ->
                        instants.maxOf { start ->
                            instants.count {
                                it in
                                    start until start + 1_000
                            }
                        }
                    }
                        ?: 0
                println("most requests to a cold engine in a second: $mostInSecond")
                expectThat(mostInSecond.toDouble()).isLessThanOrEqualTo(10.0 * 1.5 + 5)
                expectThat(result.rejected.size).describedAs("rejected").isEqualTo(0)
            }
        }

    private fun placementOf(
        upstreams: List<KnownUpstream>,
        fleet: FleetReachability,
        activity: UpstreamActivity,
        settled: Boolean = true,
        loads: UpstreamLoads = UpstreamLoads(activity) { 0 },
    ) = fleetPlacement(
        PlacementDependencies(
            AvailabilityZoneId("a"),
            activity,
            loads,
            PromptCacheIndex { 0 },
            ColdStartBudget({ ColdStartBound(1.5, 5) }, { FleetMembers(RouterId("self"), emptySet(), settled) }, { 0 }),
            SilentUpstreams("self", activity) { 0 },
            UpstreamNotices({ 2_000 }, { 0 }),
            { fleet },
            {},
            { 0 },
            Random(SEED),
        ),
    ) to DirectoryView(PlatformRevision(1), PlacementReplay.engineConfiguration(), mapOf(enginePool to upstreams))

    // Guards against a plain service of a large fleet whose routers all send to the upstream with the lowest last report, or to the
    // one without a report.
    @TestFactory
    fun `a low or missing report attracts only some of the requests to a plain service`(): List<DynamicTest> =
        listOf("no report" to null, "a low report" to 0, "full slots" to 1_000).map { (name, load) ->
            dynamicTest(name) {
                val upstreams = List(6) { testUpstream("upstream-$it", enginePool, "a") }
                val activity = UpstreamActivity { 0 }
                val loads = UpstreamLoads(activity) { 0 }
                upstreams.drop(1).forEach { loads.recordReported(it.id, ReportedLoad(3, 0, 6)) }
                load?.let { loads.recordReported(upstreams.first().id, ReportedLoad(it, 0, 6)) }
                val (placement, view) = placementOf(upstreams, FleetReachability(), activity, loads = loads)
                val chosen = List(PLAIN_REQUESTS) { placement.choose(request, view) as PlacementResult.Chosen }
                val toFirst = chosen.count { it.upstream.id == upstreams.first().id }
                val expected = if (load == 1_000) 0..0 else PLAIN_REQUESTS / 4..PLAIN_REQUESTS / 2
                expectThat(toFirst).isIn(expected)
            }
        }

    private val request =
        PlacementRequest(enginePool, prompt = null, 100.milliseconds, bodyBytes = 0, excluded = emptySet())

    // Guards against waiting for connections to a zone that is partitioned.
    @Test
    fun `a silent zone gets no requests while another zone is available`() {
        val upstreams = listOf(testUpstream("near", enginePool, "a"), testUpstream("far", enginePool, "b"))
        for ((silent, expected) in listOf("a" to "far", "b" to "near")) {
            val (placement, view) =
                placementOf(
                    upstreams,
                    FleetReachability(
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

    // Guards against requests to upstreams that are leaving, evacuated, suspect, already tried or cold without a budget.
    @TestFactory
    fun `only eligible upstreams get a request`(): List<DynamicTest> {
        class Case(
            val name: String,
            val upstreams: List<KnownUpstream>,
            val suspect: List<String>,
            val settled: Boolean,
            val expected: String?,
        )
        val good = testUpstream("good", enginePool, "b")
        return listOf(
            Case(
                "one is ineligible",
                listOf(testUpstream("ineligible", enginePool, "a", ineligibleReason = "it is draining"), good),
                emptyList(),
                true,
                "good",
            ),
            Case(
                "one is suspect",
                listOf(testUpstream("suspect", enginePool, "a"), good),
                listOf("suspect"),
                true,
                "good",
            ),
            Case("all are suspect", listOf(good), listOf("good"), true, "good"),
            Case(
                "one is cold and membership is not settled",
                listOf(testUpstream("cold", enginePool, "a", 100), good),
                emptyList(),
                false,
                "good",
            ),
            Case(
                "all are cold and membership is not settled",
                listOf(testUpstream("cold", enginePool, "a", 100)),
                emptyList(),
                false,
                null,
            ),
            Case("no upstream", emptyList(), emptyList(), true, null),
        ).map { case ->
            dynamicTest(case.name) {
                val activity = UpstreamActivity { 0 }
                case.suspect.forEach { activity.recordConnectionFailure(UpstreamId(it)) }
                val (placement, view) = placementOf(case.upstreams, FleetReachability(), activity, case.settled)
                val chosen = placement.choose(request, view) as? PlacementResult.Chosen
                expectThat(chosen?.upstream?.id?.value).isEqualTo(case.expected)
            }
        }
    }
}
