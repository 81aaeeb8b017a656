/*
 * Fleets whose platform is restored from a copy, in virtual time: changes afterwards, gateways that the platform rejects,
 * gateways that start late, and the number of calls to the platform.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 29L

@OptIn(ExperimentalCoroutinesApi::class)
class RestoredFleetTest {
    /**
     * @property rejectedShare share of the gateways that the platform rejects while it is restored and for a while afterwards
     * @property writesAfterwards changes right after the restoration; with more than [LOST_WRITES], no gateway gets a 410
     * @property late number of gateways that start after the restoration
     * @property pauseMillis time between two restorations
     */
    private class Case(
        val name: String,
        val size: Int = 8,
        val rejectedShare: Double = 0.0,
        val writesAfterwards: Int = 1,
        val late: Int = 0,
        val restorations: Int = 1,
        val pauseMillis: Long = 3_000,
    )

    // Guards against a fleet that is split between two eras, against changes that do not reach a gateway within two seconds
    // after a restoration, and against listings in a loop.
    @TestFactory
    fun `all gateways follow a restored platform`(): List<DynamicTest> =
        listOf(
            Case("a small fleet"),
            Case("the platform has passed the gateways", writesAfterwards = 12),
            Case("rejected gateways", rejectedShare = 0.4),
            Case("late gateways", late = 2),
            Case("two restorations", restorations = 2),
            Case("three restorations at short intervals", restorations = 3, pauseMillis = 300),
            Case("a large fleet", size = 84, late = 4),
            Case("a large fleet with rejected gateways", size = 84, rejectedShare = 0.35, restorations = 2),
        ).map { case ->
            dynamicTest("${case.name}, seed $SEED") {
                runTest { play(case, this) }
            }
        }

    private suspend fun play(case: Case, scope: TestScope) {
        val random = Random(SEED)
        val fleet = SimulatedFleet(SimulatedFleetSettings(case.size, ZONES), scope)
        val (late, early) = fleet.nodes.partition { it.number >= case.size - case.late }
        repeat(5) { fleet.platform.write("servers/old-$it", entry("old-$it")) }
        early.forEach { it.start() }
        delay(8.seconds)
        val callsBefore = fleet.platform.calls
        repeat(case.restorations) { round ->
            restore(case, fleet, early.shuffled(random).take((case.rejectedShare * case.size).toInt()), round)
        }
        late.forEach { it.start() }
        delay(2.seconds)
        fleet.nodes.forEach { it.rejected = false }
        val expected = fleet.platform.write("servers/last", entry("last"))
        delay(2.seconds)
        val behind = fleet.nodes.filter { it.directory.revision.number != expected }
        expectThat(behind.map { "${it.number}: ${it.directory.revision}" }).describedAs("not at $expected").isEmpty()
        val views =
            fleet.nodes.groupBy { node ->
                node.directory.view.upstreamIds
                    .map { it.value }
                    .sorted()
            }
        expectThat(views.keys.drop(1)).describedAs("other views than ${views.keys.first()}").isEmpty()
        val calls = fleet.platform.calls - callsBefore
        expectThat(calls).describedAs("calls to the platform").isLessThanOrEqualTo(case.size * CALLS_PER_GATEWAY)
    }

    private suspend fun restore(case: Case, fleet: SimulatedFleet, rejected: List<SimulatedFleet.Node>, round: Int) {
        val restore = fleet.platform.copy()
        repeat(LOST_WRITES) { fleet.platform.write("servers/lost-$it", entry("lost-$it")) }
        delay(1.seconds)
        rejected.forEach { it.rejected = true }
        restore()
        repeat(case.writesAfterwards) { fleet.platform.write("servers/new-$round-$it", entry("new-$it")) }
        delay(case.pauseMillis.milliseconds)
    }

    private fun entry(name: String) =
        """{"service":"desk","address":"10.9.0.1:${8_000 + name.length}","zone":"z0","version":"v1","max_batch":6,
        "state":"ready","warmup_left_ms":0,"sequence":1}"""

    private companion object {
        const val ZONES = 3
        const val LOST_WRITES = 6

        /** Calls of a fleet in some ten seconds with changes, per gateway. */
        const val CALLS_PER_GATEWAY = 15
    }
}
