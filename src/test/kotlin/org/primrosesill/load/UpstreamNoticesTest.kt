/*
 * Which upstreams may get a request after the notices in their responses.
 */
package org.primrosesill.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.forwarding.testUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DRAIN_MILLIS = 2_000L

class UpstreamNoticesTest {
    private var now = 1_000L
    private val notices = UpstreamNotices({ DRAIN_MILLIS }, { now })
    private val first = testUpstream("u1")
    private val second = testUpstream("u2")

    private fun accepting(vararg upstreams: KnownUpstream) = notices.accepting(upstreams.toList()).map { it.id.value }

    private class Case(
        val name: String,
        val afterMillis: Long,
        val accepted: List<String>,
        val notify: UpstreamNoticesTest.() -> Unit,
    )

    // Guards against requests to an upstream that is leaving or has requested a pause.
    @TestFactory
    fun `only upstreams that are neither leaving nor paused get requests`(): List<DynamicTest> =
        listOf(
            Case("no notice", 0, listOf("u1", "u2")) { },
            Case("one is leaving", 0, listOf("u2")) { notices.recordLeaving(first) },
            Case("one is leaving, much later", 60_000, listOf("u2")) { notices.recordLeaving(first) },
            Case(
                "both are leaving, first half of the drain time",
                DRAIN_MILLIS / 2 - 1,
                listOf("u1", "u2"),
            ) { bothAreLeaving() },
            Case("both are leaving, second half of the drain time", DRAIN_MILLIS / 2, emptyList()) { bothAreLeaving() },
            Case("one is paused", 2_999, listOf("u2")) { notices.recordPause(first, 3.seconds) },
            Case("the pause is over", 3_000, listOf("u1", "u2")) { notices.recordPause(first, 3.seconds) },
            Case("a shorter pause does not end a longer one", 2_999, listOf("u2")) {
                notices.recordPause(first, 3.seconds)
                notices.recordPause(first, 1.seconds)
            },
            Case("both are paused", 500, emptyList()) {
                notices.recordPause(first, 1.seconds)
                notices.recordPause(second, 2.seconds)
            },
            Case("one is leaving and the other is paused, first half of the drain time", 100, listOf("u1")) {
                notices.recordLeaving(first)
                notices.recordPause(second, 2.seconds)
            },
            Case("a pause of years is limited to ten minutes", 600_000, listOf("u1", "u2")) {
                notices.recordPause(first, 100_000_000.seconds)
            },
        ).map { case ->
            dynamicTest(case.name) {
                val fresh = UpstreamNoticesTest()
                case.notify(fresh)
                fresh.now += case.afterMillis
                expectThat(fresh.accepting(first, second)).isEqualTo(case.accepted)
            }
        }

    private fun bothAreLeaving() {
        notices.recordLeaving(first)
        notices.recordLeaving(second)
    }

    // Guards against a Retry-After that lets the caller retry while all upstreams are still paused.
    @Test
    fun `the shortest pause is the time until the first upstream accepts requests`() {
        expectThat(notices.shortestPause(listOf(first, second))).isNull()
        notices.recordPause(first, 3.seconds)
        notices.recordPause(second, 2.seconds)
        now += 500
        expectThat(notices.shortestPause(listOf(first, second))).isEqualTo(1_500.milliseconds)
    }

    // Guards against an upstream that gets no requests because of the notices of an earlier run under the same id.
    @Test
    fun `notices do not apply to an upstream that restarts under the same id`() {
        val restarted = first.copy(registration = first.registration.copy(startedAtMillis = 5))
        notices.recordLeaving(first)
        notices.recordPause(first, 3.seconds)
        expectThat(accepting(restarted, second)).isEqualTo(listOf("u1", "u2"))
        expectThat(accepting(first, second)).isEqualTo(listOf("u2"))
    }

    // Guards against a log line for each response of a leaving upstream.
    @Test
    fun `only the first leaving notice is new`() {
        expectThat(List(3) { notices.recordLeaving(first) }).isEqualTo(listOf(true, false, false))
    }

    // Guards against requests that leave their upstream for one that has just rejected others, and against one that counts as
    // full for good.
    @TestFactory
    fun `an upstream that rejected a request counts as full for half a second`(): List<DynamicTest> =
        listOf(0L to setOf("u1"), 499L to setOf("u1"), 500L to emptySet()).map { (afterMillis, full) ->
            dynamicTest("after $afterMillis ms") {
                notices.recordFull(first)
                now += afterMillis
                expectThat(notices.fullUpstreams().map { it.value }.toSet()).isEqualTo(full)
            }
        }

    // Guards against many requests that all find out at once whether an upstream is still full, and against one that counts as
    // full after it has served the request that probed it.
    @Test
    fun `an upstream that was full is probed by one request at a time`() {
        expectThat(notices.recordProbe(first.id)).describedAs("never full").isEqualTo(false)
        notices.recordFull(first)
        now += 500
        expectThat(notices.recordProbe(first.id)).isEqualTo(true)
        expectThat(notices.fullUpstreams()).describedAs("while it is probed").isEqualTo(setOf(first.id))
        notices.recordAccepted(first.id)
        expectThat(notices.fullUpstreams()).describedAs("after it served a request").isEqualTo(emptySet())
        expectThat(notices.recordProbe(first.id)).describedAs("after it served a request").isEqualTo(false)
    }
}
