/*
 * Compares ways to spread news over a fleet: the planned exchanges of the product, push-pull gossip with one random
 * partner, and a relay through a few coordinators. Only messages and rounds are counted; routers that crashed are still
 * in everybody's list.
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
 * @property rounds highest number of rounds over all runs until every live router has news of every other one
 */
public data class DisseminationRow(
    val way: String,
    val nodes: Int,
    val crashed: Int,
    val messagesPerRound: Int,
    val rounds: Int?,
)

/** Compares the ways for fleets of [sizes] routers in [runs] runs each, with nobody and with a third crashed. */
public fun compareDissemination(sizes: List<Int> = listOf(8, 48, 330), runs: Int = 10): List<DisseminationRow> =
    sizes.flatMap { size -> listOf(0, size / 3).flatMap { crashed -> ways.map { measure(it, size, crashed, runs) } } }

/** Prints [rows] as a table. */
public fun printDissemination(rows: List<DisseminationRow>) {
    println("way               nodes crashed messages/round rounds")
    rows.forEach {
        println(
            "%-17s %5d %7d %14d %6s".format(it.way, it.nodes, it.crashed, it.messagesPerRound, it.rounds ?: "never"),
        )
    }
}

/** Everything that a way of spreading news can see when it chooses the partners of a round. */
private class Setting(val nodes: List<Member>, val alive: List<Int>, val random: UniformRandomProvider) {
    val indexes = nodes.withIndex().associate { it.value.router to it.index }
}

private class Way(val name: String, val contacts: (round: Long, setting: Setting) -> List<Pair<Int, Int>>)

private val ways =
    listOf(
        Way("planned exchange") { round, setting ->
            setting.alive.flatMap { from ->
                planExchanges(round, setting.nodes[from].router, setting.nodes)
                    .map { from to setting.indexes.getValue(it.peer.router) }
            }
        },
        Way("random push-pull") { _, setting ->
            setting.alive.map { it to (it + 1 + setting.random.nextInt(setting.nodes.size - 1)) % setting.nodes.size }
        },
        Way("relay") { round, setting ->
            // Two rounds have the same coordinators: in the first they gather news, in the second they hand it out.
            val draw = RandomSource.XO_RO_SHI_RO_128_PP.create(round / 2)
            val coordinators = List(COORDINATORS) { draw.nextInt(setting.nodes.size) }
            setting.alive.flatMap { from -> coordinators.filter { it != from }.map { from to it } }
        },
    )

private fun measure(way: Way, size: Int, crashed: Int, runs: Int): DisseminationRow {
    val results = List(runs) { run(way, size, crashed, SEED + it) }
    val rounds = results.map { it.first }
    val messages = results.sumOf { it.second } / results.sumOf { (it.first ?: ROUND_LIMIT).toLong() }
    return DisseminationRow(
        way.name,
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

/** Returns the rounds until all live routers have all news, or null, and the messages sent. */
private fun run(way: Way, size: Int, crashed: Int, seed: Long): Pair<Int?, Long> {
    val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val zones = if (size > 200) 7 else 3
    val nodes = List(size) { member(random, it % zones) }
    val alive =
        nodes.indices
            .sortedBy { random.nextInt() }
            .drop(crashed)
            .sorted()
    val setting = Setting(nodes, alive, random)
    var news = nodes.indices.map { index -> BitSet().apply { set(index) } }
    val all = BitSet().apply { alive.forEach { set(it) } }
    val start = random.nextInt(1_000_000)
    var messages = 0L
    for (round in 1..ROUND_LIMIT) {
        val contacts = way.contacts((start + round).toLong(), setting)
        val after = news.map { it.clone() as BitSet }
        val aliveSet = alive.toSet()
        contacts.forEach { (from, to) ->
            messages++
            if (to in aliveSet) {
                messages++
                after[to].or(news[from])
                after[from].or(news[to])
            }
        }
        news = after
        if (alive.all { all.minus(news[it]).isEmpty }) return round to messages
    }
    return null to messages
}

private fun BitSet.minus(other: BitSet): BitSet = (clone() as BitSet).apply { andNot(other) }

private fun member(random: UniformRandomProvider, zone: Int) =
    Member(RouterId(random.nextLong().toString()), "", AvailabilityZoneId("zone-$zone"), 0, 0, MemberState.LIVE)

private const val COORDINATORS = 3
private const val ROUND_LIMIT = 100
private const val SEED = 20_261_204L
