/*
 * Whom gateways ask that have just started.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Of a gateway that has nobody to start from. */
internal val noStartDuty =
    StartDuty(RouterId("self"), isSeed = false, hasSeeds = false, firstStart = false, startedAtMillis = 0)

class StartDutyTest {
    private class Case(
        val name: String,
        val expected: Boolean,
        val isSeed: Boolean = false,
        val hasSeeds: Boolean = true,
        val firstStart: Boolean = true,
        val ageMillis: Long? = null,
        val nowMillis: Long = 1_100,
    )

    // Guards against a platform that is asked by all, and against a gateway that waits for others although callers come.
    @TestFactory
    fun `a gateway leaves the platform to others while they can tell it`(): List<DynamicTest> =
        listOf(
            Case("first start", expected = true),
            Case("others start from it", expected = false, isSeed = true),
            Case("nobody to start from", expected = false, hasSeeds = false),
            Case("started again without a view, when callers wait", expected = false, firstStart = false),
            Case("started again with a fresh view", expected = true, firstStart = false, ageMillis = 1_000),
            Case("heard nothing for long", expected = false, nowMillis = 3_400),
            Case("a fresh view", expected = true, ageMillis = 1_000, nowMillis = 20_000),
            Case("an old view", expected = false, ageMillis = 2_700, nowMillis = 20_000),
        ).map { case ->
            dynamicTest(case.name) {
                val duty = StartDuty(RouterId("self"), case.isSeed, case.hasSeeds, case.firstStart, 1_000)
                expectThat(duty.leavesItToOthers(case.ageMillis, case.nowMillis)).isEqualTo(case.expected)
            }
        }
}
