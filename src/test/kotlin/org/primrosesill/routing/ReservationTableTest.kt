/*
 * Contract of the reservation table: the places it grants never exceed the bound, whatever routers tell and when.
 */
package org.primrosesill.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.ReservationState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ReservationTableTest {
    private val upstream = UpstreamId("engine-1")

    private class Case(val name: String, val granted: Int, val act: ReservationTable.(MutableList<Boolean>) -> Unit)

    private fun ReservationTable.reserve(router: String, inFlight: Int, atMillis: Long = 0, bound: Int? = 3): Boolean {
        val request = ReservationRequest(pool, upstream, RouterId(router), inFlight, poolTotal = 0)
        return reserve(request, bound, atMillis).state == ReservationState.GRANTED
    }

    private val cases =
        listOf(
            Case("routers that ask at once share the bound", 3) { granted ->
                repeat(5) { granted += reserve("router-$it", 0) }
            },
            Case("one router with concurrent requests is counted once for each", 3) { granted ->
                repeat(5) { granted += reserve("router-1", it.coerceAtMost(3)) }
            },
            Case("requests that an exchange shows take places", 1) { granted ->
                observe(RouterId("router-2"), mapOf(upstream to 2), 0)
                repeat(3) { granted += reserve("router-1", it.coerceAtMost(1)) }
            },
            Case("an exchange that was on its way does not hide a place", 3) { granted ->
                repeat(3) { granted += reserve("router-$it", 0, atMillis = 1_000) }
                repeat(3) { observe(RouterId("router-$it"), emptyMap(), 1_100) }
                granted += reserve("router-9", 0, atMillis = 1_200)
            },
            Case("a later exchange frees the places of requests that ended", 4) { granted ->
                repeat(3) { granted += reserve("router-$it", 0) }
                observe(RouterId("router-0"), emptyMap(), 2_000)
                granted += reserve("router-9", 0, atMillis = 2_000)
            },
            Case("a lost router frees its places", 4) { granted ->
                repeat(3) { granted += reserve("router-$it", 0) }
                forget(RouterId("router-1"))
                granted += reserve("router-9", 0)
            },
            Case("an upstream that this router does not know is not granted", 0) { granted ->
                granted += reserve("router-1", 0, bound = null)
            },
        )

    // Guards against an engine over its bound because routers count its requests late or twice.
    @TestFactory
    fun `a home grants places up to the bound`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val granted = mutableListOf<Boolean>()
                ReservationTable().apply { case.act(this, granted) }
                expectThat(granted.count { it }).isEqualTo(case.granted)
            }
        }

    // Guards against two routers that each take themselves for the home although they see the same members.
    @TestFactory
    fun `all routers name the same home`(): List<DynamicTest> =
        listOf(3 to "zone a", 0 to "no zone of its own").map { (local, name) ->
            dynamicTest("$local routers in $name") {
                val routers =
                    (0 until 9).associate { RouterId("router-$it") to AvailabilityZoneId(if (it < local) "a" else "b") }
                val homes =
                    List(9) {
                        upstreamHome(
                            upstream,
                            AvailabilityZoneId("a"),
                            routers
                                .toList()
                                .let { list ->
                                    list.drop(it) +
                                        list.take(it)
                                }.toMap(),
                        )
                    }
                expectThat(homes.distinct().size).isEqualTo(1)
                if (local > 0) expectThat(routers[homes.first()]).isEqualTo(AvailabilityZoneId("a"))
            }
        }
}
