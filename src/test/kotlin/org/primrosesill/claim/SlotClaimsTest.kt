/*
 * Requirement 2: a cold upstream receives no more requests than it bears, whatever its routers think of each other.
 */
package org.primrosesill.claim

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class SlotCase(
    val name: String,
    val slots: Int,
    val served: Int,
    val size: Int = 9,
    val knows: (Int, Int) -> Boolean = { _, _ -> true },
    val meanwhile: suspend FakeFleet.(step: Int) -> Unit = {},
) {
    override fun toString() = name
}

class SlotClaimsTest {
    // Guards against a cold engine that is flooded because each router sends it "only one" request.
    @ParameterizedTest
    @MethodSource("cases")
    fun `a cold upstream bears no more than its slots when`(case: SlotCase) =
        runTest {
            val fleet = FakeFleet(this, case.size, AtMostOnceTest.SEED, knows = case.knows)
            var running = 0
            var most = 0
            var served = 0
            val work =
                List(60) { step ->
                    if (step % 6 == 0) case.meanwhile(fleet, step / 6)
                    delay(100)
                    backgroundScope.launch {
                        val router = fleet.at(step % case.size)
                        val claim =
                            router.slots.claim(UpstreamId("e1"), case.slots, router.clock() + 5_000) ?: return@launch
                        running++
                        most = maxOf(most, running)
                        delay(150)
                        running--
                        served++
                        claim.release()
                    }
                }
            work.joinAll()
            println("$case: served=$served of 60, most at once=$most")
            expectThat(most).isLessThanOrEqualTo(case.slots)
            expectThat(served).isGreaterThanOrEqualTo(case.served)
        }

    companion object {
        @JvmStatic
        fun cases() =
            listOf(
                SlotCase("one slot is wanted by nine routers", slots = 1, served = 20),
                SlotCase("two slots are wanted by nine routers", slots = 2, served = 20),
                SlotCase("the zone has two routers", slots = 1, served = 20, size = 6),
                SlotCase("messages are late and duplicated", slots = 1, served = 3) {
                    faults.late = 0.2
                    faults.duplicate = 0.3
                },
                SlotCase("releases are lost", slots = 1, served = 1) { faults.lose = 0.2 },
                SlotCase("the zone is cut off in turns", slots = 1, served = 3) {
                    if (it % 2 == 0) cutOff(0, 3, 6) else heal()
                },
                SlotCase("the routers of the zone restart one after the other", slots = 1, served = 1) {
                    if (it <
                        3
                    ) {
                        replace(it * 3)
                    }
                },
                SlotCase("all routers are new", slots = 1, served = 1) { if (it == 0) repeat(9, ::replace) },
                SlotCase("each router of the zone is unaware of another", 1, 0, knows = { from, to ->
                    to !=
                        (from + 3) % 9
                }),
            )
    }
}
