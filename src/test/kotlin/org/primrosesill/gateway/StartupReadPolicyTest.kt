/*
 * Whether a gateway that has just started reads the platform or defers to its peers.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Policy of a gateway without seeds. */
internal val policyWithoutSeeds =
    StartupReadPolicy(RouterId("self"), isSeed = false, hasSeeds = false, firstStart = false, startedAtMillis = 0)

class StartupReadPolicyTest {
    private class Case(
        val name: String,
        val expected: Boolean,
        val isSeed: Boolean = false,
        val hasSeeds: Boolean = true,
        val firstStart: Boolean = true,
        val ageMillis: Long? = null,
        val nowMillis: Long = 1_100,
    )

    // Guards against calls of all gateways to the platform, and against a gateway that waits for peers while callers
    // wait.
    @TestFactory
    fun `a gateway defers to its peers while they can send it a fresh view`(): List<DynamicTest> =
        listOf(
            Case("first start", expected = true),
            Case("a seed", expected = false, isSeed = true),
            Case("no seeds", expected = false, hasSeeds = false),
            Case("restart without a view, while callers wait", expected = false, firstStart = false),
            Case("restart with a fresh view", expected = true, firstStart = false, ageMillis = 1_000),
            Case("no view for long", expected = false, nowMillis = 3_400),
            Case("a fresh view", expected = true, ageMillis = 1_000, nowMillis = 20_000),
            Case("a stale view", expected = false, ageMillis = 2_700, nowMillis = 20_000),
        ).map { case ->
            dynamicTest(case.name) {
                val policy = StartupReadPolicy(RouterId("self"), case.isSeed, case.hasSeeds, case.firstStart, 1_000)
                expectThat(policy.defersToPeers(case.ageMillis, case.nowMillis)).isEqualTo(case.expected)
            }
        }
}
