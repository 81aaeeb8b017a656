/*
 * Requests to a plain service with four upstreams that report no load, replayed in virtual time with 28 gateways.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

private const val DURATION_MILLIS = 12_000L
private const val FAULT_MILLIS = 4_000L
private const val FAULT_END_MILLIS = 7_000L

/** Nearly three times the usual rate, at three quarters of the capacity; and a quarter over the capacity. */
private const val BURST = 400.0
private const val OVERLOAD = 700.0
private val oneZoneIsNear = listOf("a", "a", "a", "b")
private val seeds = 1L..4L

class ServiceSelectionTest {
    private class Case(
        val name: String,
        val zones: List<String> = listOf("a", "b", "c", "d"),
        val requestsPerSecond: Double = 145.0,
        val prepare: ServiceReplay.() -> Unit = {},
    ) {
        fun play(isLoadAware: Boolean): List<ServiceReplay> =
            seeds.map { seed ->
                val replay = ServiceReplay(isLoadAware, GATEWAYS, zones, requestsPerSecond, seed)
                replay.apply(prepare).play(DURATION_MILLIS).also { println("$name, seed $seed, $isLoadAware: $it") }
            }
    }

    private val slowUpstream =
        Case("slow") {
            at(FAULT_MILLIS) { upstream(1).slowness = 5.0 }
            at(FAULT_END_MILLIS) { upstream(1).slowness = 1.0 }
        }

    // Guards against a slow upstream that keeps its share of the requests, so that they wait in its queue while others are idle.
    @Test
    fun `a slow upstream gets fewer requests`() {
        val before = slowUpstream.play(false)
        val after = slowUpstream.play(true)
        expectThat(after.sumOf { it.late } * 2).describedAs("late").isLessThan(before.sumOf { it.late })
        expectThat(after.maxOf { it.busiestToMean }).isLessThan(before.minOf { it.busiestToMean })
    }

    // Guards against gateways that all send to the upstreams of the near zone, and against those that all send to the one
    // with the lowest load of the last gossip round.
    @Test
    fun `a burst is spread over all upstreams`() {
        val burst = Case("burst, one zone is near", oneZoneIsNear, BURST)
        val before = burst.play(false)
        val after = burst.play(true)
        expectThat(after.maxOf { it.busiestToMean }).isLessThan(before.minOf { it.busiestToMean })
        expectThat(after.map { it.p99 }.average()).isLessThan(before.map { it.p99 }.average())
        expectThat(after.sumOf { it.rejections }).describedAs("rejections").isEqualTo(0)
    }

    // Guards against a selection that costs callers more than it saves them where all upstreams are equal or one is gone.
    @TestFactory
    fun `few responses are later than before`(): List<DynamicTest> =
        listOf(
            Case("even"),
            Case("one zone is near", oneZoneIsNear),
            Case("crash") { at(FAULT_MILLIS) { crash(1) } },
            Case("burst", requestsPerSecond = BURST),
        ).map { case ->
            dynamicTest(case.name) {
                val before = case.play(false)
                val after = case.play(true)
                expectThat(after.sumOf { it.late }).describedAs("late").isLessThanOrEqualTo(before.sumOf { it.late })
                expectThat(after.sumOf { it.rejections }).isLessThanOrEqualTo(before.sumOf { it.rejections })
                expectThat(after.map { it.mean }.average()).isLessThan(before.map { it.mean }.average() + ZONE_MILLIS)
            }
        }

    // Guards against refusals while an upstream has free slots, and against attempts at upstreams that are known to be full.
    @Test
    fun `requests are refused only while all upstreams are full`() {
        val overload = Case("overload", requestsPerSecond = OVERLOAD)
        val before = overload.play(false)
        val after = overload.play(true)
        expectThat(after.sumOf { it.refused }).describedAs("refused").isGreaterThan(0)
        expectThat(after.sumOf { it.refusedWithFreeSlots }).describedAs("with free slots").isEqualTo(0)
        expectThat(after.sumOf { it.rejections }).describedAs("rejected").isLessThan(before.sumOf { it.rejections })
        expectThat(
            after.sumOf { it.responseMillis.size } * 100,
        ).isGreaterThan(before.sumOf { it.responseMillis.size } * 99)
    }

    // Guards against gateways that decide worse than before when gossip is lost or a partition divides them.
    @TestFactory
    fun `lost gossip does not make a slow upstream worse`(): List<DynamicTest> =
        listOf<Pair<String, (Int, Int) -> Boolean>>(
            "all messages are lost" to { _, _ -> false },
            "half of the gateways are cut off from the others" to { from, to -> from % 2 == to % 2 },
        ).map { (name, delivered) ->
            dynamicTest(name) {
                val case =
                    Case(name) {
                        delivers = delivered
                        slowUpstream.prepare(this)
                    }
                val before = case.play(false)
                val after = case.play(true)
                expectThat(after.sumOf { it.late }).describedAs("late").isLessThanOrEqualTo(before.sumOf { it.late })
            }
        }

    // Guards against an estimate that counts only the own requests, or requests of other gateways several times.
    @Test
    fun `a gateway estimates the requests in progress of all gateways`() {
        var estimated = 0.0
        var actual = 0.0
        val replay = ServiceReplay(isLoadAware = true, GATEWAYS, requestsPerSecond = BURST, seed = 1)
        for (millis in FAULT_MILLIS..FAULT_END_MILLIS step 50) {
            replay.at(millis) {
                estimated += replay.estimateOf(gateway = 3)
                actual += replay.requestsInProgress
            }
        }
        replay.play(DURATION_MILLIS)
        println("estimated $estimated, actual $actual")
        expectThat(estimated / actual).isIn(0.8..1.25)
    }

    private companion object {
        const val GATEWAYS = 28

        /** Both ways between zones in the replay: the price of a request to another zone. */
        const val ZONE_MILLIS = 2 * ServiceReplay.REMOTE_MILLIS
    }
}
