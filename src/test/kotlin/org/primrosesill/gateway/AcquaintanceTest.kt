/*
 * When a gateway may spend its part of what all gateways share.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AcquaintanceTest {
    private class Case(
        val name: String,
        val ticks: List<Long>,
        val joins: List<Long> = emptyList(),
        val seedsFrom: Long = 0,
        val settled: Boolean,
    )

    private fun everyTick(until: Long) = (400L..until step 400).toList()

    // Guards against cold upstreams that get a full part from each gateway that has not met the others yet, after a start
    // and after a pause.
    @TestFactory
    fun `settled or not`(): List<DynamicTest> =
        listOf(
            Case("at once", everyTick(400), settled = false),
            Case("seeds heard, nobody joins", everyTick(800), settled = true),
            Case("seeds heard, others still join", everyTick(1_600), joins = listOf(300, 900, 1_500), settled = false),
            Case("no seeds for 2.8 s", everyTick(2_800), seedsFrom = Long.MAX_VALUE, settled = false),
            Case("no seeds for longer", everyTick(3_200), seedsFrom = Long.MAX_VALUE, settled = true),
            Case("a join later on", everyTick(4_800), joins = listOf(4_700), settled = true),
            Case("a pause of 12 s", everyTick(4_000) + 16_000, settled = false),
            Case("after that pause", everyTick(4_000) + listOf(16_000, 16_400, 16_800), settled = true),
            Case("two late ticks", everyTick(4_000) + listOf(5_500, 7_400), settled = true),
        ).map { case ->
            dynamicTest(case.name) {
                val acquaintance = Acquaintance(startedAtMillis = 0)
                (case.ticks.map { it to true } + case.joins.map { it to false }).sortedBy { it.first }.forEach {
                    val (now, isTick) = it
                    if (isTick) acquaintance.tick(now, knowsSeeds = now >= case.seedsFrom) else acquaintance.joined(now)
                }
                expectThat(acquaintance.isSettled).isEqualTo(case.settled)
            }
        }
}
