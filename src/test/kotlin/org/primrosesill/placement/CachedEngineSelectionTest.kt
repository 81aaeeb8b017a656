/*
 * The engine that is selected for a prompt whose shared parts some engines of a large pool have cached.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.LoadSource
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

private const val SHARED_TOKENS = 8_000
private const val MEAN_LOAD = 8.0
private const val FALLBACK = "fallback"

class CachedEngineSelectionTest {
    private val prompt =
        Prompt(
            listOf(PromptPart(PromptPartId("shared"), SHARED_TOKENS), PromptPart(PromptPartId("own"), 500)),
            promptTokens = SHARED_TOKENS + 500,
            maximumOutputTokens = 10,
        )
    private val inOrder =
        List(4) { "engine-$it" }.sortedByDescending { rendezvousRank(prompt.sharedParts, UpstreamId(it)) }

    /** An engine by its place in the rendezvous order. */
    private class Engine(
        val place: Int,
        val load: Double = MEAN_LOAD,
        val cached: Boolean = true,
        val zone: String = "a",
        val failureRate: Double = 0.0,
    )

    private class Case(val name: String, val expected: Int?, val engines: List<Engine>, val replicas: Int = 1)

    // Guards against prompts that are diverted to engines which have to prefill or copy their parts, while engines that have
    // cached them could bear them (7.9 of 18.1 million tokens were prefilled again on one day), and against engines that keep
    // all prompts although they are overloaded or fail, or that get none because they have just joined.
    @TestFactory
    fun `an engine that has cached the parts is selected unless it is overloaded`(): List<DynamicTest> =
        listOf(
            Case("the first has cached them", 0, listOf(Engine(0), Engine(1))),
            Case("the second has cached them", 1, listOf(Engine(0, cached = false), Engine(1))),
            Case("the holder is above the mean", 1, listOf(Engine(0, cached = false), Engine(1, load = 9.0))),
            Case("the holder is overloaded", 2, listOf(Engine(1, load = 16.0), Engine(2))),
            Case("all holders are overloaded", null, listOf(Engine(0, cached = false), Engine(1, load = 16.0))),
            Case("no engine has cached them", null, listOf(Engine(0, cached = false), Engine(1, cached = false))),
            Case("the first has joined and is idle", 0, listOf(Engine(0, load = 0.0, cached = false), Engine(1))),
            Case(
                "the second has joined and is idle",
                2,
                listOf(Engine(1, load = 0.0, cached = false), Engine(2), Engine(0, cached = false)),
            ),
            Case("the holder fails requests", null, listOf(Engine(0, cached = false), Engine(1, failureRate = 0.3))),
            Case("a holder in the own zone", 1, listOf(Engine(0, zone = "b"), Engine(1))),
            Case("an overloaded holder in the own zone", 0, listOf(Engine(0, zone = "b"), Engine(1, load = 16.0))),
            Case("a popular part", null, listOf(Engine(0), Engine(1)), replicas = 3),
        ).map { case ->
            dynamicTest(case.name) {
                expectThat(select(case)).isEqualTo(case.expected?.let { inOrder[it] } ?: FALLBACK)
            }
        }

    private fun select(case: Case): String {
        val inputs =
            PromptCostInputs(prompt.promptTokens, SHARED_TOKENS, 500.milliseconds, 1_000, AvailabilityZoneId("a"))
        val engines = case.engines.map(::candidate)
        val fallback = candidate(FALLBACK, Engine(0))
        val choice = EngineChoice(prompt, inputs, engines, MEAN_LOAD, isUncached = false, case.replicas)
        return cachedEngineSelection { fallback }
            .select(choice)
            .upstream.id.value
    }

    private fun candidate(engine: Engine) = candidate(inOrder[engine.place], engine)

    private fun candidate(id: String, engine: Engine) =
        EngineCandidate(
            testUpstream(id, enginePool, engine.zone),
            LoadEstimate(engine.load.toInt(), LoadSource.REPORT, 0),
            engine.load,
            rendezvousRank(prompt.sharedParts, UpstreamId(id)),
            if (engine.cached) SHARED_TOKENS else 0,
            pendingPrefillTokens = 0,
            failureRate = engine.failureRate,
        )
}
