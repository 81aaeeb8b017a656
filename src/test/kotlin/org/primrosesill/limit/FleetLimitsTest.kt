/*
 * Limits under failure. Guards against a fleet that lets a customer exceed the contract by more than 5% over a minute,
 * or refuses a customer within it, because routers or owners fail, restart, pause or disagree.
 */
package org.primrosesill.limit

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.AvailabilityZoneId
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

private const val RATE = 20.0
private const val WITHIN = 1.0
private const val SURGE = 3.0

class FleetLimitsTest {
    private class Case(
        val name: String,
        val events: Map<Int, LimitFleet.() -> Unit> = emptyMap(),
        val routerAt: (Long, Int) -> Int = { _, random -> random },
        /** The load up to which no request may be refused, as a part of the contract; 0 for no promise. */
        val servedLoad: Double = WITHIN,
        val rateAt: (Long) -> Double = { RATE },
    )

    private val cases =
        listOf(
            Case("load over all routers"),
            Case("load that moves between routers every 5 s", routerAt = { millis, _ -> (millis / 5_000 * 7).toInt() }),
            Case("the owner dies", mapOf(30 to { ownerNode().alive = false }), servedLoad = 0.6),
            Case(
                "the owner pauses for 10 s and wakes",
                mapOf(30 to { ownerNode().paused = true }, 40 to { nodes.forEach { it.paused = false } }),
                servedLoad = 0.6,
            ),
            Case("half the routers do not hear the owner for 20 s", mapOf(30 to { deafen(3) }, 50 to { hearAll() })),
            Case("the stand-in does not hear the owner for 4 s", mapOf(30 to { deafen(1) }, 34 to { hearAll() })),
            Case(
                "a zone is cut off for 40 s",
                mapOf(
                    20 to { cutZone() },
                    60 to {
                        linked = {
                            _,
                            _,
                            ->
                            true
                        }
                    },
                ),
                servedLoad = 0.0,
            ),
            Case(
                "the owner restarts",
                mapOf(
                    30 to {
                        ownerNode().let {
                            it.alive = false
                            join(it.index)
                        }
                    },
                ),
                servedLoad = 0.6,
            ),
            Case("routers join", mapOf(20 to { join(900) }, 30 to { join(901) }, 40 to { join(902) })),
            Case("a revision raises the limit", rateAt = { if (it < 45_000) RATE else 2 * RATE }),
            Case("a revision lowers the limit", rateAt = { if (it < 45_000) RATE else RATE / 2 }),
        )

    private val fleetSizes = listOf(8, 48, 330)

    @TestFactory
    fun `a customer never exceeds the contract by more than 5 percent and is served up to it`(): List<DynamicTest> =
        cases.flatMap { case -> fleetSizes.map { case to it } }.map { (case, routers) ->
            dynamicTest("${case.name}, $routers routers") {
                val over = run(case, routers, SURGE)
                val within = run(case, routers, if (case.servedLoad > 0) case.servedLoad else WITHIN)
                val served = over.second.started.size / (0L until 90).sumOf { case.rateAt(it * 1_000) }
                val fixedShare = over.second.worstMinuteOver(over.first, over.second.baselineStarted)
                println(
                    "limits seed=$SEED case='${case.name}' routers=$routers " +
                        "over=%.1f%% served=%.1f%% ".format(
                            over.second.worstMinuteOver(over.first) * 100,
                            served * 100,
                        ) +
                        "refused=${within.second.refused} of ${within.second.offered} calls=${within.second.calls} " +
                        "fixed-share-over=%.1f%% ".format(fixedShare * 100) +
                        "fixed-share-refused=${within.second.offered - within.second.baselineStarted.size}",
                )
                expectThat(over.second.worstMinuteOver(over.first)).isLessThanOrEqualTo(0.05)
                if (case.servedLoad > 0) {
                    expectThat(
                        within.second.refused.values
                            .sum(),
                    ).isLessThanOrEqualTo(0)
                }
            }
        }

    private fun run(case: Case, routers: Int, load: Double): Pair<Scenario, Outcome> {
        val contractAt = { millis: Long -> contract(case.rateAt(millis)) }
        val offeredAt = { millis: Long -> case.rateAt(millis) * load }
        val scenario = Scenario(case.name, routers, contractAt, offeredAt, case.routerAt, events = case.events)
        return scenario to runScenario(scenario)
    }

    private fun LimitFleet.deafen(modulus: Int) {
        val owner = ownerNode()
        val standIn = ownerNode(1)
        hears = { sender, receiver ->
            sender !== owner ||
                (if (modulus == 1) receiver !== standIn else receiver === standIn || receiver.index % 2 == 0)
        }
    }

    private fun LimitFleet.hearAll() {
        hears = { _, _ -> true }
    }

    private fun LimitFleet.cutZone() {
        val cut = AvailabilityZoneId("zone-2")
        linked = { one, other -> (one.zone == cut) == (other.zone == cut) }
    }
}
