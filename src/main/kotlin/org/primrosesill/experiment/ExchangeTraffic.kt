/*
 * Measures what exchanges cost and how fast they are: control bytes of one node by size of the fleet, and rounds until
 * all routers know of a change.
 */
package org.primrosesill.experiment

import org.primrosesill.exchange.FULL_MESH_ROUTERS

/**
 * One row of the measurement.
 *
 * @property bytesPerSecond bytes sent and received by an average node, headers included
 * @property highestBytesPerSecond the same for the node with the most
 * @property roundsToAll rounds of 600 ms until every router knows of a configuration revision that one router accepted
 */
public data class ExchangeTrafficRow(
    val nodes: Int,
    val upstreams: Int,
    val bytesPerSecond: Long,
    val highestBytesPerSecond: Long,
    val roundsToAll: Int?,
    val falseLosses: Int,
)

/** Measures fleets of [sizes] nodes: up to 9 with 11 upstreams as today, more with 11.8 a node as in the largest fleet. */
public fun measureExchangeTraffic(sizes: List<Int> = listOf(8, 16, 32, 64, 128, 330)): List<ExchangeTrafficRow> =
    sizes.map { measure(it, if (it <= FULL_MESH_ROUTERS) TODAYS_UPSTREAMS else it * LARGEST_UPSTREAMS / LARGEST_NODES) }

/** Measures the additional bytes a second for one more upstream in a fleet of [nodes]. */
public fun bytesPerUpstream(nodes: Int): Double {
    val few = measure(nodes, nodes * 4)
    val many = measure(nodes, nodes * 12)
    return (many.bytesPerSecond - few.bytesPerSecond).toDouble() / (many.upstreams - few.upstreams)
}

/** Prints [rows] as a table, with the slope from each row to the next. */
public fun printExchangeTraffic(rows: List<ExchangeTrafficRow>) {
    println("nodes upstreams  B/s a node  highest  per added node  rounds to all  false losses")
    rows.forEachIndexed { index, row ->
        val before = rows.getOrNull(index - 1)
        val slope = before?.let { (row.bytesPerSecond - it.bytesPerSecond).toDouble() / (row.nodes - it.nodes) }
        println(
            "%5d %9d %11d %8d %15s %14s %13d".format(
                row.nodes,
                row.upstreams,
                row.bytesPerSecond,
                row.highestBytesPerSecond,
                slope?.let { "%.1f".format(it) } ?: "-",
                row.roundsToAll ?: "never",
                row.falseLosses,
            ),
        )
    }
}

private fun measure(nodes: Int, upstreams: Int): ExchangeTrafficRow {
    val fleet = ExchangeFleet(nodes, if (nodes > 200) 7 else 3, upstreams, SEED)
    repeat(WARM_UP_ROUNDS) { fleet.step() }
    fleet.routers.forEach { it.bytes = 0 }
    repeat(MEASURED_ROUNDS) { fleet.step() }
    val seconds = MEASURED_ROUNDS * ROUND_MILLIS / 1_000
    val bytes = fleet.routers.map { it.bytes / seconds }
    val slowest =
        List(REVISIONS) { index ->
            val revision = 30_000L + index
            fleet.routers[fleet.random.nextInt(nodes)].configurationRevision = revision
            fleet.roundsUntil(ROUND_LIMIT) { fleet.routers.all { it.heardRevision() >= revision } }
        }
    return ExchangeTrafficRow(
        nodes,
        upstreams,
        bytes.sum() / nodes,
        bytes.max(),
        if (null in slowest) null else slowest.filterNotNull().max(),
        fleet.routers.sumOf { it.falseLosses },
    )
}

private const val SEED = 20_261_204L
private const val TODAYS_UPSTREAMS = 11
private const val LARGEST_NODES = 330
private const val LARGEST_UPSTREAMS = 3_900
private const val WARM_UP_ROUNDS = 12
private const val MEASURED_ROUNDS = 24
private const val REVISIONS = 6
private const val ROUND_LIMIT = 40
