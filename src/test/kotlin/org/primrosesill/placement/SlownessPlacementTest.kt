/*
 * Placement on upstreams of which some are several times as slow as the others.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.LoadSource
import org.primrosesill.load.ReportId
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.load.upstreamSpeeds
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 3L
private const val REQUESTS = 300
private val zone = AvailabilityZoneId("a")

/** One more than a small service has, as these are selected by their response times. */
private const val PLAIN_UPSTREAMS = 9

class SlownessPlacementTest {
    private class CostCase(
        val name: String,
        val slowness: Double,
        val load: Int,
        val pendingTokens: Int = 0,
        val rate: Double = 35.0,
        val isCheaper: Boolean,
    )

    // Guards against prompts that go to a slow engine because its cache makes it look cheap, and against a prefill rate without
    // effect: an idle engine that has cached a prompt of 9,200 tokens is compared with one that has to fetch these tokens.
    @TestFactory
    fun `the cost of an engine grows with its slowness`(): List<DynamicTest> =
        listOf(
            CostCase("an engine at the usual speed", slowness = 1.0, load = 0, isCheaper = true),
            CostCase("a slow engine", slowness = 7.0, load = 0, isCheaper = false),
            CostCase("a loaded engine", slowness = 1.0, load = 200, isCheaper = true),
            CostCase("a loaded engine that is slow", slowness = 2.5, load = 200, isCheaper = false),
            CostCase("20,000 tokens to prefill, 35 tokens/ms", 1.0, 0, pendingTokens = 20_000, isCheaper = false),
            CostCase(
                "20,000 tokens to prefill, 92 tokens/ms",
                1.0,
                0,
                pendingTokens = 20_000,
                rate = 92.0,
                isCheaper = true,
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val inputs = PromptCostInputs(9_200, 8_620, 606.milliseconds, 1_000, zone, case.rate)
                val caching = candidate("caching", 8_620, case.load, case.slowness, case.pendingTokens)
                val other = candidate("other", 0, 0, 1.0, pendingTokens = 0)
                expectThat(engineCost(inputs, caching) < engineCost(inputs, other)).isEqualTo(case.isCheaper)
            }
        }

    private fun candidate(id: String, cachedTokens: Int, load: Int, slowness: Double, pendingTokens: Int) =
        EngineCandidate(
            testUpstream(id, enginePool),
            LoadEstimate(load, LoadSource.REPORT, 0),
            load.toDouble(),
            rank = 0,
            cachedTokens,
            pendingTokens,
            failureRate = 0.0,
            slowness,
        )

    private val oneSlow = List(PLAIN_UPSTREAMS) { if (it == 0) 7.0 else 1.0 }

    private class PlainCase(
        val name: String,
        val slowness: List<Double>,
        val enabled: Boolean = true,
        val avoids: Boolean,
    )

    // Guards against requests to a slow plain upstream while others are idle, and against choices that change although the
    // setting is off or all upstreams are equally slow.
    @TestFactory
    fun `plain requests avoid a slow upstream only`(): List<DynamicTest> =
        listOf(
            PlainCase("one is slow", oneSlow, avoids = true),
            PlainCase("all are equally slow", List(PLAIN_UPSTREAMS) { 7.0 }, avoids = false),
            PlainCase("one is slow, setting off", oneSlow, enabled = false, avoids = false),
        ).map { case ->
            dynamicTest("${case.name}, seed $SEED") {
                val choices = choices(case.slowness, case.enabled)
                expectThat(choices.none { it == "upstream-0" }).isEqualTo(case.avoids)
                if (!case.avoids) expectThat(choices).isEqualTo(choices(emptyList(), enabled = false))
            }
        }

    private fun choices(slowness: List<Double>, enabled: Boolean): List<String> {
        val upstreams = List(PLAIN_UPSTREAMS) { testUpstream("upstream-$it", enginePool) }
        val speeds = upstreamSpeeds({ enabled }, { 0 })
        slowness.forEachIndexed { index, value -> speeds.recordReported(upstreams[index].id, value, ReportId(1)) }
        val activity = UpstreamActivity { 0 }
        val placement =
            fleetPlacement(
                PlacementDependencies(
                    zone,
                    activity,
                    UpstreamLoads(activity) { 0 },
                    PromptCacheIndex { 0 },
                    ColdStartBudget(
                        { ColdStartBound(1.5, 5) },
                        { FleetMembers(RouterId("self"), emptySet(), true) },
                        { 0 },
                    ),
                    SilentUpstreams("self", activity) { 0 },
                    UpstreamNotices({ 2_000 }, { 0 }),
                    { FleetReachability() },
                    {},
                    { 0 },
                    Random(SEED),
                    speeds,
                    isLoadAware = { enabled },
                ),
            )
        val view =
            DirectoryView(
                PlatformRevision(1),
                PlacementReplay.engineConfiguration(),
                mapOf(enginePool to upstreams),
            )
        val request = PlacementRequest(enginePool, null, 195.milliseconds, bodyBytes = 0, excluded = emptySet())
        return List(REQUESTS) { (placement.choose(request, view) as PlacementResult.Chosen).upstream.id.value }
    }
}
