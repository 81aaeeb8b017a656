/*
 * Gateways whose store comes back from a copy that lacks what was written last. Revisions go back and are given out again.
 */
package org.primrosesill.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RestoredStoreTest {
    private var fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    /**
     * @property lostWrites writes after the copy, each of an item that gateways do not use, and followed by a configuration
     * @property writesAfterwards such writes after the restoration; with more of them than [lostWrites], the store has passed
     *     the revision that the gateways hold
     */
    private class Case(val name: String, val lostWrites: Int, val writesAfterwards: Int, val restorations: Int = 1)

    // Guards against a configuration that is not in force after the store was restored, because its revision was given out
    // before, and against gateways that list the store in a loop.
    @TestFactory
    fun `a configuration is in force after the store was restored from a copy`(): List<DynamicTest> =
        listOf(
            Case("the store is behind the gateways", lostWrites = 8, writesAfterwards = 0),
            Case("the store has passed the gateways", lostWrites = 2, writesAfterwards = 6),
            Case("restored twice", lostWrites = 8, writesAfterwards = 1, restorations = 2),
        ).map { case -> dynamicTest(case.name) { play(case) } }

    private fun play(case: Case) {
        fixture.close()
        fixture = GatewayFixture()
        fixture.start()
        val store = fixture.site.store
        runBlocking {
            repeat(case.restorations) { round ->
                val copy = store.copy()
                repeat(case.lostWrites) { store.write("other/lost-$it", "$round") }
                fixture.site.configure(version = 10 + round)
                delay(PROPAGATION)
                store.restore(copy)
                repeat(case.writesAfterwards) { store.write("other/new-$it", "$round") }
            }
            val callsBefore = store.calls.get()
            fixture.site.configure(version = 20, key = "another")
            repeat(2) { gateway ->
                awaitCondition("gateway $gateway rejects the old key", limit = CONFIGURATION_TIME) {
                    fixture.call(CallerRequest("/stock/1", "r$gateway", gateway = gateway)).status == 401
                }
            }
            delay(2.seconds)
            expectThat(store.calls.get() - callsBefore).describedAs("calls to the store").isLessThanOrEqualTo(40)
            val current = fixture.call(CallerRequest("/stock/1", "r9", key = "another"))
            expectThat(current.status).isEqualTo(200)
        }
    }

    private companion object {
        val PROPAGATION = 800.milliseconds
        val CONFIGURATION_TIME = 2.seconds
    }
}
