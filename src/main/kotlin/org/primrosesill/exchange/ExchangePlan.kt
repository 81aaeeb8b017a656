/*
 * Who exchanges with whom in a round. The planner is a pure function of the round and the live members, so that a test
 * can compute the plans of a whole fleet.
 */
package org.primrosesill.exchange

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.generated.Member
import org.primrosesill.model.RouterId
import kotlin.math.ceil
import kotlin.math.sqrt

/** What a message of a round carries, besides the sender's configuration revision. */
public enum class ExchangeContent {
    /** The sender's whole part. Fleets of up to [FULL_MESH_ROUTERS] routers send nothing else. */
    OWN_PART,

    /** Heartbeats of the sender's zone and recent changes, to a router of the same zone. */
    ZONE,

    /** Heartbeats of the sender's zone and recent changes, to a router of another zone. */
    BETWEEN_ZONES,
}

/** One exchange that a router starts: it sends a message to [peer] and receives one in reply. */
public data class PlannedExchange(val peer: Member, val content: ExchangeContent)

/** Largest fleet in which every router exchanges with every other one. */
public const val FULL_MESH_ROUTERS: Int = 9

/**
 * Plans the exchanges that [self] starts in [round].
 *
 * Both directions of an exchange carry news, so that one of the two routers starts it; which one alternates with the
 * round, because a cut may be one-way. Beyond [FULL_MESH_ROUTERS] the routers of a zone form a grid; even rounds run
 * along its rows and odd rounds along its columns, so that two rounds reach the zone. Positions are permuted every two
 * rounds, so that a lost router does not hide the same news twice. Each router also exchanges with one router of another
 * zone in each round; the zones come in turn, and the routers of a zone start at different ones.
 *
 * @param live all live members with [self], in any order
 */
public fun planExchanges(round: Long, self: RouterId, live: List<Member>): List<PlannedExchange> {
    if (live.size <= FULL_MESH_ROUTERS) return planFullMesh(round, self, live)
    val members = live.sortedBy { it.router.value }
    val zones = members.groupBy { it.availabilityZone }.toSortedMap(compareBy { it.value })
    val zoneNames = zones.keys.toList()
    val ownZone = members.first { it.router == self }.availabilityZone
    val own = permuted(round, zones.getValue(ownZone))
    val position = own.indexOfFirst { it.router == self }
    val line = line(round, own, position)
    val inZone = started(round / 2, line, line.indexOfFirst { it.router == self })
    // The turn of the zones does not follow the permuted position: each zone is visited once in as many rounds.
    val rank = zones.getValue(ownZone).indexOfFirst { it.router == self }
    val between = otherZone(round, zoneNames.indexOf(ownZone), rank, zoneNames.size)
    val remote = between?.let { permuted(round, zones.getValue(zoneNames[it])) }?.let { it[position % it.size] }
    return inZone.map { PlannedExchange(it, ExchangeContent.ZONE) } +
        listOfNotNull(remote?.let { PlannedExchange(it, ExchangeContent.BETWEEN_ZONES) })
}

/** Plans exchanges of whole parts with every other router, each pair in every second round at the latest. */
public fun planFullMesh(round: Long, self: RouterId, live: List<Member>): List<PlannedExchange> {
    val members = live.sortedBy { it.router.value }
    return started(round, members, members.indexOfFirst { it.router == self }).map {
        PlannedExchange(it, ExchangeContent.OWN_PART)
    }
}

/** The [silent] addresses to which this router sends its part in [round], at most [PROBES_PER_ROUND] of them in turn. */
public fun planProbes(round: Long, silent: Set<String>): List<String> {
    val addresses = silent.sorted()
    return List(minOf(PROBES_PER_ROUND, addresses.size)) { index ->
        addresses[((round * PROBES_PER_ROUND + index) % addresses.size).toInt()]
    }
}

private const val PROBES_PER_ROUND = 3

/** Of each pair of [members] one starts the exchange; the parity of the positions and the round decides. */
private fun started(round: Long, members: List<Member>, position: Int): List<Member> =
    members.filterIndexed { other, _ ->
        val lowerStarts = (position + other + round) % 2 == 0L
        other != position && lowerStarts == (position < other)
    }

/** The row or column of the grid through [position]. */
private fun line(round: Long, members: List<Member>, position: Int): List<Member> {
    val columns = ceil(sqrt(members.size.toDouble())).toInt()
    return members.filterIndexed { other, _ ->
        if (round % 2 == 0L) other / columns == position / columns else other % columns == position % columns
    }
}

private fun otherZone(round: Long, zone: Int, rank: Int, zones: Int): Int? =
    if (zones < 2) null else (zone + 1 + ((rank + round) % (zones - 1)).toInt()) % zones

/** Orders [members] by a hash of their id and the pair of rounds. */
private fun permuted(round: Long, members: List<Member>): List<Member> =
    members.sortedBy { member ->
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(member.router.value)
            .putLong(round / 2)
            .asLong
    }
