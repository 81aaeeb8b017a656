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

    // Guards against the loads of a returning zone: every router sees its engines idle, and all send there at once.
    @TestFactory
    fun `cold engines get no more than they bear from all routers together`(): List<DynamicTest> =
        listOf(6, 9, 30, 84).map { routers ->
            dynamicTest("$routers routers") {
                val kinds =
                    mixedKinds.map {
                        ReplayKind(
                            it.name,
                            it.perSecond * 4,
                            it.subjects,
                            it.leadingTokens,
                            it.subjectTokens,
                            it.ownTokens,
                            it.answerMillis,
                        )
                    }
                val load = replayLoad(kinds, 10_000, routers, SEED)
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
            { fleet },
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
