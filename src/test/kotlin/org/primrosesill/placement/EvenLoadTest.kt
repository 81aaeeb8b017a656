/*
 * Even load of the engines of a large pool that dozens of routers select by the same late reports.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.gateway.decodeDispatches
import org.primrosesill.gateway.encodeDispatches
import org.primrosesill.load.DispatchCorrection
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.LoadSource
import org.primrosesill.load.ReportedLoad
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Until then the requests in flight are fewer than in the long run. */
private const val WARM_UP_MILLIS = 8_000L
private const val LOAD_MILLIS = 25_000L
private const val PROMPTS = 1_000

private class LoadCase(val routers: Int, val engines: Int, val popularity: Double, val kinds: List<ReplayKind>)

/** The rates of two deployments, with streams so long that a sixth of the slots is in use. */
private val smallerKinds =
    listOf(
        ReplayKind("long", 146.0, 120, 2_520, 6_100, 580, 1_500),
        ReplayKind("middle", 171.0, 240, 341, 1_700, 360, 1_500),
        ReplayKind("short", 97.0, 300, 103, 500, 110, 2_500),
    )
private val largerKinds =
    listOf(
        ReplayKind("long", 113.0, 275, 2_520, 6_100, 580, 4_000),
        ReplayKind("middle", 149.0, 564, 341, 1_700, 360, 4_000),
        ReplayKind("short", 113.0, 694, 103, 500, 110, 7_000),
    )
private val loadCases =
    listOf(1.0, 3.0).flatMap { popularity ->
        listOf(LoadCase(28, 42, popularity, smallerKinds), LoadCase(64, 98, popularity, largerKinds))
    }

class EvenLoadTest {
    private class Figures(val ratio: Double, val cachedFraction: Double)

    private fun play(case: LoadCase, seed: Long, isLoadAware: Boolean): Figures {
        val load =
            replayLoad(
                case.kinds,
                LOAD_MILLIS,
                case.routers,
                seed,
                popularity = case.popularity,
                groupSize = 3,
                variableResponses = true,
            )
        val engines = PlacementReplay.engines(case.engines)
        val replay = PlacementReplay(Policy.PRODUCT, case.routers, engines, seed, 400, isLoadAware = isLoadAware)
        val result = replay.play(load)
        val ratio =
            result.loadRatios
                .filter { it.first >= WARM_UP_MILLIS }
                .map { it.second }
                .average()
        val shared = load.sumOf { request -> request.prompt.sharedTokens.toLong() }
        val cached = 1 - (result.tokensPrefilledAgain + result.tokensFetched).toDouble() / shared
        val over = result.overLoadBound.toDouble() / result.requests
        println(
            "${case.routers} routers, popularity ${case.popularity}, seed $seed, load-aware $isLoadAware: " +
                "busiest to mean $ratio, over the load bound $over, late ${result.late} of ${result.requests}, " +
                "cached $cached, again ${result.tokensPrefilledAgain}, fetched ${result.tokensFetched}",
        )
        return Figures(ratio, cached)
    }

    // Guards against routers that overload some engines, as they learn late what the others have sent there, and against an
    // even load at the cost of prompts that leave their caches.
    @TestFactory
    fun `the busiest engine is closer to the mean and prompts stay with their caches`(): List<DynamicTest> =
        loadCases.map { case ->
            dynamicTest("${case.routers} routers, popularity ${case.popularity}") {
                val before = play(case, seed = 1, isLoadAware = false)
                val after = play(case, seed = 1, isLoadAware = true)
                // A tenth of the excess at least is removed; without the mechanism it stays as it was.
                expectThat(after.ratio - 1).isLessThan((before.ratio - 1) * 0.9)
                expectThat(after.cachedFraction).isGreaterThan(before.cachedFraction * 0.95)
            }
        }

    private fun choice(number: Int, slownessOfFirst: Double, load: Int): EngineChoice {
        val shared = listOf(PromptPart(PromptPartId("shared"), 400))
        val prompt = Prompt(shared + PromptPart(PromptPartId("own-$number"), 100), 500, 10)
        val ids = List(20) { UpstreamId("engine-$it") }
        val first = ids.maxBy { rendezvousRank(shared, it) }
        val engines =
            ids.map { id ->
                EngineCandidate(
                    testUpstream(id.value, enginePool, "a").let { known ->
                        known.copy(registration = known.registration.copy(slots = 48))
                    },
                    LoadEstimate(load, LoadSource.REPORT, 0),
                    if (id == first) load * 1.2 else load.toDouble(),
                    rendezvousRank(shared, id),
                    cachedTokens = 400,
                    pendingPrefillTokens = 0,
                    failureRate = 0.0,
                    slowness = if (id == first) slownessOfFirst else 1.0,
                )
            }
        val inputs = PromptCostInputs(500, 400, 500.milliseconds, 1_000, AvailabilityZoneId("b"))
        return EngineChoice(prompt, inputs, engines, load.toDouble(), isUncached = false, replicas = 1)
    }

    private class ShareCase(val name: String, val slowness: Double, val load: Int, val accepted: IntRange)

    // Guards against a slow engine that keeps all its prompts, and against a pool with spare capacity that gives up caches.
    @TestFactory
    fun `the first engine accepts its share`(): List<DynamicTest> =
        listOf(
            ShareCase("not busy", 1.0, 2, PROMPTS..PROMPTS),
            ShareCase("not busy, slightly slow", 1.2, 2, PROMPTS..PROMPTS),
            ShareCase("not busy, twice as slow", 2.0, 2, 450..600),
            ShareCase("busy, a fifth over the mean", 1.0, 20, 250..420),
            ShareCase("busy and twice as slow", 2.0, 20, 100..230),
        ).map { case ->
            dynamicTest(case.name) {
                val accepted =
                    (0 until PROMPTS).count { number ->
                        val choice = choice(number, case.slowness, case.load)
                        evenLoadSelection.select(choice).rank == choice.engines.maxOf { it.rank }
                    }
                expectThat(accepted).isIn(case.accepted)
            }
        }

    // Guards against a mean that a router which has just started, or is cut off, distorts by what it no longer hears; and
    // against an effect while the setting is off.
    @TestFactory
    fun `only recent dispatches of others move the estimate`(): List<DynamicTest> =
        listOf(
            Triple("just received", 0L, true) to true,
            Triple("lost since a second", 1_000L, true) to false,
            Triple("not load-aware", 0L, false) to false,
        ).map { (case, moves) ->
            val (name, ageMillis, isActive) = case
            dynamicTest(name) {
                var now = 0L
                val ids = listOf(UpstreamId("sought"), UpstreamId("other"))
                val correction = DispatchCorrection({ isActive }, { now })
                val loads = UpstreamLoads(UpstreamActivity { now }, correction) { now }
                correction.receive(RouterId("peer"), mapOf(ids[0] to 8))
                now = ageMillis
                ids.forEach { loads.recordReported(it, ReportedLoad(10, 0, 48)) }
                now += 500
                val pool = loads.estimates(ids)
                expectThat(pool.averageOf(ids[0]) > pool.averageOf(ids[1])).isEqualTo(moves)
            }
        }

    // Guards against dispatches that are read as others, or that a malformed message adds.
    @Test
    fun `dispatches are decoded as they were encoded and malformed ones are ignored`() {
        val ids = listOf(UpstreamId("one"), UpstreamId("two"))
        val text = encodeDispatches(mapOf(ids[0] to 3, ids[1] to 90, UpstreamId("gone") to 1))
        val codes = ids.associateBy { encodeDispatches(mapOf(it to 1)).dropLast(1) }
        val known = mapOf(ids[0] to 3, ids[1] to 63)
        expectThat(text.length).isLessThanOrEqualTo(15)
        expectThat(decodeDispatches(text, codes)).isEqualTo(known)
        expectThat(decodeDispatches(codes.keys.first() + "?" + "AAAA" + "B" + "x", codes)).isEqualTo(emptyMap())
        expectThat(encodeDispatches(emptyMap())).isEqualTo("")
    }
}
