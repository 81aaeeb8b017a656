/*
 * Checks invariant 6 of docs/invariants.md: a request with an idempotency key runs at most once, whatever faults of
 * routers, clocks and messages occur. Each case prints the outcomes of the callers, because a fleet that refuses every
 * request would also pass.
 */
package org.primrosesill.claim

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class AtMostOnceCase(
    val name: String,
    val minimumExecuted: Int = 0,
    val size: Int = 6,
    val discovers: (Int, Int) -> Boolean = { _, _ -> true },
    val run: suspend FakeFleet.() -> Unit,
) {
    override fun toString() = name
}

class AtMostOnceTest {
    // Guards against a request that runs twice, such as a duplicate booking, and against unnecessary refusals.
    @ParameterizedTest
    @MethodSource("cases")
    fun `a keyed request runs at most once when`(case: AtMostOnceCase) =
        runTest {
            val fleet = FakeFleet(this, case.size, SEED, discovers = case.discovers)
            case.run(fleet)
            println(
                "$case: outcomes=${fleet.outcomes} executions=${fleet.executions.values.sum()} of ${fleet.executions.size} keys",
            )
            expectThat(fleet.executions.values.maxOrNull() ?: 0).isLessThanOrEqualTo(1)
            expectThat(fleet.executions.size).isGreaterThanOrEqualTo(case.minimumExecuted)
        }

    companion object {
        const val SEED = 20_261_204L
        private const val LONGER_THAN_ALL_TIMEOUTS_MILLIS = 1_000_000L

        private suspend fun FakeFleet.submitConcurrently(key: String, vararg indexes: Int) =
            indexes.map { test.backgroundScope.async { at(it).submit(key) } }.awaitAll()

        private suspend fun FakeFleet.submitInSequence(key: String, vararg indexes: Int) =
            indexes.forEach {
                at(it).submit(key)
            }

        private fun FakeFleet.submitInBackground(index: Int, key: String, hooks: SendHooks) =
            test.backgroundScope.launch { at(index).submit(key, hooks) }

        @JvmStatic
        fun cases(): List<AtMostOnceCase> =
            claimantCases() + fleetCases() + partialViewCases() + messageCases() + keyCases()

        private fun claimantCases() =
            listOf(
                AtMostOnceCase("it is sent to two routers at once", minimumExecuted = 40) {
                    repeat(40) { submitConcurrently(key(), 0, 1) }
                },
                AtMostOnceCase("it is sent to all routers at once", minimumExecuted = 20) {
                    repeat(20) { submitConcurrently(key(), 0, 1, 2, 3, 4, 5) }
                },
                AtMostOnceCase("it is sent twice to one router", minimumExecuted = 20) {
                    repeat(20) { submitConcurrently(key(), 0, 0) }
                },
                AtMostOnceCase("the claimant crashes before the send") {
                    val key = key()
                    submitInBackground(0, key, SendHooks(beforeSend = { it.crash() }))
                    delay(100)
                    submitInSequence(key, 1, 2, 3)
                },
                AtMostOnceCase("the claimant crashes during the send", minimumExecuted = 1) {
                    val key = key()
                    submitInBackground(0, key, SendHooks(afterSend = { it.crash() }))
                    delay(100)
                    submitInSequence(key, 1, 2, 3)
                },
                AtMostOnceCase("the claimant crashes after the send", minimumExecuted = 1) {
                    val key = key()
                    at(0).submit(key)
                    delay(50)
                    at(0).crash()
                    submitInSequence(key, 1, 2, 3)
                },
                AtMostOnceCase(
                    "the claimant pauses before the send for longer than every timeout and resumes",
                    minimumExecuted = 1,
                ) {
                    val key = key()
                    submitInBackground(0, key, SendHooks(beforeSend = { it.pause(LONGER_THAN_ALL_TIMEOUTS_MILLIS) }))
                    repeat(10) {
                        delay(LONGER_THAN_ALL_TIMEOUTS_MILLIS / 8)
                        submitInSequence(key, 1, 2, 3)
                    }
                },
                AtMostOnceCase(
                    "the claimant pauses and the other routers are replaced meanwhile",
                    minimumExecuted = 1,
                ) {
                    val key = key()
                    submitInBackground(0, key, SendHooks(beforeSend = { it.pause(60_000) }))
                    for (index in 1..5) {
                        delay(6_000)
                        replace(index)
                        submitInSequence(key, 1, 2, 3, 4, 5)
                    }
                    delay(60_000)
                },
            )

        private fun fleetCases() =
            listOf(
                AtMostOnceCase(
                    "one of six routers is isolated",
                    minimumExecuted = 20,
                ) { submitDuringPartition(3_000, 5) },
                AtMostOnceCase(
                    "one of three zones is isolated and still in the VM list",
                ) { submitDuringPartition(20_000, 2, 5) },
                AtMostOnceCase("one of three zones is isolated and removed from the VM list", minimumExecuted = 20) {
                    routers.forEach { it.members.updateVmList(setOf(0, 1, 3, 4).map(FakeFleet::address).toSet()) }
                    submitDuringPartition(20_000, 2, 5)
                },
                AtMostOnceCase(
                    "half of the routers is isolated for 20 s",
                ) { submitDuringPartition(20_000, 3, 4, 5) },
                AtMostOnceCase("a zone is isolated in one direction") {
                    isolate(2, 5, oneWay = true)
                    repeat(10) { key().let { key -> submitInSequence(key, 0, 2, 5, 1) }.also { delay(1_000) } }
                },
                AtMostOnceCase(
                    "half of the routers is isolated and each VM list contains only the own half",
                    size = 8,
                ) {
                    routers.forEachIndexed { index, router ->
                        val half = if (index < 4) 0..3 else 4..7
                        router.members.updateVmList(half.map(FakeFleet::address).toSet())
                    }
                    submitDuringPartition(20_000, 4, 5, 6, 7)
                },
                AtMostOnceCase("every router is replaced one by one during the retries", minimumExecuted = 1) {
                    val key = key()
                    at(0).submit(key, SendHooks(afterSend = { it.crash() }))
                    start(0)
                    repeat(6) { index ->
                        replace(index)
                        delay(3_000)
                        submitInSequence(key, 0, 1, 2, 3, 4, 5)
                    }
                },
                AtMostOnceCase("voters restart between two attempts") {
                    repeat(10) {
                        val key = key()
                        submitInBackground(0, key, SendHooks(afterSend = { delay(300) }))
                        delay(20)
                        for (index in 1..4) replace(index)
                        delay(10)
                        submitInSequence(key, 1, 2, 3, 4, 5)
                        delay(20_000)
                    }
                },
                AtMostOnceCase("a voter pauses through the claim and the partition heals") {
                    repeat(10) {
                        val key = key()
                        at(3).pause(8_000)
                        isolate(4, 5)
                        submitInSequence(key, 0, 4)
                        delay(7_000)
                        restoreNetwork()
                        submitInSequence(key, 3, 5, 1)
                        delay(5_000)
                    }
                },
            )

        private suspend fun FakeFleet.submitDuringPartition(millis: Long, vararg isolated: Int) {
            isolate(*isolated)
            delay(millis)
            repeat(10) {
                val key = key()
                submitInSequence(key, 0, isolated.first(), 1)
                submitConcurrently(key(), 3, isolated.last())
            }
            restoreNetwork()
            delay(2_000)
            executions.keys.toList().forEach { submitInSequence(it, 0, isolated.first()) }
        }

        /** Each side cannot discover a third of the fleet, and only one side reaches each router in the middle. */
        private fun partialViewCases() =
            listOf(6, 9, 12).map { size ->
                val third = size / 3
                val middle = third until size - third

                fun discovers(from: Int, to: Int) =
                    from == to || to in middle || (from < third && to < third) ||
                        (from >= size - third && to >= size - third)
                AtMostOnceCase(
                    "each of two claimants cannot discover a third of $size routers",
                    10,
                    size,
                    ::discovers,
                ) {
                    repeat(10) {
                        val key = key()
                        faults.isBlocked = { from, to ->
                            val reached = if (FakeFleet.index(from) < third) 0 until size / 2 else size / 2 until size
                            FakeFleet.index(from) !in middle && FakeFleet.index(to) in middle &&
                                FakeFleet.index(to) !in reached
                        }
                        submitConcurrently(key, 0, size - 1)
                        restoreNetwork()
                        delay(1_000)
                        submitInSequence(key, 0, size - 1)
                    }
                }
            }

        private fun messageCases() =
            listOf(
                "delayed" to Faults(delayProbability = 0.3),
                "duplicated and delayed" to Faults(duplicateProbability = 0.5, delayProbability = 0.3),
                "lost" to Faults(lossProbability = 0.2),
                "delayed, duplicated and lost" to
                    Faults(lossProbability = 0.1, duplicateProbability = 0.3, delayProbability = 0.3),
            ).map { (name, probabilities) ->
                AtMostOnceCase("messages are $name", minimumExecuted = 1) {
                    faults.lossProbability = probabilities.lossProbability
                    faults.duplicateProbability = probabilities.duplicateProbability
                    faults.delayProbability = probabilities.delayProbability
                    repeat(30) {
                        val key = key()
                        submitConcurrently(key, it % 6, (it + 1) % 6)
                        submitInSequence(key, (it + 2) % 6, (it + 3) % 6)
                        delay(500)
                        submitInSequence(key, it % 6)
                    }
                }
            }

        private fun keyCases() =
            listOf(-800_000L, -5_000L, 900L).map { offset ->
                AtMostOnceCase("its creation time is $offset ms off and a voter restarts", minimumExecuted = 1) {
                    repeat(10) {
                        val key = key(nowMillis() + offset)
                        at(0).submit(key, SendHooks(afterSend = { it.crash() }))
                        start(0)
                        replace(1)
                        delay(100)
                        submitInSequence(key, 2, 0, 1, 3)
                        delay(15_000)
                    }
                }
            } +
                listOf(
                    AtMostOnceCase("its key has no creation time and every voter is replaced", minimumExecuted = 1) {
                        val key = "order-17"
                        at(0).submit(key, SendHooks(afterSend = { it.crash() }))
                        for (index in 1..5) {
                            replace(index)
                            delay(10_000)
                            submitInSequence(key, 1, 2)
                        }
                    },
                    AtMostOnceCase("its key is sent again when the claim is about to expire", minimumExecuted = 1) {
                        val key = key()
                        submitInSequence(key, 0)
                        at(0).crash()
                        repeat(30) {
                            delay(30_500)
                            submitInSequence(key, 1, 2)
                        }
                    },
                )
    }
}
