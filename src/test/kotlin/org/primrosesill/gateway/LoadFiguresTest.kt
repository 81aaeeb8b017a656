/*
 * The figures of load reports in gossip messages.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.load.LoadObservation
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import kotlin.math.abs

class LoadFiguresTest {
    private fun observation(waiting: Int?, slowness: Double?) =
        LoadObservation(UpstreamId("engine"), 3, 0, null, waiting, slowness)

    // Guards against figures that arrive as other ones, or as known ones where nothing is known.
    @TestFactory
    fun `figures are decoded as they were encoded`(): List<DynamicTest> =
        listOf(0 to 0, 1 to 1, 62 to 62, 63 to 62, 5_000 to 62, -1 to 0).map { (waiting, decoded) ->
            dynamicTest("$waiting waiting") {
                val text = encodeWaiting(listOf(observation(null, null), observation(waiting, null)))
                expectThat(List(3) { decodeWaiting(text, it) }).isEqualTo(listOf(null, decoded, null))
            }
        } +
            listOf(0.1 to 0.5, 0.5 to 0.5, 1.0 to 1.0, 7.5 to 7.5, 90.0 to 16.0).map { (slowness, decoded) ->
                dynamicTest("$slowness times the usual time") {
                    val text = encodeSlowness(listOf(observation(null, null), observation(null, slowness)))
                    val error = decodeSlowness(text, 1)?.let { abs(it / decoded - 1) }
                    expectThat(decodeSlowness(text, 0)).isEqualTo(null)
                    expectThat(error).isNotNull().isLessThan(0.03)
                }
            }

    // Guards against messages that grow without any figure in them, and against those of earlier releases, which have none.
    @Test
    fun `unknown figures take no space`() {
        val observations = List(3) { observation(null, null) }
        expectThat(encodeWaiting(observations) + encodeSlowness(observations)).isEqualTo("")
        expectThat(decodeWaiting("", 0)).isEqualTo(null)
        expectThat(decodeSlowness("?", 0)).isEqualTo(null)
    }
}
