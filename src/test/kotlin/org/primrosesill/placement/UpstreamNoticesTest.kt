/*
 * Which upstreams may get a request after what they said in their answers.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.forwarding.upstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DRAIN_MILLIS = 2_000L

class UpstreamNoticesTest {
    private var now = 1_000L
    private val notices = UpstreamNotices({ DRAIN_MILLIS }, { now })
    private val first = upstream("u1")
    private val second = upstream("u2")

    private fun accepting(vararg upstreams: KnownUpstream) = notices.accepting(upstreams.toList()).map { it.id.value }

    private class Case(
        val name: String,
        val afterMillis: Long,
        val accepted: List<String>,
        val told: UpstreamNoticesTest.() -> Unit,
    )

    // Guards against requests to an upstream that is leaving, or that asked to be left alone.
    @TestFactory
    fun `upstreams get what they are ready for`(): List<DynamicTest> =
        listOf(
            Case("nothing was said", 0, listOf("u1", "u2")) { },
            Case("one leaves", 0, listOf("u2")) { notices.takeLeaving(first) },
            Case("one leaves, much later", 60_000, listOf("u2")) { notices.takeLeaving(first) },
            Case("both leave, at first", DRAIN_MILLIS / 2 - 1, listOf("u1", "u2")) { bothLeave() },
            Case("both leave, later", DRAIN_MILLIS / 2, emptyList()) { bothLeave() },
            Case("one wants a pause", 2_999, listOf("u2")) { notices.takePause(first, 3.seconds) },
            Case("the pause is over", 3_000, listOf("u1", "u2")) { notices.takePause(first, 3.seconds) },
            Case("a shorter pause does not end a longer one", 2_999, listOf("u2")) {
                notices.takePause(first, 3.seconds)
                notices.takePause(first, 1.seconds)
            },
            Case("both want a pause", 500, emptyList()) {
                notices.takePause(first, 1.seconds)
                notices.takePause(second, 2.seconds)
            },
            Case("one leaves and the other wants a pause, at first", 100, listOf("u1")) {
                notices.takeLeaving(first)
                notices.takePause(second, 2.seconds)
            },
            Case("a pause of years ends after ten minutes", 600_000, listOf("u1", "u2")) {
                notices.takePause(first, 100_000_000.seconds)
            },
        ).map { case ->
            dynamicTest(case.name) {
                val fresh = UpstreamNoticesTest()
                case.told(fresh)
                fresh.now += case.afterMillis
                expectThat(fresh.accepting(first, second)).isEqualTo(case.accepted)
            }
        }

    private fun bothLeave() {
        notices.takeLeaving(first)
        notices.takeLeaving(second)
    }

    // Guards against a caller that comes back while all upstreams still want nothing.
    @Test
    fun `the shortest pause says when there may be room`() {
        expectThat(notices.shortestPause(listOf(first, second))).isNull()
        notices.takePause(first, 3.seconds)
        notices.takePause(second, 2.seconds)
        now += 500
        expectThat(notices.shortestPause(listOf(first, second))).isEqualTo(1_500.milliseconds)
    }

    // Guards against an upstream that gets nothing because one with its id left before it started.
    @Test
    fun `an upstream that starts again under its id has said nothing`() {
        val again = first.copy(registration = first.registration.copy(startedAtMillis = 5))
        notices.takeLeaving(first)
        notices.takePause(first, 3.seconds)
        expectThat(accepting(again, second)).isEqualTo(listOf("u1", "u2"))
        expectThat(accepting(first, second)).isEqualTo(listOf("u2"))
    }

    // Guards against a line in the log for each answer of an upstream that is leaving.
    @Test
    fun `leaving is news once`() {
        expectThat(List(3) { notices.takeLeaving(first) }).isEqualTo(listOf(true, false, false))
    }
}
