/*
 * Compares protocols that disseminate updates in a fleet: the planned exchanges of the product, push-pull gossip with
 * one random peer, and relaying through a few coordinators. Only messages and rounds are counted. Crashed routers
 * remain in the member list of every router.
 */
package org.primrosesill.experiment

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.exchange.planExchanges
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import java.util.BitSet
import java.util.Random

/**
 * One row of the comparison.
 *
 * @property messagesPerRound requests and replies of all routers in one round, on average
 * @property rounds highest number of rounds over all runs until every live router has the update of every other one, or
 *   null if a run exceeded its limit
 */
public data class DisseminationRow(
    val protocol: String,
    val nodes: Int,
    val crashed: Int,
    val messagesPerRound: Int,
    val rounds: Int?,
)

/** Compares the protocols in fleets of [sizes] routers, with none and with a third crashed, in [runs] runs each. */
public fun compareDissemination(sizes: List<Int> = listOf(8, 48, 330), runs: Int = 10): List<DisseminationRow> =
    sizes.flatMap { size ->
        listOf(0, size / 3).flatMap { crashed -> protocols.map { measure(it, size, crashed, runs) } }
    }

/** Prints [rows] as a table. */
public fun printDissemination(rows: List<DisseminationRow>) {
    println("protocol          nodes crashed messages/round rounds")
    rows.forEach {
        println(
            "%-17s %5d %7d %14d %6s".format(
                it.protocol,
                it.nodes,
                it.crashed,
                it.messagesPerRound,
                it.rounds ?: "never",
            ),
        )
    }
}

/** The state from which a protocol selects the peers of a round. */
private class ProtocolState(val nodes: List<Member>, val live: List<Int>, val random: UniformRandomProvider) {
    val indexByRouter = nodes.withIndex().associate { it.value.router to it.index }
}

private class Protocol(val name: String, val selectPeers: (round: Long, state: ProtocolState) -> List<Pair<Int, Int>>)

private val protocols =
    listOf(
        Protocol("planned exchange") { round, state ->
            state.live.flatMap { from ->
                planExchanges(round, state.nodes[from].router, state.nodes)
                    .map { from to state.indexByRouter.getValue(it.peer.router) }
            }
        },
        Protocol("random push-pull") { _, state ->
            state.live.map { it to (it + 1 + state.random.nextInt(state.nodes.size - 1)) % state.nodes.size }
        },
        Protocol("relay") { round, state ->
            // Two consecutive rounds have the same coordinators, which collect updates in the first round and
            // distribute them in the second.
            val coordinatorRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(round / 2)
            val coordinators = List(COORDINATOR_COUNT) { coordinatorRandom.nextInt(state.nodes.size) }
            state.live.flatMap { from -> coordinators.filter { it != from }.map { from to it } }
        },
    )

private fun measure(protocol: Protocol, size: Int, crashed: Int, runs: Int): DisseminationRow {
    val results = List(runs) { runToConvergence(protocol, size, crashed, SEED + it) }
    val rounds = results.map { it.first }
    val messages = results.sumOf { it.second } / results.sumOf { (it.first ?: ROUND_LIMIT).toLong() }
    return DisseminationRow(
        protocol.name,
        size,
        crashed,
        messages.toInt(),
        if (null in
            rounds
        ) {
            null
        } else {
            rounds.filterNotNull().max()
        },
    )
}

/**
 * Returns the number of rounds until every live router has all updates, or null if [ROUND_LIMIT] rounds do not suffice,
 * and the number of messages sent.
 */
private fun runToConvergence(protocol: Protocol, size: Int, crashed: Int, seed: Long): Pair<Int?, Long> {
    val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val zones = if (size > 200) 7 else 3
    val nodes = List(size) { member(random, it % zones) }
    val live =
        nodes.indices
            .sortedBy { random.nextInt() }
            .drop(crashed)
            .sorted()
    val state = ProtocolState(nodes, live, random)
    var updates = nodes.indices.map { index -> BitSet().apply { set(index) } }
    val required = BitSet().apply { live.forEach { set(it) } }
    val start = random.nextInt(1_000_000)
    var messages = 0L
    for (round in 1..ROUND_LIMIT) {
        val contacts = protocol.selectPeers((start + round).toLong(), state)
        val updatesAfterRound = updates.map { it.clone() as BitSet }
        val liveIndexes = live.toSet()
        contacts.forEach { (from, to) ->
            messages++
            if (to in liveIndexes) {
                messages++
                updatesAfterRound[to].or(updates[from])
                updatesAfterRound[from].or(updates[to])
            }
        }
        updates = updatesAfterRound
        if (live.all { required.minus(updates[it]).isEmpty }) return round to messages
    }
    return null to messages
}

private fun BitSet.minus(other: BitSet): BitSet = (clone() as BitSet).apply { andNot(other) }

private fun member(random: UniformRandomProvider, zone: Int) =
    Member(RouterId(random.nextLong().toString()), "", AvailabilityZoneId("zone-$zone"), 0, 0, MemberState.LIVE)

private const val COORDINATOR_COUNT = 3
private const val ROUND_LIMIT = 100
private const val SEED = 20_261_204L
