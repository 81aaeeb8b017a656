/*
 * Overload. Guards against a router that lets a queue grow until every answer comes after its caller gave up, that
 * serves low priorities before high ones, or that adds load to a failing pool with retries.
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
    private class Result(val goodput: Double, val byPriority: Map<Int, Double>, val refusedWithoutRetryAfter: Int)

    private class Running(val priority: Int, val arrived: Double, val ends: Double, val permit: AdmissionPermit)

    /** One pool with a queue in order of arrival; an answer after the deadline is worth nothing but takes its time. */
    private fun simulate(load: Double, priorities: List<Int>, control: (() -> Long) -> AdmissionControl): Result {
        val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
        var now = 0.0
        val admission = control { (now * 1e6).toLong() }
        val running = PriorityQueue<Running>(compareBy { it.ends })
        val free = PriorityQueue<Double>().apply { repeat(SERVERS) { add(0.0) } }
        val offered = HashMap<Int, Int>()
        val good = HashMap<Int, Int>()
        var withoutRetryAfter = 0
        val capacityPerMilli = SERVERS / SERVICE_MILLIS
        var next = 0.0
        while (next < SECONDS * 1_000) {
            while (running.isNotEmpty() && running.peek().ends <= next) {
                val ended = running.poll()
                now = ended.ends
                ended.permit.release()
                val inTime = now - ended.arrived <= DEADLINE_MILLIS
                if (inTime && now > WARM_UP_MILLIS) good.merge(ended.priority, 1, Int::plus)
            }
            now = next
            val priority = priorities[random.nextInt(priorities.size)]
            if (now > WARM_UP_MILLIS) offered.merge(priority, 1, Int::plus)
            when (val admitted = admission.admit(priority)) {
                is Either.Left -> if ((admitted.value as Failure.Overloaded).retryAfter == null) withoutRetryAfter++
                is Either.Right -> {
                    val starts = maxOf(now, free.poll())
                    val ends = starts + SERVICE_MILLIS * (0.5 + random.nextDouble())
                    free.add(ends)
                    running.add(Running(priority, now, ends, admitted.value))
                }
            }
            next += -ln(1 - random.nextDouble()) / (capacityPerMilli * load)
        }
        val capacity = capacityPerMilli * (SECONDS * 1_000 - WARM_UP_MILLIS)
        return Result(
            good.values.sum() / capacity,
            offered.mapValues {
                (good[it.key] ?: 0).toDouble() / it.value
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
    fun `goodput at 3 times the load is at least 90 percent of capacity with`() =
        mixes.map { (name, priorities) ->
            dynamicTest(name) {
                val adaptive = simulate(3.0, priorities) { priorityAdmissionControl(nanoTime = it) }
                val fixed = simulate(3.0, priorities) { priorityAdmissionControl(fixedLimit, it) }
                val none = simulate(3.0, priorities) { admitAll() }
                println(
                    "overload seed=$SEED mix='$name' goodput adaptive=%.3f fixed=%.3f none=%.3f served=%s".format(
                        adaptive.goodput,
                        fixed.goodput,
                        none.goodput,
                        adaptive.byPriority.toSortedMap().mapValues { "%.3f".format(it.value) },
                    ),
                )
                expectThat(adaptive.goodput).isGreaterThanOrEqualTo(0.9)
                expectThat(adaptive.refusedWithoutRetryAfter).isLessThanOrEqualTo(0)
                if (priorities.size > 1) expectThat(adaptive.byPriority.getValue(0)).isGreaterThanOrEqualTo(0.9)
            }
        }

    /** A limit that shrinks without a queue would refuse requests that the pool could serve. */
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

    private fun admitAll() =
        object : AdmissionControl {
            override fun admit(priority: Int) = Either.Right(AdmissionPermit { })
        }
}
