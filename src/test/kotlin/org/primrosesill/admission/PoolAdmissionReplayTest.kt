/*
 * The admission of eight gateways to a pool of engines. Guards against an overload in which requests are served after their
 * target, as all of them are admitted, and against an admission that starves somebody or refuses without need.
 */
package org.primrosesill.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEmpty

private const val SEED = 20_261_206L
private const val OVERLOAD = 2.5

class PoolAdmissionReplayTest {
    private class Case(
        val name: String,
        val order: EngineOrder,
        val seed: Long = SEED,
        val lostAtMillis: Long = Long.MAX_VALUE,
        val partitionedFromMillis: Long = Long.MAX_VALUE,
    )

    private val cases =
        listOf(
            Case("engines that serve by priority", EngineOrder.BY_PRIORITY),
            Case("engines that ignore the priority", EngineOrder.BY_ARRIVAL),
            Case("another seed", EngineOrder.BY_PRIORITY, SEED + 1),
            Case("half of the gateways lost after 8 s", EngineOrder.BY_PRIORITY, lostAtMillis = 8_000),
            Case("gossip between two halves lost after 5 s", EngineOrder.BY_PRIORITY, partitionedFromMillis = 5_000),
        )

    private fun replay(case: Case, admissionOf: (() -> PoolAdmission)?, load: Double = OVERLOAD) =
        PoolAdmissionReplay(load, case.order, admissionOf, case.seed, case.lostAtMillis, case.partitionedFromMillis)
            .play()

    private fun PoolAdmissionReplay.onTime(priority: Int) =
        byClass.getValue(priority).let { it.onTime.toDouble() / it.offered }

    private fun print(name: String, result: PoolAdmissionReplay) =
        result.byClass.forEach { (priority, count) ->
            val fractions = listOf(count.admitted, count.served, count.onTime).map { it.toDouble() / count.offered }
            println(
                "admission, %s, class %d: offered %d, admitted %.3f, served %.3f, on time %.3f".format(
                    java.util.Locale.ROOT,
                    name,
                    priority,
                    count.offered,
                    fractions[0],
                    fractions[1],
                    fractions[2],
                ),
            )
        }

    @TestFactory
    fun `more of each class is on time at 2_5 times the capacity`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.name}, seed ${case.seed}") {
                val before = replay(case, null)
                val after = replay(case, ::poolAdmission)
                print("${case.name}, before", before)
                print("${case.name}, after", after)
                val fractions = after.byClass.values.map { it.admitted.toDouble() / it.offered }
                expectThat(fractions).describedAs("admitted by class").isEqualTo(fractions.sortedDescending())
                for (priority in after.byClass.keys) {
                    val onTime = expectThat(after.onTime(priority)).describedAs("on time, class $priority")
                    onTime.isGreaterThanOrEqualTo(before.onTime(priority))
                    if (priority > 0) onTime.isGreaterThan(before.onTime(priority))
                }
                if (case.order == EngineOrder.BY_PRIORITY) {
                    expectThat(after.onTime(0)).describedAs("urgent").isGreaterThanOrEqualTo(0.97)
                }
                expectThat(after.shortages).describedAs("changes of shortage").isNotEmpty()
            }
        }

    @TestFactory
    fun `no class, account or session is starved`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.name}, seed ${case.seed}") {
                val result = replay(case, ::poolAdmission)
                for ((key, count) in result.bySession) {
                    expectThat(count.admitted).describedAs("session $key").isGreaterThanOrEqualTo(count.offered / 10)
                }
                for ((key, count) in result.byAccount) {
                    val atEachGateway = count.offered / 10 - PoolAdmissionReplay.GATEWAYS
                    expectThat(count.admitted).describedAs("account $key").isGreaterThanOrEqualTo(atEachGateway)
                }
                val large = result.byAccount.getValue(2 to "large").let { it.admitted.toDouble() / it.offered }
                val all = result.byClass.getValue(2).let { it.admitted.toDouble() / it.offered }
                expectThat(all).describedAs("class 2, large account $large").isGreaterThan(large)
            }
        }

    @TestFactory
    fun `nothing is refused at 0_7 of the capacity`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.name}, seed ${case.seed}") {
                expectThat(replay(case, ::poolAdmission, load = 0.7).refused).isEqualTo(0)
            }
        }
}
