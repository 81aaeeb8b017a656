/*
 * The speeds that a gateway learns from reports, from measured durations and from the observations of peers.
 */
package org.primrosesill.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.math.E
import kotlin.time.Duration.Companion.milliseconds

private val pool = PoolId("chat")
private val engine = UpstreamId("engine-0")

class UpstreamSpeedsTest {
    private var now = 100_000L
    private var enabled = true
    private val speeds = upstreamSpeeds({ enabled }, { now })
    private var reports = 0

    private fun report(slowness: Double) = speeds.recordReported(engine, slowness, ReportId(++reports))

    private fun gossip(slowness: Double?, ageMillis: Long = 0, report: Int? = ++reports) =
        speeds.merge(listOf(LoadObservation(engine, 3, ageMillis, report?.let(::ReportId), slowness = slowness)))

    private class Case(val name: String, val expected: Double, val observe: UpstreamSpeedsTest.() -> Unit)

    // Guards against an average that follows a single report, counts copies of one, or keeps a fault that has ended.
    @TestFactory
    fun `the slowness is the average of the recent observations`(): List<DynamicTest> =
        listOf(
            Case("nothing is known", 1.0) {},
            Case("one report", 7.0) { report(7.0) },
            Case("reports that agree", 7.0) { repeat(9) { report(7.0).also { now += 100 } }.also { now -= 100 } },
            Case("reports of one moment", 4.0) { listOf(1.0, 7.0).forEach(::report) },
            Case("a later report weighs more", (1 / E + 7) / (1 / E + 1)) {
                report(1.0)
                now += 1_000
                report(7.0)
            },
            Case("an older observation of a peer weighs less", (7 + 1 / E) / (1 + 1 / E)) {
                report(7.0)
                gossip(1.0, ageMillis = 1_000)
            },
            Case("copies of a report count once", 4.0) {
                gossip(1.0, report = 5)
                repeat(9) { gossip(7.0, report = 6) }
            },
            Case("an observation of an older release, without report", 1.0) { gossip(7.0, report = null) },
            Case("an observation without slowness", 1.0) { gossip(null) },
            Case("a report beyond what gossip can encode", 16.0) { report(1_000.0) },
            Case("3 s without observations", 1 + 6 / E) { report(7.0).also { now += 3_000 } },
            Case("a minute without observations", 1.0) { report(7.0).also { now += 60_000 } },
            Case("an upstream that restarts has a new id", 1.0) { report(7.0).also { speeds.retain(emptySet()) } },
            Case("the setting is off when it is observed", 1.0) {
                enabled = false
                report(7.0)
                enabled = true
            },
            Case("the setting is off when it is used", 1.0) { report(7.0).also { enabled = false } },
        ).map { case ->
            dynamicTest(case.name) {
                with(UpstreamSpeedsTest()) {
                    case.observe(this)
                    expectThat(speeds.slowness(engine)).isIn(case.expected - 1e-6..case.expected + 1e-6)
                }
            }
        }

    // Guards against an average without its uncertainty: a machine that is 2.5 times as slow for 600 ms of every 4 s.
    @Test
    fun `a slowness that changes often has a dispersion and an age`() {
        var sum = 0.0
        repeat(400) {
            report(if (now % 4_000 < 600) 2.5 else 1.0)
            sum += speeds.slowness(engine)
            now += 100
        }
        expectThat(sum / 400).isIn(1.2..1.25)
        repeat(6) { report(2.5).also { now += 100 } }
        val estimate = checkNotNull(speeds.estimate(engine))
        expectThat(estimate.dispersion).isIn(0.5..0.8)
        expectThat(estimate.ageMillis).isEqualTo(100)
    }

    private class PoolCase(
        val name: String,
        val upstreams: Int,
        val slow: Int,
        val factor: Double,
        val expected: Double,
    )

    // Guards against a slow upstream that is not found since it has most of the measurements, and against upstreams that count
    // as slow because the whole pool is.
    @TestFactory
    fun `measured durations are compared with the median of the pool`(): List<DynamicTest> =
        listOf(
            PoolCase("11 of 98 are slow", 98, 11, 7.5, expected = 7.5),
            PoolCase("one of three is slow", 3, 1, 7.0, expected = 7.0),
            PoolCase("two of four are slow", 4, 2, 7.0, expected = 7.0),
            PoolCase("all are equally slow", 98, 98, 7.5, expected = 1.0),
            PoolCase("none is slow", 98, 0, 7.5, expected = 1.0),
            PoolCase("one of two is slow, and it is not known which", 2, 1, 7.0, expected = 1.0),
        ).flatMap { case ->
            val measurements: Map<String, SpeedObservations.(UpstreamId, Double) -> Unit> =
                mapOf(
                    "events" to { id, factor -> recordEventInterval(pool, id, 6.12.milliseconds * factor) },
                    "response times" to {
                        id,
                        factor,
                        ->
                        recordResponseTime(pool, "book", id, 43.milliseconds * factor)
                    },
                )
            measurements.map { (kind, measure) ->
                dynamicTest("${case.name}, $kind") { expectThat(measured(case, measure)).isIn(0.99..1.01) }
            }
        }

    /** Returns the slowness of the first upstream relative to the expected one. */
    private fun measured(case: PoolCase, measure: SpeedObservations.(UpstreamId, Double) -> Unit): Double {
        val speeds = upstreamSpeeds({ true }, { now })
        repeat(5) {
            for (index in 0 until case.upstreams) {
                val isSlow = index < case.slow
                // A slow upstream has more streams in flight, each of which is measured.
                val id = UpstreamId("engine-$index")
                repeat(if (isSlow) 7 else 1) { speeds.measure(id, if (isSlow) case.factor else 1.0) }
            }
            now += 1_000
        }
        now -= 1_000
        return speeds.slowness(engine) / case.expected
    }

    private class PrefillCase(val name: String, val prompts: List<Pair<Int, Double>>, val expected: Double)

    // Guards against a rate that is learned from waiting, from cached prompts, or from the network delay of short ones.
    @TestFactory
    fun `the prefill rate is the median of prompts that are long enough`(): List<DynamicTest> {
        val usual = List(9) { 9_200 to 9_200 / 91.8 }
        val waited = List(3) { 9_200 to 2_000.0 }
        val cached = List(3) { 9_200 to 9.2 }
        return listOf(
            PrefillCase("none", emptyList(), 35.0),
            PrefillCase("four prompts", usual.take(4), 35.0),
            PrefillCase("five prompts", usual.take(5), 91.8),
            PrefillCase("some waited, some were cached", waited + usual + cached, 91.8),
            PrefillCase("short prompts", List(20) { 580 to 30.0 }, 35.0),
            PrefillCase("implausible durations", List(20) { 9_200 to if (it % 2 == 0) 0.1 else 60_000.0 }, 35.0),
            PrefillCase("the pool becomes faster", List(63) { 9_200 to 300.0 } + List(63) { usual[0] }, 91.8),
        ).map { case ->
            dynamicTest(case.name) {
                val speeds = upstreamSpeeds({ true }, { now })
                case.prompts.forEach { (tokens, millis) ->
                    speeds.recordPrefill(pool, engine, tokens, millis.milliseconds)
                }
                expectThat(speeds.prefillTokensPerMillisecond(pool)).isIn(case.expected * 0.999..case.expected * 1.001)
                expectThat(speeds.prefillTokensPerMillisecond(PoolId("other"))).isEqualTo(35.0)
            }
        }
    }

    // Guards against a rate that is too low because the prompts were prefilled by slow engines.
    @Test
    fun `the prefill rate is that of an engine at the usual speed`() {
        report(7.0)
        repeat(9) { speeds.recordPrefill(pool, engine, 9_200, (7 * 9_200 / 91.8).milliseconds) }
        expectThat(speeds.prefillTokensPerMillisecond(pool)).isIn(91.7..91.9)
    }

    private class SentCase(val name: String, val ageMillis: Long, val slowness: Double?, val sent: Double)

    // Guards against measurements that replace a newer report, or look newer each time that they are passed on.
    @TestFactory
    fun `a measurement is sent in place of an older slowness`(): List<DynamicTest> =
        listOf(
            SentCase("a newer report without slowness", ageMillis = 0, slowness = null, sent = 7.0),
            SentCase("a newer report with its slowness", ageMillis = 0, slowness = 1.0, sent = 1.0),
            SentCase("an older report without slowness", ageMillis = 1_900, slowness = null, sent = 7.0),
            SentCase("an older report with an older slowness", ageMillis = 1_900, slowness = 1.0, sent = 7.0),
        ).map { case ->
            dynamicTest(case.name) {
                measureSlowEngine()
                now += 300
                val observation = LoadObservation(engine, 3, case.ageMillis, ReportId(9), slowness = case.slowness)
                val slowness = checkNotNull(speeds.withMeasured(listOf(observation)).single().slowness)
                expectThat(slowness).isIn(case.sent - 1e-6..case.sent + 1e-6)
            }
        }

    private fun measureSlowEngine() {
        repeat(5) { speeds.recordEventInterval(pool, UpstreamId("engine-$it"), 6.milliseconds) }
        now += 5_000
        repeat(5) {
            speeds.recordEventInterval(
                pool,
                UpstreamId("engine-$it"),
                if (it ==
                    0
                ) {
                    42.milliseconds
                } else {
                    6.milliseconds
                },
            )
        }
    }

    // Guards against measurements that are sent long after they were made, without a report, or counted on their return.
    @Test
    fun `a measurement is sent for one round and not counted on its return`() {
        measureSlowEngine()
        val observation = LoadObservation(engine, 3, 0, ReportId(9))
        val sent = speeds.withMeasured(listOf(observation)).single()
        val before = speeds.slowness(engine)
        now += 100
        speeds.merge(listOf(sent.copy(slowness = 7.1, ageMillis = 100)))
        now -= 100
        expectThat(speeds.slowness(engine)).isEqualTo(before)
        expectThat(speeds.withMeasured(listOf(observation.copy(report = null))).single().slowness).isEqualTo(null)
        now += 1_000
        expectThat(speeds.withMeasured(listOf(observation)).single().slowness).isEqualTo(null)
    }

    // Guards against placements that change because a whole pool is slow.
    @Test
    fun `the relative slowness of equally slow upstreams is 1`() {
        val ids = List(5) { UpstreamId("engine-$it") }
        expectThat(speeds.relativeSlowness(emptyList())).isEqualTo(emptyMap())
        ids.forEach { speeds.recordReported(it, 2.5, ReportId(1)) }
        expectThat(speeds.relativeSlowness(ids)).isEqualTo(emptyMap())
        speeds.recordReported(engine, 10.0, ReportId(2))
        expectThat(speeds.relativeSlowness(ids).getValue(engine)).isEqualTo(2.5)
        expectThat(speeds.relativeSlowness(ids).getValue(ids[1])).isEqualTo(1.0)
    }
}
