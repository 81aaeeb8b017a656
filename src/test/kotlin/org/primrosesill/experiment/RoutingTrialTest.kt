/*
 * Tests the routing targets with the tables and selectors of the product, in virtual time and with fixed seeds.
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

    // Guards against a choice of an engine above the load bound although the router has the exact loads.
    @TestFactory
    fun `a router with exact loads sends no request over the load bound`(): List<DynamicTest> =
        listOf(PoolSize(1, 13, 2.0), PoolSize(1, 13, 15.0), PoolSize(1, 48, 15.0)).flatMap { size ->
            eachSeed("$size") { seed ->
                expectThat(runTrial(steadySettings(seed, size), TrialPolicy.PRODUCT).requestsOverBound).isEqualTo(0)
            }
        }

    // Guards against routers that together overload an upstream on stale counts, and against lost affinity.
    @TestFactory
    fun `eight routers keep skew and cache reuse within the targets in a busy pool under churn`(): List<DynamicTest> =
        eachSeed("13 engines") { seed ->
            val result =
                measurePolicies(seed, PoolSize(8, 13, 60.0), churn = true, listOf(TrialPolicy.PRODUCT)).single()
            expectThat(result.highestWindowSkew).isLessThanOrEqualTo(1.25)
            expectThat(result.relativeCacheReuse).isGreaterThanOrEqualTo(0.9)
            expectThat(result.refusedRequests).isEqualTo(0)
        }

    // Guards against a regression to the level of a baseline in pools where the product misses a target.
    @TestFactory
    fun `fewer engines are over the load bound than with any baseline`(): List<DynamicTest> =
        listOf(PoolSize(8, 13, 15.0), PoolSize(48, 13, 15.0), PoolSize(48, 128, 15.0)).flatMap { size ->
            eachSeed("$size") { seed ->
                // With up to 9 routers the product requests no reservations, so the two results are identical.
                val compared = TrialPolicy.entries.filter { size.routers > 9 || it != TrialPolicy.WITHOUT_RESERVATIONS }
                val results = measurePolicies(seed, size, churn = true, compared).associateBy { it.policy }
                val product = results.getValue(TrialPolicy.PRODUCT.label)
                val baselines = results.values - product - results.getValue(TrialPolicy.ORACLE.label)
                expectThat(product.overBoundPercent).isLessThan(baselines.minOf { it.overBoundPercent })
                expectThat(product.cacheReuse).isGreaterThan(results.getValue(TrialPolicy.ROUND_ROBIN.label).cacheReuse)
                expectThat(product.cacheReuse).isGreaterThan(results.getValue(TrialPolicy.RANDOM.label).cacheReuse)
            }
        }

    // Guards against refused requests, and against requests that start in a zone that is out of service.
    @TestFactory
    fun `no request is refused while a zone is taken out of service and returned`(): List<DynamicTest> =
        zonePoolSizes.filter { it.meanLoad <= 4 }.flatMap { size ->
            eachSeed("$size") { seed ->
                val result = measureZoneOutage(seed, size, TrialPolicy.PRODUCT)
                expectThat(result.refusedRequests).isEqualTo(0)
                expectThat(result.lateStarts).isEqualTo(0)
            }
        }

    /** A trial with 9 engines in 3 zones and its permitted results. */
    private class Case(
        val name: String,
        val events: List<TrialEvent>,
        val refusedRequests: LongRange = 0L..0L,
        val coldConcurrencyLimit: Int = 1,
        val overColdLimit: LongRange = 0L..0L,
    )

    private val anyRefused = 1L..Long.MAX_VALUE
    private val allEngines = (0 until 9).toList()

    private val cases =
        listOf(
            Case("an empty VM list", listOf(TrialEvent.EmptyVmList(70_000))),
            Case("an engine that leaves", listOf(TrialEvent.Leave(70_000, 4))),
            Case(
                "an engine that fails and restarts",
                listOf(TrialEvent.Crash(70_000, 4), TrialEvent.Join(75_000, 4)),
            ),
            Case("two of three zones out of service", listOf(TrialEvent.ZonesOut(70_000, setOf(0, 1)))),
            Case("all zones out of service by mistake for 10 s", allOut(10_000), refusedRequests = anyRefused),
            // A refusal informs one router, so each of the 8 routers sends at most one request over the limit.
            Case(
                "an engine that turns cold without notice",
                listOf(TrialEvent.TurnCold(70_000, 4)),
                overColdLimit = 0L..8L,
            ),
            Case(
                "a cold engine with a concurrency limit of two",
                listOf(TrialEvent.TurnCold(70_000, 4)),
                coldConcurrencyLimit = 2,
                overColdLimit = 0L..8L,
            ),
            Case(
                "all engines cold",
                allEngines.map { TrialEvent.TurnCold(70_000, it) },
                refusedRequests = anyRefused,
                overColdLimit = 0L..72L,
            ),
        )

    private fun allOut(millis: Long): List<TrialEvent> =
        listOf(
            TrialEvent.ZonesOut(70_000, setOf(0, 1, 2)),
            TrialEvent.ZonesOut(70_000 + millis, emptySet()),
        )

    // Guards against requests at engines that are out of service, leaving or cold, and against refusals although other
    // engines have capacity.
    @TestFactory
    fun `requests follow the state that operators and engines report`(): List<DynamicTest> =
        cases.flatMap { case ->
            eachSeed(case.name) { seed ->
                val steady = steadySettings(seed, PoolSize(8, 9, 4.0))
                val result =
                    runTrial(
                        steady.copy(events = case.events, coldConcurrencyLimit = case.coldConcurrencyLimit),
                        TrialPolicy.PRODUCT,
                    )
                expectThat(result.refusedRequests in case.refusedRequests)
                    .describedAs("${result.refusedRequests} refused")
                    .isEqualTo(true)
                expectThat(result.overColdLimit in case.overColdLimit)
                    .describedAs("${result.overColdLimit} over")
                    .isEqualTo(true)
                expectThat(result.lateStarts).isEqualTo(0)
            }
        }
}
