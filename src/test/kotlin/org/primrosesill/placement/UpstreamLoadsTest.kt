/*
 * What a router takes as the load of an upstream, from its own requests, the counts of other routers and what upstreams
 * state.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private val engine = UpstreamId("engine")
private val first = RouterId("first")
private val second = RouterId("second")

class UpstreamLoadsTest {
    private class Case(
        val name: String,
        val expected: Set<RouterId>?,
        val counts: Map<RouterId, Int>,
        val ageMillis: Long,
        val load: Int,
    )

    // Guards against a load that misses the requests of a router that is not heard, or that joined a large fleet.
    @TestFactory
    fun `counts are the load when those of all routers are fresh`(): List<DynamicTest> =
        listOf(
            Case("no other router", emptySet(), emptyMap(), 0, load = 1),
            Case("all are fresh", setOf(first, second), mapOf(first to 2, second to 3), 400, load = 6),
            Case("one was not heard", setOf(first, second), mapOf(first to 2), 0, load = 9),
            Case("they are old", setOf(first, second), mapOf(first to 2, second to 3), 1_400, load = 9),
            Case("the fleet is large", null, mapOf(first to 2, second to 3), 0, load = 9),
            Case("a stranger", setOf(first), mapOf(first to 2, second to 3), 0, load = 3),
        ).map { case ->
            dynamicTest(case.name) {
                var now = 0L
                val activity = UpstreamActivity { now }
                val loads = UpstreamLoads(activity) { now }
                loads.expectCounts(case.expected)
                case.counts.forEach { (router, count) -> loads.acceptCounts(router, mapOf(engine to count)) }
                activity.started(engine, tokens = 0)
                now = case.ageMillis
                loads.observe(engine, load = 9)
                expectThat(loads.of(engine)).isEqualTo(case.load)
            }
        }
}
