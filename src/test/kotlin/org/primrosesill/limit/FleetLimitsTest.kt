/*
 * Limits under failure. Guards against a fleet that lets a customer exceed the contract by more than 5% over a minute,
 * or refuses requests within the contract, because routers or owners fail, restart, pause or disagree.
 */
package org.primrosesill.limit

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.AvailabilityZoneId
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

private const val CONTRACT_RATE = 20.0
private const val LOAD_WITHIN_CONTRACT = 1.0
private const val LOAD_OVER_CONTRACT = 3.0

class FleetLimitsTest {
    private class Case(
        val name: String,
        val events: Map<Int, FakeLimiterFleet.() -> Unit> = emptyMap(),
        val routerAt: (Long, Int) -> Int = { _, random -> random },
        /** Load up to which no request may be refused, as a fraction of the contract; 0 when refusals are allowed. */
        val loadWithoutRefusals: Double = LOAD_WITHIN_CONTRACT,
        val rateAt: (Long) -> Double = { CONTRACT_RATE },
    )

    private val cases =
        listOf(
            Case("load over all routers"),
            Case("load that moves between routers every 5 s", routerAt = { millis, _ -> (millis / 5_000 * 7).toInt() }),
            Case("the owner crashes", mapOf(30 to { owner().isAlive = false }), loadWithoutRefusals = 0.6),
            Case(
                "the owner pauses for 10 s and resumes",
                mapOf(30 to { owner().isPaused = true }, 40 to { routers.forEach { it.isPaused = false } }),
                loadWithoutRefusals = 0.6,
            ),
            Case(
                "half of the routers receive no heartbeat of the owner for 20 s",
                mapOf(30 to { dropOwnerHeartbeats(3) }, 50 to { deliverAllHeartbeats() }),
            ),
            Case(
                "the backup owner receives no heartbeat of the owner for 4 s",
                mapOf(
                    30 to { dropOwnerHeartbeats(1) },
                    34 to { deliverAllHeartbeats() },
                ),
            ),
            Case(
                "a zone is disconnected for 40 s",
                mapOf(
                    20 to { disconnectZone() },
                    60 to {
                        connected = {
                            _,
                            _,
                            ->
                            true
                        }
                    },
                ),
                loadWithoutRefusals = 0.0,
            ),
            Case(
                "the owner restarts",
                mapOf(
                    30 to {
                        owner().let {
                            it.isAlive = false
                            join(it.index)
                        }
                    },
                ),
                loadWithoutRefusals = 0.6,
            ),
            Case("routers join", mapOf(20 to { join(900) }, 30 to { join(901) }, 40 to { join(902) })),
            Case("a revision raises the limit", rateAt = { if (it < 45_000) CONTRACT_RATE else 2 * CONTRACT_RATE }),
            Case("a revision lowers the limit", rateAt = { if (it < 45_000) CONTRACT_RATE else CONTRACT_RATE / 2 }),
        )

    private val fleetSizes = listOf(8, 48, 330)

    @TestFactory
    fun `a customer never exceeds the contract by more than 5 percent and is served up to it`(): List<DynamicTest> =
        cases.flatMap { case -> fleetSizes.map { case to it } }.map { (case, size) ->
            dynamicTest("${case.name}, $size routers") {
                val over = run(case, size, LOAD_OVER_CONTRACT)
                val within =
                    run(
                        case,
                        size,
                        if (case.loadWithoutRefusals >
                            0
                        ) {
                            case.loadWithoutRefusals
                        } else {
                            LOAD_WITHIN_CONTRACT
                        },
                    )
                val served = over.second.started.size / (0L until 90).sumOf { case.rateAt(it * 1_000) }
                val fixedShareExcess = over.second.maximumExcess(over.first, over.second.fixedShareStarted)
                println(
                    "limits seed=$SEED case='${case.name}' routers=$size " +
                        "over=%.1f%% served=%.1f%% ".format(
                            over.second.maximumExcess(over.first) * 100,
                            served * 100,
                        ) +
                        "refused=${within.second.refused} of ${within.second.offered} calls=${within.second.calls} " +
                        "fixed-share-over=%.1f%% ".format(fixedShareExcess * 100) +
                        "fixed-share-refused=${within.second.offered - within.second.fixedShareStarted.size}",
                )
                expectThat(over.second.maximumExcess(over.first)).isLessThanOrEqualTo(0.05)
                if (case.loadWithoutRefusals > 0) {
                    expectThat(
                        within.second.refused.values
                            .sum(),
                    ).isLessThanOrEqualTo(0)
                }
            }
        }

    private fun run(case: Case, size: Int, load: Double): Pair<Scenario, Outcome> {
        val contractAt = { millis: Long -> contract(case.rateAt(millis)) }
        val offeredAt = { millis: Long -> case.rateAt(millis) * load }
        val scenario = Scenario(case.name, size, contractAt, offeredAt, case.routerAt, events = case.events)
        return scenario to runScenario(scenario)
    }

    /** Drops heartbeats of the owner: to its backup only if [receivers] is 1, else to odd routers except the backup. */
    private fun FakeLimiterFleet.dropOwnerHeartbeats(receivers: Int) {
        val owner = owner()
        val backup = owner(1)
        delivers = { sender, receiver ->
            sender !== owner ||
                (if (receivers == 1) receiver !== backup else receiver === backup || receiver.index % 2 == 0)
        }
    }

    private fun FakeLimiterFleet.deliverAllHeartbeats() {
        delivers = { _, _ -> true }
    }

    private fun FakeLimiterFleet.disconnectZone() {
        val disconnected = AvailabilityZoneId("zone-2")
        connected = { one, other -> (one.zone == disconnected) == (other.zone == disconnected) }
    }
}
