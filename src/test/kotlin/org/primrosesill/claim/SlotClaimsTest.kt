/*
 * Checks invariant 2 of docs/invariants.md: a cold upstream receives no more concurrent requests than it has slots,
 * even if the routers disagree about the members of the fleet.
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

class SlotClaimsCase(
    val name: String,
    val slots: Int,
    val minimumServed: Int,
    val size: Int = 9,
    val discovers: (Int, Int) -> Boolean = { _, _ -> true },
    val injectFault: suspend FakeFleet.(step: Int) -> Unit = {},
) {
    override fun toString() = name
}

class SlotClaimsTest {
    // Guards against the overload of a cold engine because each of many routers sends it one request.
    @ParameterizedTest
    @MethodSource("cases")
    fun `a cold upstream receives no more concurrent requests than it has slots when`(case: SlotClaimsCase) =
        runTest {
            val fleet = FakeFleet(this, case.size, AtMostOnceTest.SEED, discovers = case.discovers)
            var running = 0
            var maximumRunning = 0
            var served = 0
            val work =
                List(60) { step ->
                    if (step % 6 == 0) case.injectFault(fleet, step / 6)
                    delay(100)
                    backgroundScope.launch {
                        val router = fleet.at(step % case.size)
                        val claim =
                            router.slots.claim(UpstreamId("e1"), case.slots, router.clock() + 5_000) ?: return@launch
                        running++
                        maximumRunning = maxOf(maximumRunning, running)
                        delay(150)
                        running--
                        served++
                        claim.release()
                    }
                }
            work.joinAll()
            println("$case: served=$served of 60, maximum at once=$maximumRunning")
            expectThat(maximumRunning).isLessThanOrEqualTo(case.slots)
            expectThat(served).isGreaterThanOrEqualTo(case.minimumServed)
        }

    companion object {
        @JvmStatic
        fun cases() =
            listOf(
                SlotClaimsCase("nine routers claim one slot", slots = 1, minimumServed = 20),
                SlotClaimsCase("nine routers claim two slots", slots = 2, minimumServed = 20),
                SlotClaimsCase("the zone has two routers", slots = 1, minimumServed = 20, size = 6),
                SlotClaimsCase("messages are delayed and duplicated", slots = 1, minimumServed = 3) {
                    faults.delayProbability = 0.2
                    faults.duplicateProbability = 0.3
                },
                SlotClaimsCase("releases are lost", slots = 1, minimumServed = 1) { faults.lossProbability = 0.2 },
                SlotClaimsCase("the zone is isolated and reconnected in turns", slots = 1, minimumServed = 3) {
                    if (it % 2 == 0) isolate(0, 3, 6) else restoreNetwork()
                },
                SlotClaimsCase("the routers of the zone restart one after the other", slots = 1, minimumServed = 1) {
                    if (it <
                        3
                    ) {
                        replace(it * 3)
                    }
                },
                SlotClaimsCase("all routers are new", slots = 1, minimumServed = 1) {
                    if (it ==
                        0
                    ) {
                        repeat(9, ::replace)
                    }
                },
                SlotClaimsCase("each router of the zone cannot discover another one", 1, 0, discovers = { from, to ->
                    to !=
                        (from + 3) % 9
                }),
            )
    }
}
