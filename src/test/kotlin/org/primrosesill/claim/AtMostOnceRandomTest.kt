/*
 * Checks invariant 6 of docs/invariants.md, at-most-once execution, over random schedules of faults: crashes,
 * replacements, pauses, partitions, wrong VM lists, clocks that differ by the tolerance, and delayed, lost and
 * duplicated messages, in any combination.
 */
package org.primrosesill.claim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

class AtMostOnceRandomTest {
    // Guards against double executions that need two or more faults at once. Each seed generates 8 schedules.
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    fun `no key runs twice under random faults`(seed: Long) {
        val outcomeCounts = sortedMapOf<String, Int>()
        for (schedule in 0 until SCHEDULES) {
            runTest {
                val fleet = FakeFleet(this, 6 + schedule % 4, seed * 1_000 + schedule, maximumClockSkewMillis = 500)
                fleet.faults.lossProbability = fleet.random.nextDouble(0.1)
                fleet.faults.duplicateProbability = fleet.random.nextDouble(0.3)
                fleet.faults.delayProbability = fleet.random.nextDouble(0.2)
                fleet.runSchedule()
                fleet.outcomes.forEach { (outcome, count) -> outcomeCounts.merge(outcome, count, Int::plus) }
                expectThat(fleet.executions.values.maxOrNull() ?: 0).isLessThanOrEqualTo(1)
            }
        }
        println("random schedules, seed $seed: outcomes=$outcomeCounts")
    }

    private suspend fun FakeFleet.runSchedule() {
        val keys = ArrayList<String>()
        repeat(STEPS) {
            if (random.nextInt(4) == 0) injectFault()
            val key =
                if (keys.isEmpty() ||
                    random.nextInt(3) == 0
                ) {
                    newKey().also(keys::add)
                } else {
                    keys[random.nextInt(keys.size)]
                }
            repeat(1 + random.nextInt(2)) { submitAtRandomRouter(key) }
            delay(random.nextLong(1, 400))
        }
        restoreNetwork()
        delay(5_000)
        repeat(keys.size) { submitAtRandomRouter(keys[it]) }
        delay(2_000)
    }

    private fun FakeFleet.newKey(): String =
        if (random.nextInt(5) == 0) "order-${random.nextLong()}" else key(nowMillis() + random.nextLong(-20_000, 900))

    private fun FakeFleet.submitAtRandomRouter(key: String) {
        val hooks =
            SendHooks(
                beforeSend = { if (random.nextInt(10) == 0) it.pause(random.nextLong(10, 20_000)) },
                afterSend = { if (random.nextInt(20) == 0) it.crash() },
            )
        val router = at(random.nextInt(size))
        test.backgroundScope.launch { router.submit(key, hooks) }
    }

    private fun FakeFleet.injectFault() {
        val index = random.nextInt(size)
        when (random.nextInt(6)) {
            0 -> replace(index)
            1 -> at(index).pause(random.nextLong(10, 15_000))
            2 -> isolate(*IntArray(random.nextInt(1, size)) { (index + it) % size }, oneWay = random.nextBoolean())
            3, 4 -> restoreNetwork()
            else -> at(index).members.updateVmList(List(random.nextInt(size)) { FakeFleet.address(it) }.toSet())
        }
    }

    private companion object {
        const val SCHEDULES = 8
        const val STEPS = 60
    }
}
