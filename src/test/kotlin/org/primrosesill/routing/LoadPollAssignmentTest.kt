/*
 * The load poll assignment: how many routers poll an upstream, and of which zones.
 */
package org.primrosesill.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LoadPollAssignmentTest {
    private class Case(val name: String, val routers: List<String>, val pollers: Int, val local: Int)

    private val cases =
        listOf(
            Case("two routers of the zone poll an upstream", listOf("a", "a", "a", "b", "b"), 2, 2),
            Case("another zone provides a poller for a zone with one router", listOf("a", "b", "b"), 2, 1),
            Case("other zones poll for a zone without routers", listOf("b", "b", "c"), 2, 0),
            Case("a single router polls alone", listOf("a"), 1, 1),
        )

    // Guards against upstreams without a poller, which would count as cold, and against polls that grow with the fleet.
    @TestFactory
    fun `routers of its own zone poll an upstream first`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val zones =
                    case.routers.withIndex().associate {
                        RouterId("r${it.index}") to
                            AvailabilityZoneId(it.value)
                    }
                val upstreams = List(50) { UpstreamId("engine-$it") }.associateWith { AvailabilityZoneId("a") }
                val assigned = zones.keys.associateWith { loadPollAssignment(it, zones, upstreams) }
                upstreams.keys.forEach { upstream ->
                    val pollers = assigned.filterValues { upstream in it }.keys
                    expectThat(pollers.size).isEqualTo(case.pollers)
                    expectThat(pollers.count { zones.getValue(it).value == "a" }).isEqualTo(case.local)
                }
            }
        }
}
