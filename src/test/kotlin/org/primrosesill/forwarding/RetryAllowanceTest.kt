/*
 * The bound on sends beyond the first, as the whole fleet keeps it.
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
    FleetMembers(RouterId("self"), (1 until routers).mapTo(HashSet()) { RouterId("other-$it") }, settled = true)

class RetryAllowanceTest {
    /** Requests and sends beyond the first of a whole fleet, as instants. */
    private class Load(val requests: List<Long>, val sends: List<Long>)

    /** All requests fail, so that each router asks for as many sends as it can get. Routers are replaced now and then. */
    private fun play(routers: Int, requestsPerSecond: Int, replacedEachSecond: Double, seed: Long): Load {
        val random = Random(seed)
        var now = 0L
        val bound = RetryBound(0.2, WINDOW_MILLIS, fixed = 52)
        val members = fleetOf(routers)
        val fleet = MutableList(routers) { RetryAllowance({ bound }, { members }, { now }) }
        val requests = mutableListOf<Long>()
        val sends = mutableListOf<Long>()
        while (now < 60_000) {
            now += 1
            if (random.nextDouble() < replacedEachSecond / 1_000) {
                fleet[random.nextInt(routers)] = RetryAllowance({ bound }, { members }, { now })
            }
            if (random.nextDouble() >= requestsPerSecond / 1_000.0) continue
            val router = fleet[random.nextInt(routers)]
            router.recordRequest(pool)
            requests += now
            repeat(3) { if (router.tryTake(pool)) sends += now }
        }
        return Load(requests, sends)
    }

    private class Case(val routers: Int, val requestsPerSecond: Int, val replacedEachSecond: Double = 0.0)

    // Guards against retries that add up over the routers, also when some of them have just started.
    @TestFactory
    fun `all routers together stay within the bound in every window`(): List<DynamicTest> =
        listOf(Case(1, 60), Case(6, 60), Case(8, 10), Case(84, 600), Case(6, 60, 0.1), Case(84, 600, 0.5)).map { case ->
            dynamicTest(
                "${case.routers} routers, ${case.requestsPerSecond} requests/s, ${case.replacedEachSecond} replaced/s",
            ) {
                val load = play(case.routers, case.requestsPerSecond, case.replacedEachSecond, seed = 7)
                for (end in WINDOW_MILLIS..60_000 step 250) {
                    val window = (end - WINDOW_MILLIS)..end
                    val sends = load.sends.count { it in window }
                    val allowed = 0.2 * load.requests.count { it in window } + 52
                    expectThat(sends.toDouble()).describedAs("sends up to $end ms").isLessThanOrEqualTo(allowed)
                }
                expectThat(load.sends.size).describedAs("retries at all").isGreaterThan(0)
            }
        }
}
