/*
 * When a request leaves a stalled upstream.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class StallDecisionTest {
    /** Times are milliseconds. */
    private class Case(
        val name: String,
        val waited: Int,
        val timeLeft: Int,
        val leaves: Boolean,
        val startup: Int = 50,
        val isStalled: Boolean = false,
    )

    // Guards against a move that costs more than waiting on (review/4), and against a hanging upstream that is never left.
    @TestFactory
    fun `a move is put off as long as the time left bears a second pause`(): List<DynamicTest> =
        listOf(
            Case("silent upstream at the limit", 800, 2_150, leaves = true, isStalled = true),
            Case("silent upstream, too late for a second pause", 800, 700, leaves = true, isStalled = true),
            Case("pause at the limit", 800, 2_150, leaves = false),
            Case("pause of review/4", 1_000, 1_950, leaves = false),
            Case("last moment for a second pause", 1_400, 1_550, leaves = true),
            Case("the check of the last moment was late", 1_800, 1_150, leaves = true),
            Case("no time for a second pause at the limit", 800, 800, leaves = false),
            Case("no time for a second pause at the limit, later", 1_100, 500, leaves = false),
            Case("slow first event elsewhere", 800, 1_500, leaves = true, startup = 600),
            Case("just borne at the limit", 800, 850, leaves = true),
        ).map { case ->
            dynamicTest(case.name) {
                val wait =
                    StalledWait(
                        800.milliseconds,
                        case.waited.milliseconds,
                        case.timeLeft.milliseconds,
                        case.startup.milliseconds,
                        case.isStalled,
                    )
                expectThat(wait.shouldLeave()).isEqualTo(case.leaves)
            }
        }
}
