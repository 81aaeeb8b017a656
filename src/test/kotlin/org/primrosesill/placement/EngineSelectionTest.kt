/*
 * The engine that is selected for a prompt among those of a large pool, whose loads are known late.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.LoadSource
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import kotlin.time.Duration.Companion.milliseconds

private const val PROMPTS = 1_000
private const val MEAN_LOAD = 4.0
private const val SHARED_TOKENS = 400

class EngineSelectionTest {
    private val ids = List(6) { "engine-$it" }

    private fun prompt(number: Int) =
        Prompt(
            listOf(
                PromptPart(PromptPartId("shared"), SHARED_TOKENS),
                PromptPart(PromptPartId("own-$number"), 100),
            ),
            promptTokens = SHARED_TOKENS + 100,
            maximumOutputTokens = 10,
        )

    /** An engine of the pool; [cached] tells whether it has cached the shared part. */
    private fun engine(
        id: String,
        averageLoad: Double = MEAN_LOAD,
        cached: Boolean = true,
        zone: String = "a",
        failureRate: Double = 0.0,
    ) = EngineCandidate(
        testUpstream(id, enginePool, zone),
        LoadEstimate(averageLoad.toInt(), LoadSource.REPORT, 0),
        averageLoad,
        rendezvousRank(prompt(0).sharedParts, UpstreamId(id)),
        if (cached) SHARED_TOKENS else 0,
        pendingPrefillTokens = 0,
        failureRate = failureRate,
    )

    private fun select(
        engines: List<EngineCandidate>,
        number: Int = 0,
        zone: String = "a",
        isUncached: Boolean = false,
        replicas: Int = 1,
    ): String {
        val prompt = prompt(number)
        val bytes = 1_000
        val inputs =
            PromptCostInputs(prompt.promptTokens, SHARED_TOKENS, 500.milliseconds, bytes, AvailabilityZoneId(zone))
        val choice = EngineChoice(prompt, inputs, engines, MEAN_LOAD, isUncached, replicas)
        return loadShareSelection
            .select(choice)
            .upstream.id.value
    }

    private val inOrder = ids.sortedByDescending { rendezvousRank(prompt(0).sharedParts, UpstreamId(it)) }

    // Guards against an engine that has joined and gets nothing, because other engines have cached the shared part.
    @Test
    fun `the first engine of the order is selected although it has nothing cached`() {
        val engines = ids.map { engine(it, cached = it != inOrder.first()) }
        expectThat(select(engines)).isEqualTo(inOrder.first())
    }

    // Guards against routers that all send to the engine with the lowest reported load.
    @Test
    fun `a low load attracts nothing`() {
        val engines = ids.map { engine(it, averageLoad = if (it == inOrder.first()) MEAN_LOAD else 0.0) }
        expectThat(select(engines)).isEqualTo(inOrder.first())
    }

    private class ShareCase(val averageLoad: Double, val accepted: IntRange)

    // Guards against an engine with more than the mean load that keeps all its prompts, and against one that loses all of them
    // at once to the next engine.
    @TestFactory
    fun `an engine above the mean load passes on a fraction of its prompts`(): List<DynamicTest> =
        listOf(
            ShareCase(MEAN_LOAD + 0.5, PROMPTS..PROMPTS),
            ShareCase(MEAN_LOAD * 1.25 + 1, 430..570),
            ShareCase(MEAN_LOAD * 1.5 + 1.5, 0..0),
        ).map { case ->
            dynamicTest("average load ${case.averageLoad}") {
                val engines = ids.map { engine(it, if (it == inOrder[0]) case.averageLoad else MEAN_LOAD) }
                val selected = (0 until PROMPTS).groupingBy { select(engines, it) }.eachCount()
                expectThat(selected[inOrder[0]] ?: 0).isIn(case.accepted)
                expectThat((selected[inOrder[0]] ?: 0) + (selected[inOrder[1]] ?: 0)).isEqualTo(PROMPTS)
            }
        }

    // Guards against prompts with a popular part that go to one engine until reports show that it is overloaded.
    @Test
    fun `the prompts with a popular part are shared evenly by its replicas`() {
        val engines = ids.map { engine(it) }
        val selected = (0 until PROMPTS).groupingBy { select(engines, it, replicas = 4) }.eachCount()
        expectThat(selected.keys).isEqualTo(inOrder.take(4).toSet())
        expectThat(selected.values.min()).isGreaterThanOrEqualTo(PROMPTS / 5)
    }

    // Guards against traffic between zones for parts that are cheap to fetch once, and against parts that are read or fetched in
    // every zone.
    @TestFactory
    fun `an engine in the own zone is preferred if it is as good`(): List<DynamicTest> {
        class Case(
            val name: String,
            val nearCached: Boolean,
            val isUncached: Boolean,
            val failing: Boolean,
            val near: Boolean,
        )
        return listOf(
            Case("it has cached the part", nearCached = true, isUncached = false, failing = false, near = true),
            Case(
                "it would have to fetch the part",
                nearCached = false,
                isUncached = false,
                failing = false,
                near = false,
            ),
            Case("no engine has cached the part", nearCached = false, isUncached = true, failing = false, near = false),
            Case("it fails requests", nearCached = true, isUncached = false, failing = true, near = false),
        ).map { case ->
            dynamicTest(case.name) {
                val near =
                    engine(
                        inOrder[1],
                        cached = case.nearCached,
                        zone = "b",
                        failureRate = if (case.failing) 0.5 else 0.0,
                    )
                val engines = ids.filter { it != inOrder[1] }.map { engine(it) } + near
                val expected = if (case.near) inOrder[1] else inOrder[0]
                expectThat(select(engines, zone = "b", isUncached = case.isUncached)).isEqualTo(expected)
            }
        }
    }
}
