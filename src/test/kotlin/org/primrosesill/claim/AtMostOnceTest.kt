/*
 * Proof of requirement 6: a keyed request runs at most once, whatever routers, clocks and messages do meanwhile. Each
 * case prints what callers were told, because a fleet that refuses everything would also pass.
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
    val served: Int = 0,
    val size: Int = 6,
    val knows: (Int, Int) -> Boolean = { _, _ -> true },
    val run: suspend FakeFleet.() -> Unit,
) {
    override fun toString() = name
}

class AtMostOnceTest {
    // Guards against a booking that is made twice, and against a fleet that refuses bookings without need.
    @ParameterizedTest
    @MethodSource("cases")
    fun `a keyed request runs at most once when`(case: AtMostOnceCase) =
        runTest {
            val fleet = FakeFleet(this, case.size, SEED, knows = case.knows)
            case.run(fleet)
            println(
                "$case: told=${fleet.outcomes} executions=${fleet.executions.values.sum()} of ${fleet.executions.size} keys",
            )
            expectThat(fleet.executions.values.maxOrNull() ?: 0).isLessThanOrEqualTo(1)
            expectThat(fleet.executions.size).isGreaterThanOrEqualTo(case.served)
        }

    companion object {
        const val SEED = 20_261_204L
        private const val PAST_EVERY_TIMEOUT = 1_000_000L

        private suspend fun FakeFleet.atOnce(key: String, vararg indexes: Int) =
            indexes.map { test.backgroundScope.async { at(it).submit(key) } }.awaitAll()

        private suspend fun FakeFleet.retry(key: String, vararg indexes: Int) = indexes.forEach { at(it).submit(key) }

        private fun FakeFleet.background(index: Int, key: String, hooks: SendHooks) =
            test.backgroundScope.launch { at(index).submit(key, hooks) }

        @JvmStatic
        fun cases(): List<AtMostOnceCase> = claimantCases() + fleetCases() + viewCases() + messageCases() + keyCases()

        private fun claimantCases() =
            listOf(
                AtMostOnceCase("it arrives at two routers at once", served = 40) {
                    repeat(40) { atOnce(key(), 0, 1) }
                },
                AtMostOnceCase("it arrives at all routers at once", served = 20) {
                    repeat(20) { atOnce(key(), 0, 1, 2, 3, 4, 5) }
                },
                AtMostOnceCase("it arrives twice at one router", served = 20) { repeat(20) { atOnce(key(), 0, 0) } },
                AtMostOnceCase("the claimant dies before the send") {
                    val key = key()
                    background(0, key, SendHooks(beforeSend = { it.die() }))
                    delay(100)
                    retry(key, 1, 2, 3)
                },
                AtMostOnceCase("the claimant dies during the send", served = 1) {
                    val key = key()
                    background(0, key, SendHooks(afterSend = { it.die() }))
                    delay(100)
                    retry(key, 1, 2, 3)
                },
                AtMostOnceCase("the claimant dies after the send", served = 1) {
                    val key = key()
                    at(0).submit(key)
                    delay(50)
                    at(0).die()
                    retry(key, 1, 2, 3)
                },
                AtMostOnceCase("the claimant pauses before the send beyond every timeout and wakes", served = 1) {
                    val key = key()
                    background(0, key, SendHooks(beforeSend = { it.pause(PAST_EVERY_TIMEOUT) }))
                    repeat(10) {
                        delay(PAST_EVERY_TIMEOUT / 8)
                        retry(key, 1, 2, 3)
                    }
                },
                AtMostOnceCase("the claimant pauses and others are replaced meanwhile", served = 1) {
                    val key = key()
                    background(0, key, SendHooks(beforeSend = { it.pause(60_000) }))
                    for (index in 1..5) {
                        delay(6_000)
                        replace(index)
                        retry(key, 1, 2, 3, 4, 5)
                    }
                    delay(60_000)
                },
            )

        private fun fleetCases() =
            listOf(
                AtMostOnceCase("one of six routers is cut off", served = 20) { partitioned(3_000, 5) },
                AtMostOnceCase("a zone of three is cut off and listed") { partitioned(20_000, 2, 5) },
                AtMostOnceCase("a zone of three is cut off and the VM list drops it", served = 20) {
                    routers.forEach { it.members.updateVmList(setOf(0, 1, 3, 4).map(FakeFleet::address).toSet()) }
                    partitioned(20_000, 2, 5)
                },
                AtMostOnceCase("half of the routers is cut off for long") { partitioned(20_000, 3, 4, 5) },
                AtMostOnceCase("a zone is cut off in one direction") {
                    cutOff(2, 5, oneWay = true)
                    repeat(10) { key().let { key -> retry(key, 0, 2, 5, 1) }.also { delay(1_000) } }
                },
                AtMostOnceCase("half is cut off and the VM list names only the own side", size = 8) {
                    routers.forEachIndexed { index, router ->
                        val side = if (index < 4) 0..3 else 4..7
                        router.members.updateVmList(side.map(FakeFleet::address).toSet())
                    }
                    partitioned(20_000, 4, 5, 6, 7)
                },
                AtMostOnceCase("every router is replaced one by one during the retries", served = 1) {
                    val key = key()
                    at(0).submit(key, SendHooks(afterSend = { it.die() }))
                    start(0)
                    repeat(6) { index ->
                        replace(index)
                        delay(3_000)
                        retry(key, 0, 1, 2, 3, 4, 5)
                    }
                },
                AtMostOnceCase("voters restart between two tries") {
                    repeat(10) {
                        val key = key()
                        background(0, key, SendHooks(afterSend = { delay(300) }))
                        delay(20)
                        for (index in 1..4) replace(index)
                        delay(10)
                        retry(key, 1, 2, 3, 4, 5)
                        delay(20_000)
                    }
                },
                AtMostOnceCase("a voter pauses through the claim and the partition heals") {
                    repeat(10) {
                        val key = key()
                        at(3).pause(8_000)
                        cutOff(4, 5)
                        retry(key, 0, 4)
                        delay(7_000)
                        heal()
                        retry(key, 3, 5, 1)
                        delay(5_000)
                    }
                },
            )

        private suspend fun FakeFleet.partitioned(millis: Long, vararg side: Int) {
            cutOff(*side)
            delay(millis)
            repeat(10) {
                val key = key()
                retry(key, 0, side.first(), 1)
                atOnce(key(), 3, side.last())
            }
            heal()
            delay(2_000)
            executions.keys.toList().forEach { retry(it, 0, side.first()) }
        }

        /** Each side is unaware of a third of the fleet, and each router in the middle is reached by one side only. */
        private fun viewCases() =
            listOf(6, 9, 12).map { size ->
                val third = size / 3
                val middle = third until size - third

                fun knows(from: Int, to: Int) =
                    from == to || to in middle || (from < third && to < third) ||
                        (from >= size - third && to >= size - third)
                AtMostOnceCase("each of two claimants is unaware of a third of $size routers", 10, size, ::knows) {
                    repeat(10) {
                        val key = key()
                        faults.cut = { from, to ->
                            val reached = if (FakeFleet.index(from) < third) 0 until size / 2 else size / 2 until size
                            FakeFleet.index(from) !in middle && FakeFleet.index(to) in middle &&
                                FakeFleet.index(to) !in reached
                        }
                        atOnce(key, 0, size - 1)
                        heal()
                        delay(1_000)
                        retry(key, 0, size - 1)
                    }
                }
            }

        private fun messageCases() =
            listOf(
                "late" to Faults(late = 0.3),
                "duplicated and late" to Faults(duplicate = 0.5, late = 0.3),
                "lost" to Faults(lose = 0.2),
                "late, duplicated and lost" to Faults(lose = 0.1, duplicate = 0.3, late = 0.3),
            ).map { (name, wanted) ->
                AtMostOnceCase("messages are $name", served = 1) {
                    faults.lose = wanted.lose
                    faults.duplicate = wanted.duplicate
                    faults.late = wanted.late
                    repeat(30) {
                        val key = key()
                        atOnce(key, it % 6, (it + 1) % 6)
                        retry(key, (it + 2) % 6, (it + 3) % 6)
                        delay(500)
                        retry(key, it % 6)
                    }
                }
            }

        private fun keyCases() =
            listOf(-800_000L, -5_000L, 900L).map { offset ->
                AtMostOnceCase("its clock is $offset ms off and a voter restarts", served = 1) {
                    repeat(10) {
                        val key = key(nowMillis() + offset)
                        at(0).submit(key, SendHooks(afterSend = { it.die() }))
                        start(0)
                        replace(1)
                        delay(100)
                        retry(key, 2, 0, 1, 3)
                        delay(15_000)
                    }
                }
            } +
                listOf(
                    AtMostOnceCase("its key carries no time and every voter is replaced", served = 1) {
                        val key = "order-17"
                        at(0).submit(key, SendHooks(afterSend = { it.die() }))
                        for (index in 1..5) {
                            replace(index)
                            delay(10_000)
                            retry(key, 1, 2)
                        }
                    },
                    AtMostOnceCase("its key is repeated when the claim is about to expire", served = 1) {
                        val key = key()
                        retry(key, 0)
                        at(0).die()
                        repeat(30) {
                            delay(30_500)
                            retry(key, 1, 2)
                        }
                    },
                )
    }
}
