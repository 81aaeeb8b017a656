/*
 * Placement in a large fleet whose routers learn loads late and send requests late, while engines join and leave.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

private const val ROUTERS = 84
private const val ENGINES = 98
private const val EXCHANGE_MILLIS = 400L
private const val LOAD_MILLIS = 25_000L

private const val JOINED_ENGINES = 20
private const val SCALE_OUT_START_MILLIS = 9_000L
private const val SCALE_OUT_INTERVAL_MILLIS = 50L
private const val RELEASE_START_MILLIS = 11_000L
private const val RELEASE_INTERVAL_MILLIS = 1_500L
private const val RELEASE_STOP_DELAY_MILLIS = 400L
private const val COLD_MILLIS = 3_000L

private const val LATE_FROM_MILLIS = 13_000L
private const val LATE_UNTIL_MILLIS = 22_000L
private const val LOAD_BOUND_WINDOW_MILLIS = 5_000L

/** Few subjects are much more popular than others, or a tenth of them get nearly half of the requests. */
private const val DAY_POPULARITY = 1.4
private const val HIGH_POPULARITY = 3.0
private const val GROUP_SIZE = 3

/** About 500 requests a second, as in the deployment of the incident. */
private val kinds =
    listOf(
        ReplayKind("draft", 143.0, 275, 2_520, 6_100, 580, 500),
        ReplayKind("question", 196.0, 564, 341, 1_700, 360, 300),
        ReplayKind("chat", 161.0, 694, 103, 500, 110, 1_500),
    )

/** @property reports, requests, responses how late they are, in milliseconds */
private class Lateness(val reports: Long, val requests: Long, val responses: Long) {
    override fun toString() = "reports $reports ms, requests $requests ms, responses $responses ms late"
}

private val onTime = Lateness(0, 0, 0)
private val lateReports = Lateness(1_000, 0, 0)
private val lateRequests = listOf(Lateness(600, 300, 0), Lateness(1_000, 300, 0), Lateness(1_000, 300, 300))

class LateNewsTest {
    private fun play(lateness: Lateness, popularity: Double, seed: Long): ReplayResult {
        val load =
            replayLoad(
                kinds,
                LOAD_MILLIS,
                ROUTERS,
                seed,
                popularity = popularity,
                groupSize = GROUP_SIZE,
                variableResponses = true,
            )
        val lateNews =
            LateNews(LATE_FROM_MILLIS, LATE_UNTIL_MILLIS, lateness.reports, lateness.requests, lateness.responses)
        val engines = PlacementReplay.engines(ENGINES)
        return PlacementReplay(Policy.PRODUCT, ROUTERS, engines, seed, EXCHANGE_MILLIS, lateNews = lateNews)
            .apply { scaleOutAndRelease() }
            .play(load)
    }

    /** Adds engines within a second; then one engine starts, and another leaves, in each interval of the release. */
    private fun PlacementReplay.scaleOutAndRelease() {
        repeat(JOINED_ENGINES) {
            at(SCALE_OUT_START_MILLIS + it * SCALE_OUT_INTERVAL_MILLIS) { startEngine(ENGINES + it, COLD_MILLIS) }
        }
        for ((number, millis) in (RELEASE_START_MILLIS until LOAD_MILLIS step RELEASE_INTERVAL_MILLIS).withIndex()) {
            at(millis) { startEngine(ENGINES + JOINED_ENGINES + number, COLD_MILLIS) }
            at(millis + RELEASE_STOP_DELAY_MILLIS) { drainEngines(1) }
        }
    }

    private fun cases(latenesses: List<Lateness>, popularity: Double): List<DynamicTest> =
        latenesses.flatMap { lateness ->
            (1L..4L).map { seed ->
                dynamicTest("$lateness, popularity $popularity, seed $seed") {
                    val result = play(lateness, popularity, seed)
                    val worst =
                        result.worstOverLoadBound(
                            LOAD_BOUND_WINDOW_MILLIS,
                            fromMillis = LATE_FROM_MILLIS - LOAD_BOUND_WINDOW_MILLIS,
                        )
                    println(
                        "$lateness, popularity $popularity, seed $seed: worst window $worst, over the load bound " +
                            "${result.overLoadBound} of ${result.requests} (${result.overLoadBoundByAge} of " +
                            "${result.requestsByAge}), prefill late ${result.late}",
                    )
                    expectThat(worst).describedAs("over the load bound").isLessThanOrEqualTo(0.03)
                }
            }
        }

    // Guards against engines with over twice the mean load and three requests more, because routers that are short of processor
    // time decide on old loads and send the requests late.
    @TestFactory
    fun `a large fleet keeps engines below the load bound while its news is late`(): List<DynamicTest> =
        cases(listOf(lateRequests.last()), DAY_POPULARITY)

    // Guards against the same where few subjects get most of the requests and only the reports are late.
    @TestFactory
    fun `a large fleet spreads popular subjects while reports are late`(): List<DynamicTest> =
        cases(listOf(onTime, lateReports), HIGH_POPULARITY)

    // Guards against the same where the requests are late as well, so that the load has changed when they arrive.
    @TestFactory
    fun `a large fleet spreads popular subjects while reports and requests are late`(): List<DynamicTest> =
        cases(lateRequests, HIGH_POPULARITY)
}
