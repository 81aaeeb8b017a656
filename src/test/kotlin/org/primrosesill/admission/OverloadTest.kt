/*
 * Overload. Guards against a router that lets a queue grow until every response arrives after its deadline, that serves
 * low priorities before high ones, or whose retries add too much load to a failing pool.
 */
package org.primrosesill.admission

import arrow.core.Either
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.math.ln

private const val SEED = 20_261_204L
private const val SERVERS = 40
private const val SERVICE_MILLIS = 100.0
private const val DEADLINE_MILLIS = 1_000.0
private const val SECONDS = 60
private const val WARM_UP_MILLIS = 10_000.0

class OverloadTest {
    private class Result(val goodput: Double, val byPriority: Map<Int, Double>, val rejectedWithoutRetryAfter: Int)

    private class Running(val priority: Int, val arrivedAt: Double, val endsAt: Double, val permit: AdmissionPermit)

    /** Simulates one pool with a FIFO queue. A response after the deadline does not count, but occupies its server. */
    private fun simulate(load: Double, priorities: List<Int>, control: (() -> Long) -> AdmissionControl): Result {
        val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
        var now = 0.0
        val admission = control { (now * 1e6).toLong() }
        val running = PriorityQueue<Running>(compareBy { it.endsAt })
        val serverFreeAt = PriorityQueue<Double>().apply { repeat(SERVERS) { add(0.0) } }
        val offeredByPriority = HashMap<Int, Int>()
        val succeeded = HashMap<Int, Int>()
        var withoutRetryAfter = 0
        val capacityPerMilli = SERVERS / SERVICE_MILLIS
        var nextArrival = 0.0
        while (nextArrival < SECONDS * 1_000) {
            while (running.isNotEmpty() && running.peek().endsAt <= nextArrival) {
                val ended = running.poll()
                now = ended.endsAt
                ended.permit.release()
                val inTime = now - ended.arrivedAt <= DEADLINE_MILLIS
                if (inTime && now > WARM_UP_MILLIS) succeeded.merge(ended.priority, 1, Int::plus)
            }
            now = nextArrival
            val priority = priorities[random.nextInt(priorities.size)]
            if (now > WARM_UP_MILLIS) offeredByPriority.merge(priority, 1, Int::plus)
            when (val admitted = admission.admit(priority)) {
                is Either.Left -> if ((admitted.value as Failure.Overloaded).retryAfter == null) withoutRetryAfter++
                is Either.Right -> {
                    val startsAt = maxOf(now, serverFreeAt.poll())
                    val endsAt = startsAt + SERVICE_MILLIS * (0.5 + random.nextDouble())
                    serverFreeAt.add(endsAt)
                    running.add(Running(priority, now, endsAt, admitted.value))
                }
            }
            nextArrival += -ln(1 - random.nextDouble()) / (capacityPerMilli * load)
        }
        val capacity = capacityPerMilli * (SECONDS * 1_000 - WARM_UP_MILLIS)
        return Result(
            succeeded.values.sum() / capacity,
            offeredByPriority.mapValues {
                (succeeded[it.key] ?: 0).toDouble() / it.value
            },
            withoutRetryAfter,
        )
    }

    private val fixedLimit =
        AdmissionSettings(minimumInFlight = 2_000, maximumInFlight = 2_000, initialInFlight = 2_000)

    private val mixes =
        mapOf(
            "priorities 0, 5 and 9" to listOf(0, 5, 9),
            "priority 9 only" to listOf(9),
            "priority 0 only" to listOf(0),
        )

    @TestFactory
    fun `goodput at 3 times the capacity is at least 90 percent of it with`() =
        mixes.map { (name, priorities) ->
            dynamicTest(name) {
                val adaptive = simulate(3.0, priorities) { priorityAdmissionControl(nanoTime = it) }
                val fixed = simulate(3.0, priorities) { priorityAdmissionControl(fixedLimit, it) }
                val none = simulate(3.0, priorities) { unlimited() }
                println(
                    "overload seed=$SEED mix='$name' goodput adaptive=%.3f fixed=%.3f none=%.3f served=%s".format(
                        adaptive.goodput,
                        fixed.goodput,
                        none.goodput,
                        adaptive.byPriority.toSortedMap().mapValues { "%.3f".format(it.value) },
                    ),
                )
                expectThat(adaptive.goodput).isGreaterThanOrEqualTo(0.9)
                expectThat(adaptive.rejectedWithoutRetryAfter).isLessThanOrEqualTo(0)
                if (priorities.size > 1) expectThat(adaptive.byPriority.getValue(0)).isGreaterThanOrEqualTo(0.9)
            }
        }

    /** Guards against a limit that shrinks without a queue and refuses requests that the pool could serve. */
    @TestFactory
    fun `load within the capacity is served`() =
        listOf(0.3, 0.7).map { load ->
            dynamicTest("at $load of the capacity") {
                val served = simulate(load, listOf(0, 5, 9)) { priorityAdmissionControl(nanoTime = it) }.byPriority
                println("overload seed=$SEED load=$load served=${served.toSortedMap()}")
                expectThat(served.values.min()).isGreaterThanOrEqualTo(0.99)
            }
        }

    @TestFactory
    fun `attempts at a failing pool are at most 1,1 times the offered load with`() =
        listOf(1 to 0, 8 to 0, 330 to 0, 330 to 3).map { (routers, callerRetries) ->
            dynamicTest("$routers routers and $callerRetries retries of each caller") {
                val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
                val budgets = List(routers) { tokenRetryBudget() }
                var offered = 0
                var attempts = 0
                repeat(50_000) {
                    repeat(1 + callerRetries) {
                        val budget = budgets[random.nextInt(routers)]
                        val customer = CustomerId("c${random.nextInt(200)}")
                        budget.recordAttempt(customer)
                        offered++
                        attempts++
                        var retries = 0
                        while (retries++ < 3 && budget.tryRetry(customer)) attempts++
                    }
                }
                println(
                    "retries seed=$SEED routers=$routers caller-retries=$callerRetries ratio=%.4f".format(
                        attempts.toDouble() / offered,
                    ),
                )
                expectThat(attempts.toDouble() / offered).isLessThanOrEqualTo(1.1)
                expectThat(attempts - offered).isGreaterThanOrEqualTo(if (routers < 330) offered / 20 else 0)
            }
        }

    private fun unlimited() =
        object : AdmissionControl {
            override fun admit(priority: Int) = Either.Right(AdmissionPermit { })
        }
}
