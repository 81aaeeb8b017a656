/*
 * Whether another attempt may begin beside one in flight, what that takes, and what is returned.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.PlacementResult
import org.primrosesill.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fixed number of retries. */
private class CountedRetries(var left: Int) : RetryAllowance {
    override fun tryAcquire(): Boolean {
        if (left == 0) return false
        left--
        return true
    }

    override fun release() {
        left++
    }
}

class AttemptAllowanceTest {
    private class Case(
        val name: String,
        val isAllowed: Boolean,
        val kind: RouteKind = RouteKind.IDEMPOTENT,
        val resumable: Boolean = false,
        val attempts: Int = 2,
        val upstreams: Int = 3,
        val retries: Int = 1,
        val timeLeft: Duration = 2.seconds,
        val earlier: List<AttemptOutcome> = emptyList(),
        val canMeetDeadline: Boolean = true,
        val full: Set<UpstreamId> = emptySet(),
    )

    private val unknown = AttemptOutcome.Unknown("reset")
    private val notRun = AttemptOutcome.NotRun("busy")

    private fun allowance(case: Case, retries: RetryAllowance) =
        AttemptAllowance(
            testRoute("/x/", case.kind, case.resumable, case.attempts),
            testPool,
            retries,
            { case.timeLeft },
            FirstAllowedUpstream(case),
        )

    private class FirstAllowedUpstream(private val case: Case) : AttemptCandidates {
        override fun fullUpstreams() = case.full

        override fun canMeetDeadline(excluded: Set<UpstreamId>) = case.canMeetDeadline

        override fun choose(excluded: Set<UpstreamId>, candidates: Set<UpstreamId>?): PlacementResult =
            (1..case.upstreams)
                .map { testUpstream("u$it") }
                .firstOrNull { it.id !in excluded && (candidates == null || it.id in candidates) }
                ?.let { PlacementResult.Chosen(it) }
                ?: PlacementResult.Rejected("none", 100.milliseconds)
    }

    /** Makes the attempts of [case] up to the one in progress, and returns its upstream. */
    private fun AttemptAllowance.startAttempts(case: Case): UpstreamId {
        for (outcome in case.earlier) record(nextUpstream(), outcome)
        return nextUpstream()
    }

    private fun AttemptAllowance.nextUpstream(): UpstreamId =
        expectThat(next())
            .isA<NextAttempt.Allowed>()
            .subject.placement.upstream.id

    // Guards against a sound upstream that is given up although no other attempt can follow (issue 41, review/4), and against
    // retries that are spent without an attempt.
    @TestFactory
    fun `an attempt begins beside another one only with all that it needs`(): List<DynamicTest> =
        listOf(
            Case("a second attempt is allowed", true),
            Case("resumable stream", true, kind = RouteKind.STREAM, resumable = true),
            Case("stream that cannot be resumed", false, kind = RouteKind.STREAM),
            Case("request that may run once", false, kind = RouteKind.NON_IDEMPOTENT),
            Case("one attempt allowed", false, attempts = 1),
            Case("last attempt", false, retries = 2, earlier = listOf(unknown)),
            Case("attempt that was not run before", true, retries = 2, earlier = listOf(notRun)),
            Case("no other upstream", false, upstreams = 1),
            Case(
                "all other upstreams tried",
                false,
                attempts = 4,
                upstreams = 2,
                retries = 2,
                earlier = listOf(unknown),
            ),
            Case("retry budget empty", false, retries = 0),
            Case("too late for another response", false, timeLeft = 99.milliseconds),
            Case("just in time", true, timeLeft = 100.milliseconds),
            Case("queues longer than the time left", false, canMeetDeadline = false),
            Case("maximum number of upstreams", false, upstreams = 9, retries = 9, earlier = List(3) { notRun }),
            Case("another upstream is full", true, full = setOf(UpstreamId("u2"))),
            Case("all other upstreams are full", false, full = setOf(UpstreamId("u2"), UpstreamId("u3"))),
        ).map { case ->
            dynamicTest(case.name) {
                val retries = CountedRetries(case.retries)
                val allowance = allowance(case, retries)
                allowance.startAttempts(case)
                val before = retries.left
                val next = allowance.nextBeside()?.upstream?.id
                expectThat(next != null).isEqualTo(case.isAllowed)
                expectThat(before - retries.left).describedAs("retries spent").isEqualTo(if (case.isAllowed) 1 else 0)
                if (next == null) return@dynamicTest
                allowance.record(next, AttemptOutcome.NotSent("refused"))
                expectThat(retries.left).describedAs("retries after an attempt that was not sent").isEqualTo(before)
            }
        }

    // Guards against a retry that is spent twice for an attempt beside another one, or returned for one that reached its
    // upstream.
    @TestFactory
    fun `an attempt beside another one spends one retry if it reaches its upstream`(): List<DynamicTest> =
        listOf(
            "not run" to notRun,
            "full" to AttemptOutcome.NotRun("busy", isFull = true),
            "unknown" to unknown,
            "superseded" to AttemptOutcome.Superseded(UpstreamId("u1"), wasSent = true, hadStalled = false),
        ).map { (name, outcome) ->
            dynamicTest(name) {
                val retries = CountedRetries(2)
                val allowance = allowance(Case("beside", true), retries)
                allowance.nextUpstream()
                val next = allowance.nextBeside()!!.upstream.id
                allowance.record(next, outcome)
                expectThat(retries.left).isEqualTo(1)
            }
        }

    // Guards against a retry that stays spent for an attempt that was ended before it reached its upstream.
    @Test
    fun `an attempt that is superseded before it is sent spends no retry`() {
        val retries = CountedRetries(1)
        val allowance = allowance(Case("superseded", true), retries)
        val former = allowance.nextUpstream()
        val next = allowance.nextBeside()!!.upstream.id
        allowance.record(next, AttemptOutcome.Superseded(former, wasSent = false, hadStalled = false))
        expectThat(retries.left).isEqualTo(1)
    }

    // Guards against a retry of the budget that is withdrawn and not given back when no upstream can take the request.
    @Test
    fun `a denied attempt spends no retry`() {
        val retries = CountedRetries(1)
        val case = Case("denied", false, upstreams = 1)
        val allowance = allowance(case, retries)
        allowance.record(allowance.startAttempts(case), unknown)
        expectThat(allowance.next()).isA<NextAttempt.Denied>()
        expectThat(retries.left).isEqualTo(1)
    }

    // Guards against a released retry that stays spent for the window of the budget.
    @Test
    fun `a released retry can be acquired again`() {
        val members = FleetMembers(RouterId("self"), emptySet(), isComplete = true)
        val budget = PoolRetryBudget({ RetryLimit(0.0, 10_000, fixed = 2) }, { members }, { 0 })
        expectThat(List(2) { budget.tryAcquire(testPool) }).isEqualTo(listOf(true, false))
        budget.release(testPool)
        expectThat(List(2) { budget.tryAcquire(testPool) }).isEqualTo(listOf(true, false))
    }
}
