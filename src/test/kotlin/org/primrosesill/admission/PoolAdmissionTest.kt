/*
 * Cases of the admission to a pool of engines. Guards against requests that are refused without need, or sent to engines at
 * which they miss their deadline.
 */
package org.primrosesill.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.admission.AdmissionResult.FREE_CAPACITY
import org.primrosesill.admission.AdmissionResult.MINIMUM_SHARE
import org.primrosesill.admission.AdmissionResult.REFUSED_DEADLINE
import org.primrosesill.admission.AdmissionResult.REFUSED_SHORTAGE
import org.primrosesill.admission.AdmissionResult.RESUMED
import org.primrosesill.admission.AdmissionResult.WITHIN_SHARE
import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TOKENS = 350

class PoolAdmissionTest {
    private class Case(
        val name: String,
        val result: AdmissionResult,
        val engines: List<AdmissionCandidate>,
        val priority: Int = 2,
        val timeLeft: Duration = 6.seconds,
        val draw: Double = 0.5,
        val resumes: Boolean = false,
    )

    /** Each waiting request takes 10 ms at the usual speed. */
    private fun waiting(count: Int, running: Int? = 30, slowness: Double = 1.0) =
        AdmissionCandidate(running, count, slots = 48, slowness)

    private fun request(case: Case, atMillis: Long, priority: Int = case.priority, jitter: Double = 0.0) =
        AdmissionRequest(
            PoolId("engines"),
            priority,
            latencyTarget = 800.milliseconds,
            timeLeft = case.timeLeft,
            prefillTokens = TOKENS,
            account = CustomerId("account"),
            session = "session-$atMillis",
            resumesStream = case.resumes,
            prefillTokensPerMillisecond = 35.0,
            candidates = case.engines,
            nowMillis = atMillis,
            draw = case.draw,
            jitter = jitter,
        )

    /** Returns an admission that has admitted requests of three classes, most of them of the middle one, and the time. */
    private fun experienced(case: Case): Pair<PoolAdmission, Long> {
        val admission = poolAdmission()
        val idle = Case("idle", FREE_CAPACITY, listOf(waiting(0, running = 0)))
        repeat(60) { admission.decide(request(idle, it * 20L, priority = it % 3)) }
        repeat(150) { admission.decide(request(case, 1_200 + it * 20L, priority = 0)) }
        return admission to 4_200L
    }

    @TestFactory
    fun `a request is refused only for a reason`(): List<DynamicTest> =
        listOf(
            Case("no engine is known", FREE_CAPACITY, emptyList()),
            Case("no reports", FREE_CAPACITY, List(3) { waiting(0, running = null) }),
            Case("one engine has no report", FREE_CAPACITY, listOf(waiting(900), waiting(0, running = null))),
            Case("one engine has free slots", FREE_CAPACITY, listOf(waiting(900), waiting(0, running = 23))),
            Case("no time left, but a free engine", FREE_CAPACITY, listOf(waiting(0, 3)), timeLeft = 1.milliseconds),
            Case("busy engines with short queues", WITHIN_SHARE, List(3) { waiting(10) }, draw = 0.999),
            Case("one long queue", WITHIN_SHARE, listOf(waiting(10), waiting(10), waiting(900)), draw = 0.999),
            Case("queues over the urgent target", REFUSED_SHORTAGE, List(3) { waiting(150) }),
            Case("slow engines", REFUSED_SHORTAGE, List(3) { waiting(40, slowness = 4.0) }),
            Case("a tenth of the least urgent class", WITHIN_SHARE, List(3) { waiting(150) }, draw = 0.09),
            Case("the most urgent class", WITHIN_SHARE, List(3) { waiting(150) }, priority = 0, draw = 0.999),
            Case("queues over the deadline", REFUSED_DEADLINE, List(3) { waiting(950) }),
            Case("queues just over the deadline", WITHIN_SHARE, List(3) { waiting(700) }, priority = 0),
            Case("one queue within the deadline", WITHIN_SHARE, listOf(waiting(9_000), waiting(20)), priority = 0),
            Case("a tenth in spite of the deadline", MINIMUM_SHARE, List(3) { waiting(950) }, draw = 0.09),
            Case("a resumed stream", RESUMED, List(3) { waiting(950) }, resumes = true),
        ).map { case ->
            dynamicTest(case.name) {
                val (admission, now) = experienced(case)
                expectThat(admission.decide(request(case, now)).result).isEqualTo(case.result)
            }
        }

    // Guards against less urgent callers that return first, and against callers that all return at the same time.
    @Test
    fun `a refusal states when to retry`() {
        val case = Case("long queues", REFUSED_SHORTAGE, List(3) { waiting(150) })
        val (admission, now) = experienced(case)
        val plain = admission.decide(request(case, now))
        val spread = admission.decide(request(case, now, jitter = 1.0))
        expectThat(plain.retryAfter).isIn(600.milliseconds..10.seconds)
        expectThat(spread.retryAfter).isIn(plain.retryAfter * 1.4..plain.retryAfter * 1.6)
        val short = Case("little time", REFUSED_DEADLINE, case.engines, timeLeft = 100.milliseconds)
        val urgent = admission.decide(request(short, now, priority = 0)).retryAfter
        expectThat(admission.decide(request(short, now)).retryAfter).isGreaterThan(urgent)
    }

    @Test
    fun `a pool becomes short of capacity once, and ends to be so once`() {
        val admission = poolAdmission()
        val changes = mutableListOf<Boolean>()
        for (millis in 0L..12_000 step 20) {
            val engines = List(3) { if (millis in 2_000..5_000) waiting(150) else waiting(0, running = 5) }
            val decision = admission.decide(request(Case("", FREE_CAPACITY, engines), millis, priority = 0))
            decision.shortage?.let { changes += it }
        }
        expectThat(changes).containsExactly(true, false)
    }

    // Guards against a session that is refused for good, as its draws are unlucky.
    @Test
    fun `the tenth request in a row is admitted`() {
        val case = Case("long queues", REFUSED_DEADLINE, List(3) { waiting(950) }, draw = 0.999)
        val (admission, now) = experienced(case)
        val results = List(20) { admission.decide(request(case, now)).result.isAdmitted }
        expectThat(results.count { it }).isEqualTo(2)
    }

    @TestFactory
    fun `a further attempt has to meet the deadline`(): List<DynamicTest> =
        listOf(
            Case("no reports", FREE_CAPACITY, List(3) { waiting(0, running = null) }),
            Case("short queues", WITHIN_SHARE, List(3) { waiting(10) }),
            Case("long queues", REFUSED_DEADLINE, List(3) { waiting(950) }),
            Case("a resumed stream", RESUMED, List(3) { waiting(950) }, resumes = true),
        ).map { case ->
            dynamicTest(case.name) {
                val (admission, now) = experienced(case)
                val meets = expectThat(admission.canMeetDeadline(request(case, now)))
                if (case.result.isAdmitted) meets.isTrue() else meets.isFalse()
            }
        }
}
