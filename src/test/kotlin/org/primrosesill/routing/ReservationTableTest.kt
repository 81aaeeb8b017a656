/*
 * The reservation table: granted reservations never exceed the load bound, whatever counts routers send and when.
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
            Case("concurrent reservations of several routers share the bound", 3) { granted ->
                repeat(5) { granted += reserve("router-$it", 0) }
            },
            Case("one router with concurrent requests is counted once for each", 3) { granted ->
                repeat(5) { granted += reserve("router-1", it.coerceAtMost(3)) }
            },
            Case("requests from an exchange count towards the bound", 1) { granted ->
                applyInFlight(RouterId("router-2"), mapOf(upstream to 2), 0)
                repeat(3) { granted += reserve("router-1", it.coerceAtMost(1)) }
            },
            Case("an exchange message in transit does not overwrite a reservation", 3) { granted ->
                repeat(3) { granted += reserve("router-$it", 0, atMillis = 1_000) }
                repeat(3) { applyInFlight(RouterId("router-$it"), emptyMap(), 1_100) }
                granted += reserve("router-9", 0, atMillis = 1_200)
            },
            Case("a later exchange releases the reservations of finished requests", 4) { granted ->
                repeat(3) { granted += reserve("router-$it", 0) }
                applyInFlight(RouterId("router-0"), emptyMap(), 2_000)
                granted += reserve("router-9", 0, atMillis = 2_000)
            },
            Case("the reservations of a lost router are released", 4) { granted ->
                repeat(3) { granted += reserve("router-$it", 0) }
                removeRouter(RouterId("router-1"))
                granted += reserve("router-9", 0)
            },
            Case("a reservation at an unknown upstream is not granted", 0) { granted ->
                granted += reserve("router-1", 0, bound = null)
            },
        )

    // Guards against an engine above its load bound because its requests are counted late or twice.
    @TestFactory
    fun `a reservation owner grants reservations up to the bound`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val granted = mutableListOf<Boolean>()
                ReservationTable().apply { case.act(this, granted) }
                expectThat(granted.count { it }).isEqualTo(case.granted)
            }
        }

    // Guards against two routers that both act as the reservation owner although they have the same members.
    @TestFactory
    fun `all routers select the same reservation owner`(): List<DynamicTest> =
        listOf(3 to "zone a", 0 to "no zone of its own").map { (local, name) ->
            dynamicTest("$local routers in $name") {
                val routers =
                    (0 until 9).associate { RouterId("router-$it") to AvailabilityZoneId(if (it < local) "a" else "b") }
                val owners =
                    List(9) {
                        reservationOwnerOf(
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
                expectThat(owners.distinct().size).isEqualTo(1)
                if (local > 0) expectThat(routers[owners.first()]).isEqualTo(AvailabilityZoneId("a"))
            }
        }
}
