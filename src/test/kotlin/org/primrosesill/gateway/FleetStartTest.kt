/*
 * All gateways of a fleet start at once, over datagrams and a platform in memory, under virtual time.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val ZONES = 5
private const val SEEDS = 3
private const val ENTRIES = 10

class FleetStartTest {
    private class Case(val size: Int, val firstStart: Boolean, val mostCalls: Int, val viewWithinMillis: Long)

    // Guards against calls to the platform that grow with the fleet while it starts, and against a slow first view.
    @TestFactory
    fun `few calls reach the platform when all gateways start`(): List<DynamicTest> =
        listOf(
            // A reader of each zone and the seeds watch once a second; the seeds list first.
            Case(8, firstStart = true, mostCalls = (ZONES + SEEDS) * SECONDS + SEEDS, viewWithinMillis = 1_000),
            // Two calls a gateway, in a time in which a reader makes ten.
            Case(95, firstStart = true, mostCalls = 2 * 95, viewWithinMillis = 1_500),
            // Callers wait, so that each gateway lists, and few do more.
            Case(95, firstStart = false, mostCalls = 3 * 95, viewWithinMillis = 100),
        ).map { case ->
            dynamicTest("${case.size} gateways, ${if (case.firstStart) "first start" else "after a loss of power"}") {
                val baseline = play(case, asksSeeds = false)
                val product = play(case, asksSeeds = true)
                println(
                    "${case.size} gateways, calls in $SECONDS s: ${product.calls}, each for itself: ${baseline.calls}",
                )
                expectThat(product.informed).describedAs("with a view").isEqualTo(case.size)
                expectThat(product.calls).isLessThanOrEqualTo(case.mostCalls)
            }
        }

    private class Outcome(val informed: Int, val calls: Int)

    private fun play(case: Case, asksSeeds: Boolean): Outcome {
        lateinit var outcome: Outcome
        runTest {
            val fleet = SimulatedFleet(SimulatedFleetSettings(case.size, ZONES, case.firstStart, asksSeeds), this)
            repeat(ENTRIES) { fleet.platform.write("servers/engine-$it", entry(0)) }
            fleet.start()
            advanceTimeBy(case.viewWithinMillis)
            val informed = fleet.nodes.count { it.keeper.revision == fleet.platform.revision }
            advanceTimeBy(SECONDS * 1_000L - case.viewWithinMillis)
            outcome = Outcome(informed, fleet.platform.calls)
        }
        return outcome
    }

    private companion object {
        const val SECONDS = 10
    }
}
