/*
 * Whether chance explains that a prompt part was in flight at crashed engines.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CrashChanceTest {
    private class Case(val name: String, val crashes: CrashesOfPart, val isBeyondChance: Boolean)

    // Guards against sound parts that are blocked after a crash burst, and against bursts that hide a part that crashes engines.
    @TestFactory
    fun `a part counts as the cause beyond chance only`(): List<DynamicTest> =
        listOf(
            Case("three engines, each alone", CrashesOfPart(3, 3, 3, presence = 0.35), true),
            Case("nearly alone", CrashesOfPart(3, 3, 4, presence = 0.35), true),
            Case("two other engines", CrashesOfPart(3, 3, 5, presence = 0.35), false),
            Case("a popular part in a burst", CrashesOfPart(8, 8, 24, presence = 0.35), false),
            Case("more often than a popular part", CrashesOfPart(11, 11, 15, presence = 0.35), true),
            Case("a rare part during two bursts", CrashesOfPart(3, 3, 40, presence = 0.01), true),
            Case("a rare part at one engine of a burst", CrashesOfPart(1, 1, 40, presence = 0.01), false),
            Case("a rare part at two moments only", CrashesOfPart(2, 6, 37, presence = 0.01), false),
            Case("a part in flight everywhere", CrashesOfPart(3, 20, 37, presence = 1.0), false),
        ).map { case ->
            dynamicTest(case.name) { expectThat(isBeyondChance(case.crashes)).isEqualTo(case.isBeyondChance) }
        }
}
