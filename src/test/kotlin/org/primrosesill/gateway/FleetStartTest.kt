/*
 * Start of all gateways of a fleet at once, with simulated datagrams and platform, in virtual time.
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
    private class Case(val size: Int, val firstStart: Boolean, val maximumCalls: Int, val viewWithinMillis: Long)

    // Guards against calls to the platform that grow with the starting fleet, and against a slow first view.
    @TestFactory
    fun `few calls reach the platform when all gateways start`(): List<DynamicTest> =
        listOf(
            // The reader of each zone and the seeds each watch once a second; the seeds list before that.
            Case(8, firstStart = true, maximumCalls = (ZONES + SEEDS) * SECONDS + SEEDS, viewWithinMillis = 1_000),
            // Two calls per gateway, in the time in which a reader makes ten.
            Case(95, firstStart = true, maximumCalls = 2 * 95, viewWithinMillis = 1_500),
            // Callers wait, so that each gateway lists the platform, and few call it again.
            Case(95, firstStart = false, maximumCalls = 3 * 95, viewWithinMillis = 100),
        ).map { case ->
            dynamicTest("${case.size} gateways, ${if (case.firstStart) "first start" else "after a power loss"}") {
                val baseline = simulate(case, usesSeeds = false)
                val result = simulate(case, usesSeeds = true)
                println(
                    "${case.size} gateways, calls in $SECONDS s: ${result.calls}, without seeds: ${baseline.calls}",
                )
                expectThat(result.upToDate).describedAs("with a view").isEqualTo(case.size)
                expectThat(result.calls).isLessThanOrEqualTo(case.maximumCalls)
            }
        }

    private class Outcome(val upToDate: Int, val calls: Int)

    private fun simulate(case: Case, usesSeeds: Boolean): Outcome {
        lateinit var outcome: Outcome
        runTest {
            val fleet = SimulatedFleet(SimulatedFleetSettings(case.size, ZONES, case.firstStart, usesSeeds), this)
            repeat(ENTRIES) { fleet.platform.write("servers/engine-$it", entry(0)) }
            fleet.start()
            advanceTimeBy(case.viewWithinMillis)
            val upToDate = fleet.nodes.count { it.directory.revision.number == fleet.platform.revision }
            advanceTimeBy(SECONDS * 1_000L - case.viewWithinMillis)
            outcome = Outcome(upToDate, fleet.platform.calls)
        }
        return outcome
    }

    private companion object {
        const val SECONDS = 10
    }
}
