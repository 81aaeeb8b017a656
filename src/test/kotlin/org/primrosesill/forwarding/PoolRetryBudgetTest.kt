/*
 * The fleet-wide limit on retries.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.placement.FleetMembers
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private val pool = PoolId("p")
private const val WINDOW_MILLIS = 10_000L

private fun fleetOf(routers: Int) =
    FleetMembers(RouterId("self"), (1 until routers).mapTo(HashSet()) { RouterId("other-$it") }, isComplete = true)

class PoolRetryBudgetTest {
    /** Timestamps of the requests and retries of the whole fleet. */
    private class Load(val requests: List<Long>, val retries: List<Long>)

    /**
     * Simulates a fleet in which all requests fail, so that each router uses as many retries as its budget allows. On
     * average [replacedPerSecond] routers are replaced each second.
     */
    private fun simulate(routers: Int, requestsPerSecond: Int, replacedPerSecond: Double, seed: Long): Load {
        val random = Random(seed)
        var now = 0L
        val limit = RetryLimit(0.2, WINDOW_MILLIS, fixed = 52)
        val members = fleetOf(routers)
        val fleet = MutableList(routers) { PoolRetryBudget({ limit }, { members }, { now }) }
        val requests = mutableListOf<Long>()
        val retries = mutableListOf<Long>()
        while (now < 60_000) {
            now += 1
            if (random.nextDouble() < replacedPerSecond / 1_000) {
                fleet[random.nextInt(routers)] = PoolRetryBudget({ limit }, { members }, { now })
            }
            if (random.nextDouble() >= requestsPerSecond / 1_000.0) continue
            val router = fleet[random.nextInt(routers)]
            router.recordRequest(pool)
            requests += now
            repeat(3) { if (router.tryAcquire(pool)) retries += now }
        }
        return Load(requests, retries)
    }

    private class Case(val routers: Int, val requestsPerSecond: Int, val replacedPerSecond: Double = 0.0)

    // Guards against retries whose sum over all routers exceeds the limit, also when some routers have just started.
    @TestFactory
    fun `retries of all routers stay within the limit in every window`(): List<DynamicTest> =
        listOf(Case(1, 60), Case(6, 60), Case(8, 10), Case(84, 600), Case(6, 60, 0.1), Case(84, 600, 0.5)).map { case ->
            dynamicTest(
                "${case.routers} routers, ${case.requestsPerSecond} requests/s, ${case.replacedPerSecond} replaced/s",
            ) {
                val load = simulate(case.routers, case.requestsPerSecond, case.replacedPerSecond, seed = 7)
                for (end in WINDOW_MILLIS..60_000 step 250) {
                    val window = (end - WINDOW_MILLIS)..end
                    val retries = load.retries.count { it in window }
                    val allowed = 0.2 * load.requests.count { it in window } + 52
                    expectThat(retries.toDouble()).describedAs("retries up to $end ms").isLessThanOrEqualTo(allowed)
                }
                expectThat(load.retries.size).describedAs("total retries").isGreaterThan(0)
            }
        }
}
