/*
 * The detection of silent upstreams and their exclusion from placement.
 */
package org.primrosesill.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.enginePool
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val UPSTREAMS = 6

private val upstreams = List(UPSTREAMS) { testUpstream("engine-$it", enginePool, "a") }
private val engine = upstreams.first().id

private class Observer {
    var now = 0L
    val activity = UpstreamActivity { now }
    val silent = SilentUpstreams("self", activity) { now }

    fun excluded(): List<UpstreamId> = (upstreams - silent.withoutSilent(upstreams).toSet()).map { it.id }

    fun isSilentAt(millis: Long): Boolean {
        now = millis
        return activity.isSilent(engine)
    }
}

class SilentUpstreamsTest {
    private class Case(
        val name: String,
        val reports: List<SilenceReport>,
        val lastDataMillis: Long? = null,
        val expected: Int,
    )

    // Guards against a single router, partitioned from a healthy upstream, whose reports exclude it for all routers, and
    // against reports that exclude so much of a pool that too few upstreams are left.
    @TestFactory
    fun `upstreams are excluded on recent reports of several routers unless data arrives`(): List<DynamicTest> {
        fun report(reporter: String, ageMillis: Long = 0) = SilenceReport(engine, reporter, ageMillis)
        val ofThree =
            upstreams.take(3).flatMap { listOf(SilenceReport(it.id, "r1", 0), SilenceReport(it.id, "r2", 0)) }
        return listOf(
            Case("two reporters", listOf(report("r1"), report("r2")), expected = 1),
            Case("one reporter", listOf(report("r1")), expected = 0),
            Case("one reporter, twice", listOf(report("r1"), report("r1", 100)), expected = 0),
            Case("one of two reports has expired", listOf(report("r1"), report("r2", 2_600)), expected = 0),
            Case("a peer forwards the report of this router", listOf(report("r1"), report("self")), expected = 0),
            Case(
                "data arrived recently",
                listOf(report("r1"), report("r2")),
                lastDataMillis = 9_900,
                expected = 0,
            ),
            Case("data arrived long ago", listOf(report("r1"), report("r2")), lastDataMillis = 1, expected = 1),
            Case("half of the pool is reported", ofThree, expected = 0),
        ).map { case ->
            dynamicTest(case.name) {
                val observer = Observer()
                case.lastDataMillis?.let {
                    observer.now = it
                    observer.activity.recordData(engine)
                }
                observer.now = 10_000
                observer.silent.addReports(case.reports)
                expectThat(observer.excluded().size).isEqualTo(case.expected)
            }
        }
    }

    // Guards against an upstream that is excluded forever, and against a silent upstream that is never detected.
    @Test
    fun `an upstream without data counts as silent for a limited time`() {
        val observer = Observer()
        observer.activity.recordStart(engine, tokens = 0)
        val first = listOf(1_000L, 1_300, 4_100, 4_300).map(observer::isSilentAt)
        expectThat(first).isEqualTo(listOf(false, true, true, false))
        observer.now = 5_000
        observer.activity.recordStart(engine, tokens = 0)
        expectThat(listOf(6_000L, 6_300).map(observer::isSilentAt)).isEqualTo(listOf(false, true))
        observer.activity.recordData(engine)
        expectThat(observer.isSilentAt(6_400)).isEqualTo(false)
    }

    // Guards against a silent upstream that is reported as new on each call, or never.
    @Test
    fun `a silent upstream is returned as new once`() {
        val observer = Observer()
        observer.activity.recordStart(engine, tokens = 0)
        observer.now = 1_300
        expectThat(List(2) { observer.silent.changes().detected }).isEqualTo(listOf(setOf(engine), emptySet()))
        val second = UpstreamId("engine-1")
        observer.activity.recordStart(second, tokens = 0)
        observer.silent.addReports(listOf("r1", "r2").map { SilenceReport(second, it, 0) })
        expectThat(List(2) { observer.silent.changes().confirmed }).isEqualTo(listOf(setOf(second), emptySet()))
        observer.now = 2_600
        expectThat(observer.silent.changes().detected).isEqualTo(setOf(second))
        val reporters =
            observer.silent
                .reports()
                .filter { it.upstream == second }
                .map { it.reporter }
        expectThat(reporters.toSet()).isEqualTo(setOf("self", "r1", "r2"))
    }
}
