/*
 * How fast all gateways of a fleet block a prompt part, and how many engines crash on it until then.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.Prompt
import org.primrosesill.placement.PromptPart
import org.primrosesill.placement.PromptPartId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val SEED = 20261205
private const val SETTLE_MILLIS = 4_000L
private const val LOAD_MILLIS = 6_000L

class CrashEvidencePropagationTest {
    private class Case(val gateways: Int, val zones: Int, val intervalMillis: Long, val allowedAfterFifthMillis: Long)

    private fun prompt(vararg shared: String) =
        Prompt((shared.toList() + "own").map { PromptPart(PromptPartId(it), 10) }, 30, 10)

    // Guards against evidence that stays at the few gateways that saw a crash, so that the others send more such requests.
    @TestFactory
    fun `requests with a part that crashes engines stop at all gateways`(): List<DynamicTest> =
        listOf(
            Case(gateways = 1, zones = 1, intervalMillis = 1_200, allowedAfterFifthMillis = 3_000),
            Case(gateways = 8, zones = 3, intervalMillis = 1_200, allowedAfterFifthMillis = 3_000),
            Case(gateways = 84, zones = 4, intervalMillis = 150, allowedAfterFifthMillis = 4_000),
            Case(gateways = 84, zones = 4, intervalMillis = 50, allowedAfterFifthMillis = 4_000),
        ).map { case ->
            dynamicTest("${case.gateways} gateways, one request in ${case.intervalMillis} ms") { play(case) }
        }

    private fun play(case: Case) =
        runTest {
            val random = Random(SEED)
            val fleet = SimulatedFleet(SimulatedFleetSettings(case.gateways, case.zones), this)
            fleet.start()
            delay(SETTLE_MILLIS)
            fleet.nodes.forEach { node ->
                repeat(4) { node.crashingParts.recordCompleted(prompt("first-$it", "sound-$it")) }
            }
            val crashTimes = ArrayList<Long>()
            val end = currentTime + LOAD_MILLIS
            var rejectedSound = 0
            var number = 0
            while (currentTime < end) {
                number++
                val node = fleet.sample(1, random).single()
                val crashing = prompt("first-${number % 4}", "bad")
                if (node.crashingParts.blockedPart(crashing) == null) {
                    crashTimes += currentTime
                    node.crashingParts.recordCrash(crashing, UpstreamId("engine-$number"))
                    node.loop.broadcastCrashEvidence()
                    val bystander = fleet.sample(1, random).single()
                    bystander.crashingParts.recordCrash(
                        prompt("first-${random.nextInt(4)}", "sound-${random.nextInt(50)}"),
                        UpstreamId("engine-$number"),
                    )
                    bystander.loop.broadcastCrashEvidence()
                }
                val other = fleet.sample(1, random).single()
                val sound = prompt("first-${random.nextInt(4)}", "sound-${random.nextInt(50)}")
                if (other.crashingParts.blockedPart(sound) != null) rejectedSound++
                other.crashingParts.recordCompleted(sound)
                delay(case.intervalMillis)
            }
            val fifth = crashTimes.getOrElse(4) { Long.MAX_VALUE / 2 }
            val late = crashTimes.count { it > fifth + case.allowedAfterFifthMillis }
            println(
                "${case.gateways} gateways, ${case.intervalMillis} ms: ${crashTimes.size} crashes within " +
                    "${crashTimes.last() - crashTimes.first()} ms, $rejectedSound of $number sound requests rejected",
            )
            expectThat(late).describedAs("requests after the fifth crash and its delay").isLessThanOrEqualTo(3)
            expectThat(rejectedSound).describedAs("sound requests rejected").isEqualTo(0)
        }

    // Guards against gateways that flood each other with evidence when many engines fail at once under load. Occurred with 69
    // gateways, each of which passed on what it received and used twice as much of its processor for the rest of the day.
    @Test
    fun `a failure of many engines causes one message for each request that it ends`() =
        runTest {
            val random = Random(SEED)
            val fleet = SimulatedFleet(SimulatedFleetSettings(FLEET_GATEWAYS, FLEET_ZONES), this)
            fleet.start()
            delay(SETTLE_MILLIS)
            val idle = fleet.datagramsIn(OBSERVED_MILLIS) { }
            repeat(ENDED_REQUESTS) { number ->
                val node = fleet.sample(1, random).single()
                val prompt = prompt("first-${random.nextInt(4)}", "sound-${random.nextInt(50)}")
                node.crashingParts.recordCrash(prompt, UpstreamId("engine-${number % 15}"))
                node.loop.broadcastCrashEvidence()
            }
            val loaded =
                fleet.datagramsIn(OBSERVED_MILLIS) {
                    val node = fleet.sample(1, random).single()
                    node.crashingParts.recordCompleted(
                        prompt("first-${random.nextInt(4)}", "sound-${random.nextInt(50)}"),
                    )
                }
            println("$idle datagrams without a failure, $loaded after it")
            val receivers = FLEET_GATEWAYS / FLEET_ZONES + FLEET_ZONES
            expectThat(loaded - idle).isLessThanOrEqualTo(ENDED_REQUESTS * receivers)
            expectThat(fleet.nodes.count { it.crashingParts.blockedCount > 0 }).isEqualTo(0)
        }

    /** Returns the number of datagrams sent within [millis], while [work] runs every 5 ms. */
    private suspend fun SimulatedFleet.datagramsIn(millis: Long, work: () -> Unit): Int {
        val before = datagrams
        repeat((millis / 5).toInt()) {
            work()
            delay(5)
        }
        return datagrams - before
    }

    private companion object {
        const val FLEET_GATEWAYS = 84
        const val FLEET_ZONES = 4
        const val ENDED_REQUESTS = 90
        const val OBSERVED_MILLIS = 3_000L
    }
}
