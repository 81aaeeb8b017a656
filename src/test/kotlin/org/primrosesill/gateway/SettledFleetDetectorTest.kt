/*
 * When the member list of a gateway counts as settled, so that it uses its share of fleet-wide budgets.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SettledFleetDetectorTest {
    private class Case(
        val name: String,
        val ticks: List<Long>,
        val joins: List<Long> = emptyList(),
        val seedsSeenFrom: Long = 0,
        val settled: Boolean,
    )

    private fun everyTick(until: Long) = (400L..until step 400).toList()

    // Guards against overload of cold upstreams: after a start or a pause the member list of each gateway lacks the
    // others, so that each would use a full share.
    @TestFactory
    fun `the member list settles without new members or after a timeout`(): List<DynamicTest> =
        listOf(
            Case("at once", everyTick(400), settled = false),
            Case("seeds seen, no member joins", everyTick(800), settled = true),
            Case("seeds seen, members still join", everyTick(1_600), joins = listOf(300, 900, 1_500), settled = false),
            Case("seeds not seen for 2.8 s", everyTick(2_800), seedsSeenFrom = Long.MAX_VALUE, settled = false),
            Case("seeds not seen for 3.2 s", everyTick(3_200), seedsSeenFrom = Long.MAX_VALUE, settled = true),
            Case("a join later on", everyTick(4_800), joins = listOf(4_700), settled = true),
            Case("a pause of 12 s", everyTick(4_000) + 16_000, settled = false),
            Case("after that pause", everyTick(4_000) + listOf(16_000, 16_400, 16_800), settled = true),
            Case("two late ticks", everyTick(4_000) + listOf(5_500, 7_400), settled = true),
        ).map { case ->
            dynamicTest(case.name) {
                val detector = SettledFleetDetector(startedAtMillis = 0)
                (case.ticks.map { it to true } + case.joins.map { it to false }).sortedBy { it.first }.forEach {
                    val (now, isTick) = it
                    if (isTick) {
                        detector.tick(now, allSeedsSeen = now >= case.seedsSeenFrom)
                    } else {
                        detector.memberJoined(now)
                    }
                }
                expectThat(detector.isSettled).isEqualTo(case.settled)
            }
        }
}
