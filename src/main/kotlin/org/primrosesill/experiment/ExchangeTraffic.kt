/*
 * Measures the cost and speed of exchanges: the control traffic of one node by fleet size, and the rounds until all
 * routers have received an update.
 */
package org.primrosesill.experiment

import org.primrosesill.exchange.FULL_MESH_ROUTERS

/**
 * One row of the measurement.
 *
 * @property bytesPerSecond bytes sent and received by an average node, headers included
 * @property highestBytesPerSecond the same for the node with the most traffic
 * @property roundsToAll rounds of 600 ms until every router has received a configuration revision that one router
 *   accepted; the highest number of all revisions, or null if one did not reach every router in time
 * @property falseLosses number of times that a router reported a running router as lost
 */
public data class ExchangeTrafficRow(
    val nodes: Int,
    val upstreams: Int,
    val bytesPerSecond: Long,
    val highestBytesPerSecond: Long,
    val roundsToAll: Int?,
    val falseLosses: Int,
)

/**
 * Measures fleets of [sizes] nodes. Fleets of up to 9 nodes have 11 upstreams, as they have today; larger fleets have
 * 11.8 upstreams per node, as the largest one has.
 */
public fun measureExchangeTraffic(sizes: List<Int> = listOf(8, 16, 32, 64, 128, 330)): List<ExchangeTrafficRow> =
    sizes.map { measure(it, if (it <= FULL_MESH_ROUTERS) MESH_UPSTREAMS else it * LARGEST_UPSTREAMS / LARGEST_NODES) }

/** Measures the additional bytes per second of a node for each upstream that is added to a fleet of [nodes] nodes. */
public fun bytesPerUpstream(nodes: Int): Double {
    val lower = measure(nodes, nodes * 4)
    val higher = measure(nodes, nodes * 12)
    return (higher.bytesPerSecond - lower.bytesPerSecond).toDouble() / (higher.upstreams - lower.upstreams)
}

/** Prints [rows] as a table, with the additional bytes per second for each node added since the previous row. */
public fun printExchangeTraffic(rows: List<ExchangeTrafficRow>) {
    println("nodes upstreams    B/s/node  highest  per added node  rounds to all  false losses")
    rows.forEachIndexed { index, row ->
        val previous = rows.getOrNull(index - 1)
        val bytesPerNode =
            previous?.let {
                (row.bytesPerSecond - it.bytesPerSecond).toDouble() / (row.nodes - it.nodes)
            }
        println(
            "%5d %9d %11d %8d %15s %14s %13d".format(
                row.nodes,
                row.upstreams,
                row.bytesPerSecond,
                row.highestBytesPerSecond,
                bytesPerNode?.let { "%.1f".format(it) } ?: "-",
                row.roundsToAll ?: "never",
                row.falseLosses,
            ),
        )
    }
}

private fun measure(nodes: Int, upstreams: Int): ExchangeTrafficRow {
    val fleet = ExchangeFleet(nodes, if (nodes > 200) 7 else 3, upstreams, SEED)
    repeat(WARM_UP_ROUNDS) { fleet.runRound() }
    fleet.routers.forEach { it.transferredBytes = 0 }
    repeat(MEASURED_ROUNDS) { fleet.runRound() }
    val seconds = MEASURED_ROUNDS * ROUND_MILLIS / 1_000
    val bytes = fleet.routers.map { it.transferredBytes / seconds }
    val roundsByRevision =
        List(REVISION_COUNT) { index ->
            val revision = 30_000L + index
            fleet.routers[fleet.random.nextInt(nodes)].configurationRevision = revision
            fleet.roundsUntil(ROUND_LIMIT) { fleet.routers.all { it.highestRevision() >= revision } }
        }
    return ExchangeTrafficRow(
        nodes,
        upstreams,
        bytes.sum() / nodes,
        bytes.max(),
        if (null in roundsByRevision) null else roundsByRevision.filterNotNull().max(),
        fleet.routers.sumOf { it.falseLosses },
    )
}

private const val SEED = 20_261_204L
private const val MESH_UPSTREAMS = 11
private const val LARGEST_NODES = 330
private const val LARGEST_UPSTREAMS = 3_900
private const val WARM_UP_ROUNDS = 12
private const val MEASURED_ROUNDS = 24
private const val REVISION_COUNT = 6
private const val ROUND_LIMIT = 40
