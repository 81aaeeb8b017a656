/*
 * The targets of routing, measured on the product's own tables and selectors under virtual time with fixed seeds.
 */
package org.primrosesill.experiment

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class RoutingTrialTest {
    private val seeds = 1L..3L

    private fun eachSeed(name: String, check: (Long) -> Unit): List<DynamicTest> =
        seeds.map { seed -> dynamicTest("$name, seed $seed") { check(seed) } }

    // Guards against a decision that passes the bound although it knows every load.
    @TestFactory
    fun `one router that knows every load sends nothing over the bound`(): List<DynamicTest> =
        listOf(PoolSize(1, 13, 2.0), PoolSize(1, 13, 15.0), PoolSize(1, 48, 15.0)).flatMap { size ->
            eachSeed("$size") { seed ->
                expectThat(runTrial(steadySettings(seed, size), TrialPolicy.PRODUCT).sentOverBound).isEqualTo(0)
            }
        }

    // Guards against routers that fill an upstream together on stale counts, and against lost affinity.
    @TestFactory
    fun `eight routers keep skew and reuse within the targets in a busy pool under churn`(): List<DynamicTest> =
        eachSeed("13 engines") { seed ->
            val result = measure(seed, PoolSize(8, 13, 60.0), churn = true, listOf(TrialPolicy.PRODUCT)).single()
            expectThat(result.windowRatio).isLessThanOrEqualTo(1.25)
            expectThat(result.reuseOfOracle).isGreaterThanOrEqualTo(0.9)
            expectThat(result.refused).isEqualTo(0)
        }

    // Guards against a product that is no better than what it replaces where it misses a target.
    @TestFactory
    fun `fewer engines are over the bound than with any baseline`(): List<DynamicTest> =
        listOf(PoolSize(8, 13, 15.0), PoolSize(48, 13, 15.0), PoolSize(48, 128, 15.0)).flatMap { size ->
            eachSeed("$size") { seed ->
                // Up to nine routers the product itself works without homes, and the two results are one and the same.
                val compared = TrialPolicy.entries.filter { size.routers > 9 || it != TrialPolicy.WITHOUT_HOMES }
                val results = measure(seed, size, churn = true, compared).associateBy { it.policy }
                val product = results.getValue(TrialPolicy.PRODUCT.label)
                val baselines = results.values - product - results.getValue(TrialPolicy.ORACLE.label)
                expectThat(product.overBoundPercent).isLessThan(baselines.minOf { it.overBoundPercent })
                expectThat(product.reuse).isGreaterThan(results.getValue(TrialPolicy.ROUND_ROBIN.label).reuse)
                expectThat(product.reuse).isGreaterThan(results.getValue(TrialPolicy.RANDOM.label).reuse)
            }
        }

    // Guards against failed requests and new work in a zone while it leaves and returns.
    @TestFactory
    fun `a zone leaves and returns without a refused request`(): List<DynamicTest> =
        zonePoolSizes.filter { it.meanLoad <= 4 }.flatMap { size ->
            eachSeed("$size") { seed ->
                val result = measureZone(seed, size, TrialPolicy.PRODUCT)
                expectThat(result.refused).isEqualTo(0)
                expectThat(result.startedTooLate).isEqualTo(0)
            }
        }

    /** A trial with 9 engines in 3 zones, and what may come out of it. */
    private class Case(
        val name: String,
        val events: List<TrialEvent>,
        val refused: LongRange = 0L..0L,
        val bears: Int = 1,
        val overBears: LongRange = 0L..0L,
    )

    private val some = 1L..Long.MAX_VALUE
    private val all = (0 until 9).toList()

    private val cases =
        listOf(
            Case("an empty VM list", listOf(TrialEvent.EmptyVmList(70_000))),
            Case("an engine that leaves", listOf(TrialEvent.Leave(70_000, 4))),
            Case(
                "an engine that fails and comes back",
                listOf(TrialEvent.Crash(70_000, 4), TrialEvent.Join(75_000, 4)),
            ),
            Case("two of three zones out", listOf(TrialEvent.ZonesOut(70_000, setOf(0, 1)))),
            Case("all zones out by mistake for 10 s", allOut(10_000), refused = some),
            // Each refusal tells one router, so that at most one request a router is sent over what the engine bears.
            Case("an engine cold without warning", listOf(TrialEvent.TurnCold(70_000, 4)), overBears = 0L..8L),
            Case("one that bears two", listOf(TrialEvent.TurnCold(70_000, 4)), bears = 2, overBears = 0L..8L),
            Case("all engines cold", all.map { TrialEvent.TurnCold(70_000, it) }, refused = some, overBears = 0L..72L),
        )

    private fun allOut(millis: Long): List<TrialEvent> =
        listOf(
            TrialEvent.ZonesOut(70_000, setOf(0, 1, 2)),
            TrialEvent.ZonesOut(70_000 + millis, emptySet()),
        )

    // Guards against work where operators or the engine itself said no, and against refusals while others can serve.
    @TestFactory
    fun `what operators and engines say is kept`(): List<DynamicTest> =
        cases.flatMap { case ->
            eachSeed(case.name) { seed ->
                val steady = steadySettings(seed, PoolSize(8, 9, 4.0))
                val result = runTrial(steady.copy(events = case.events, bears = case.bears), TrialPolicy.PRODUCT)
                expectThat(result.refused in case.refused).describedAs("${result.refused} refused").isEqualTo(true)
                expectThat(result.overBears in case.overBears).describedAs("${result.overBears} over").isEqualTo(true)
                expectThat(result.startedTooLate).isEqualTo(0)
            }
        }
}
