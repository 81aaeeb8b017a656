/*
 * The load that a router computes for an upstream from its own requests, the counts of other routers and the loads that
 * upstreams report.
 */
package org.primrosesill.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private val engine = UpstreamId("engine")
private val first = RouterId("first")
private val second = RouterId("second")

private const val EXCHANGE_MILLIS = 400L

class UpstreamLoadsTest {
    private class Case(
        val name: String,
        val expected: Set<RouterId>?,
        val counts: Map<RouterId, Int>,
        val ageMillis: Long,
        val load: Int,
    )

    // Guards against a load that lacks the requests of other routers, because their counts are missing or expired or the
    // fleet is large.
    @TestFactory
    fun `the load is the sum of all counts if none is missing or expired`(): List<DynamicTest> =
        listOf(
            Case("no other router", emptySet(), emptyMap(), 0, load = 1),
            Case("all counts are fresh", setOf(first, second), mapOf(first to 2, second to 3), 400, load = 6),
            Case("one count is missing", setOf(first, second), mapOf(first to 2), 0, load = 9),
            Case("the counts have expired", setOf(first, second), mapOf(first to 2, second to 3), 1_400, load = 9),
            Case("the fleet is large", null, mapOf(first to 2, second to 3), 0, load = 9),
            Case("a count from an unexpected router", setOf(first), mapOf(first to 2, second to 3), 0, load = 3),
        ).map { case ->
            dynamicTest(case.name) {
                var now = 0L
                val activity = UpstreamActivity { now }
                val loads = UpstreamLoads(activity) { now }
                loads.expectCounts(case.expected)
                case.counts.forEach { (router, count) -> loads.recordCounts(router, mapOf(engine to count)) }
                activity.recordStart(engine, tokens = 0)
                now = case.ageMillis
                loads.recordReported(engine, ReportedLoad(9, 0, 48))
                expectThat(loads.estimates(listOf(engine))[engine].inFlight).isEqualTo(case.load)
            }
        }

    private class SourceCase(
        val name: String,
        val reportAgeMillis: Long?,
        val small: Boolean,
        val expected: LoadEstimate,
    )

    // Guards against an event log from which an old or missing report cannot be told from a recent one.
    @TestFactory
    fun `an estimate states its source and age`(): List<DynamicTest> =
        listOf(
            SourceCase("a recent report", 500, small = false, LoadEstimate(9, LoadSource.REPORT, 500, waiting = 0)),
            SourceCase("an expired report", 3_000, small = false, LoadEstimate(1, LoadSource.NO_REPORT, 0)),
            SourceCase("no report", null, small = false, LoadEstimate(1, LoadSource.NO_REPORT, 0)),
            SourceCase("a small fleet", 500, small = true, LoadEstimate(1, LoadSource.EXCHANGED_COUNTS, 0)),
        ).map { case ->
            dynamicTest(case.name) {
                var now = 0L
                val activity = UpstreamActivity { now }
                val loads = UpstreamLoads(activity) { now }
                if (case.small) loads.expectCounts(emptySet())
                activity.recordStart(engine, tokens = 0)
                case.reportAgeMillis?.let {
                    loads.recordReported(engine, ReportedLoad(9, 0, 48))
                    now = it
                }
                expectThat(loads.estimates(listOf(engine))[engine]).isEqualTo(case.expected)
            }
        }

    private class MissingReportCase(
        val name: String,
        val expected: Set<RouterId>?,
        val load: Int,
        val average: Double,
        val mean: Double,
    )

    // Guards against a mean that is too high in a large fleet, as idle engines send no responses and so no reports; and against
    // an engine that all routers of a small fleet prefer while counts are missing, as it seems idle.
    @TestFactory
    fun `an upstream without a recent report is idle unless counts are missing`(): List<DynamicTest> =
        listOf(
            MissingReportCase("the fleet is large", null, load = 0, average = 0.0, mean = 10.0 / 3),
            MissingReportCase("a count is missing", setOf(first), load = 6, average = 6.0, mean = 6.0),
        ).map { case ->
            dynamicTest(case.name) {
                val loads = UpstreamLoads(UpstreamActivity { 0 }) { 0 }
                loads.expectCounts(case.expected)
                loads.recordReported(UpstreamId("first"), ReportedLoad(4, 0, 48))
                loads.recordReported(UpstreamId("second"), ReportedLoad(8, 0, 48))
                val estimates = loads.estimates(listOf(UpstreamId("first"), UpstreamId("second"), engine))
                expectThat(estimates[engine].inFlight).isEqualTo(case.load)
                expectThat(estimates.averageOf(engine)).isEqualTo(case.average)
                expectThat(estimates.mean).isEqualTo(case.mean)
            }
        }

    // Guards against an average that is one request too high, as each report includes the request of its response.
    @Test
    fun `the average load excludes the request with whose response it was reported`() {
        val loads = UpstreamLoads(UpstreamActivity { 0 }) { 0 }
        loads.recordReported(engine, ReportedLoad(4, 0, 48))
        val estimates = loads.estimates(listOf(engine))
        expectThat(estimates[engine].inFlight).isEqualTo(4)
        expectThat(estimates.averageOf(engine)).isEqualTo(3.0)
    }

    // Guards against routers that all send to the engine whose last report is the lowest, however old the report is, and
    // against an engine with many popular parts that counts as average as soon as its last report is old.
    @TestFactory
    fun `an older report is closer to the average of its upstream`(): List<DynamicTest> =
        listOf(0L to 11, 1_000L to 7, 2_900L to 5).map { (ageMillis, expected) ->
            dynamicTest("$ageMillis ms") {
                var now = 0L
                val loads = UpstreamLoads(UpstreamActivity { now }) { now }
                repeat(20) {
                    loads.recordReported(engine, ReportedLoad(2, 0, 48))
                    now += 1_000
                }
                loads.recordReported(engine, ReportedLoad(11, 0, 48))
                now += ageMillis
                expectThat(loads.estimates(listOf(engine))[engine].inFlight).isEqualTo(expected)
            }
        }

    // Guards against a report that routers pass to each other again and again as a newer one, since its age does not include the
    // time that a message waits to be read.
    @TestFactory
    fun `a report that returns from another router is not taken again`(): List<DynamicTest> =
        listOf(0L, 300L, 1_000L).map { delayMillis ->
            dynamicTest("messages wait for $delayMillis ms") {
                var now = 0L
                val loads = UpstreamLoads(UpstreamActivity { now }) { now }
                val peer = UpstreamLoads(UpstreamActivity { now }) { now }
                loads.recordReported(engine, ReportedLoad(9, 0, 48))
                for ((sender, recipient) in listOf(loads to peer, peer to loads)) {
                    now += EXCHANGE_MILLIS
                    val message = sender.recentObservations()
                    now += delayMillis
                    recipient.merge(message)
                }
                expectThat(loads.estimates(listOf(engine))[engine].ageMillis).isEqualTo(now)
            }
        }
}
