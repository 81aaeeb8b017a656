/*
 * Convergence of whole fleets. The bounds on rounds, bytes and false losses are those of the design page.
 */
package org.primrosesill.exchange

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory
import org.primrosesill.experiment.ExchangeFleet
import org.primrosesill.experiment.ExchangeTrafficRow
import org.primrosesill.experiment.measureExchangeTraffic
import org.primrosesill.experiment.printExchangeTraffic
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterPart
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

class ExchangeTest {
    // Guards against membership views that do not converge after a failure. The bound is the suspicion timeout of 5 s
    // plus the 3 s that an update may take: 16 rounds.
    @TestFactory
    fun `all routers agree on the live members after`(): List<DynamicTest> =
        listOf(8, 48).flatMap { size ->
            listOf(
                viewsConverge("30% of $size crash at once", size, 16) { fleet ->
                    fleet.routers.filter { it.index % 10 < 3 }.forEach { it.running = false }
                },
                viewsConverge("a zone of $size is lost", size, 16) { fleet ->
                    fleet.routers.filter { it.index % fleet.zones == 0 }.forEach { it.running = false }
                },
                viewsConverge("a lost zone of $size restarts as new VMs", size, 16) { fleet ->
                    val zone = fleet.routers.filter { it.index % fleet.zones == 0 }.map { it.index }
                    zone.forEach { fleet.routers[it].running = false }
                    repeat(30) { fleet.runRound() }
                    zone.forEach(fleet::restart)
                },
                viewsConverge("a partition of $size heals", size, 16) { fleet ->
                    fleet.dropsMessage = { from, to -> from % fleet.zones == 0 != (to % fleet.zones == 0) }
                    repeat(30) { fleet.runRound() }
                    fleet.dropsMessage = { _, _ -> false }
                },
                viewsConverge("one router of $size flaps", size, 16) { fleet ->
                    repeat(40) { step ->
                        fleet.dropsMessage = { from, to -> step % 8 < 4 && (from == 1 || to == 1) }
                        fleet.runRound()
                    }
                    fleet.dropsMessage = { _, _ -> false }
                },
                viewsConverge("an empty VM list reaches $size routers", size, 1) { fleet ->
                    fleet.routers.forEach { it.members.updateVmList(emptySet()) }
                },
            )
        }

    private fun viewsConverge(name: String, size: Int, maxRounds: Int, fault: (ExchangeFleet) -> Unit): DynamicTest =
        DynamicTest.dynamicTest(name) {
            val fleet = ExchangeFleet(size, if (size > 200) 7 else 3, size, SEED)
            repeat(8) { fleet.runRound() }
            fault(fleet)
            fleet.routers.forEach { it.transferredBytes = 0 }
            val rounds =
                fleet.roundsUntil(100) {
                    val running = fleet.runningRouters().map { it.address }.toSet()
                    fleet.runningRouters().all { it.liveAddresses() == running }
                }
            val bytes = fleet.runningRouters().maxOf { it.transferredBytes }
            println(
                "$name: rounds=$rounds, most bytes of a node=$bytes, false losses=${fleet.routers.sumOf {
                    it.falseLosses
                }}",
            )
            expectThat(rounds).isNotNull().isLessThanOrEqualTo(maxRounds)
        }

    // Guards against control traffic beyond its bound of 18 KB/s per router, and updates that take longer than 3 s.
    @TestFactory
    fun `control traffic and update delays stay within their bounds`(): List<DynamicTest> =
        measureExchangeTraffic(listOf(8, 16, 32, 64)).also(::printExchangeTraffic).map(::staysWithinBounds)

    // The same for the largest fleets, which take a minute to simulate.
    @Tag("benchmark")
    @TestFactory
    fun `control traffic and update delays of large fleets stay within their bounds`(): List<DynamicTest> =
        measureExchangeTraffic(listOf(128, 330)).also(::printExchangeTraffic).map(::staysWithinBounds)

    private fun staysWithinBounds(row: ExchangeTrafficRow): DynamicTest =
        DynamicTest.dynamicTest("with ${row.nodes} nodes") {
            expectThat(row.highestBytesPerSecond).isLessThanOrEqualTo(18_000)
            expectThat(row.roundsToAll).isNotNull().isLessThanOrEqualTo(6)
        }

    // Guards against load that is counted twice or without end when messages are late, repeated or lost.
    @TestFactory
    fun `the part table`(): List<DynamicTest> =
        listOf(
            sumAfter("keeps the newest part when parts arrive out of order", listOf(2L to 5, 1L to 9), 0, 5),
            sumAfter("counts a repeated part once", listOf(1L to 5, 1L to 5), 0, 5),
            sumAfter("ignores counts that are 3 s old", listOf(1L to 5), 3_000, 0),
            sumAfter("keeps counts for just under 3 s", listOf(1L to 5), 2_999, 5),
        )

    private fun sumAfter(name: String, parts: List<Pair<Long, Int>>, atMillis: Long, expected: Int): DynamicTest =
        DynamicTest.dynamicTest(name) {
            val table = PartTable(RouterId("self"))
            parts.forEach { (heartbeat, count) ->
                val member = Member(RouterId("b"), "b", AvailabilityZoneId("a"), 0, heartbeat, MemberState.LIVE)
                table.merge(RouterPart(member, 1, inFlight = mapOf("e1" to count)), 0)
            }
            expectThat(table.inFlight(atMillis)[UpstreamId("e1")] ?: 0).isEqualTo(expected)
        }

    private companion object {
        const val SEED = 20_261_204L
    }
}
