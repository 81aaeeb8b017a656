/*
 * Selects the peers of each exchange round. The plan is a pure function of the round and the live members, so that a
 * test can compute the plans of a whole fleet.
 */
package org.primrosesill.exchange

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.generated.Member
import org.primrosesill.model.RouterId
import kotlin.math.ceil
import kotlin.math.sqrt

/** Content of a message, in addition to the configuration revision of its sender. */
public enum class ExchangeContent {
    /** The whole part of the sender. Fleets of up to [FULL_MESH_ROUTERS] routers send nothing else. */
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
 * Both directions of an exchange carry updates, so that only one of the two routers starts it; which one alternates
 * with the round, because a partition may be one-way. Beyond [FULL_MESH_ROUTERS] the routers of a zone form a grid:
 * even rounds run along its rows and odd rounds along its columns, so that an update reaches the whole zone in two
 * rounds. Positions are permuted every two rounds, so that a lost router does not block the same updates twice. Each
 * router also exchanges with one router of another zone in each round, in rotation over the zones; the routers of a
 * zone start the rotation at different zones.
 *
 * @param live all live members, [self] included, in any order
 */
public fun planExchanges(round: Long, self: RouterId, live: List<Member>): List<PlannedExchange> {
    if (live.size <= FULL_MESH_ROUTERS) return planFullMesh(round, self, live)
    val members = live.sortedBy { it.router.value }
    val zones = members.groupBy { it.availabilityZone }.toSortedMap(compareBy { it.value })
    val zoneNames = zones.keys.toList()
    val ownZone = members.first { it.router == self }.availabilityZone
    val own = permute(round, zones.getValue(ownZone))
    val position = own.indexOfFirst { it.router == self }
    val gridLine = gridLine(round, own, position)
    val inZone = peersToContact(round / 2, gridLine, gridLine.indexOfFirst { it.router == self })
    // The rotation uses the unpermuted position, so that n other zones are each contacted once in n rounds.
    val zoneRank = zones.getValue(ownZone).indexOfFirst { it.router == self }
    val remoteZone = remoteZoneIndex(round, zoneNames.indexOf(ownZone), zoneRank, zoneNames.size)
    val remote = remoteZone?.let { permute(round, zones.getValue(zoneNames[it])) }?.let { it[position % it.size] }
    return inZone.map { PlannedExchange(it, ExchangeContent.ZONE) } +
        listOfNotNull(remote?.let { PlannedExchange(it, ExchangeContent.BETWEEN_ZONES) })
}

/** Plans exchanges of whole parts with every other router, at least one per pair in every second round. */
public fun planFullMesh(round: Long, self: RouterId, live: List<Member>): List<PlannedExchange> {
    val members = live.sortedBy { it.router.value }
    return peersToContact(round, members, members.indexOfFirst { it.router == self }).map {
        PlannedExchange(it, ExchangeContent.OWN_PART)
    }
}

/**
 * Returns the [silent] addresses to which this router sends its part in [round]: [PROBES_PER_ROUND] at most, in
 * rotation.
 */
public fun planProbes(round: Long, silent: Set<String>): List<String> {
    val addresses = silent.sorted()
    return List(minOf(PROBES_PER_ROUND, addresses.size)) { index ->
        addresses[((round * PROBES_PER_ROUND + index) % addresses.size).toInt()]
    }
}

private const val PROBES_PER_ROUND = 3

/**
 * Returns the [members] with which the member at [position] starts exchanges. The parity of the two positions and
 * [round] decides which of two members starts.
 */
private fun peersToContact(round: Long, members: List<Member>, position: Int): List<Member> =
    members.filterIndexed { other, _ ->
        val lowerStarts = (position + other + round) % 2 == 0L
        other != position && lowerStarts == (position < other)
    }

/** Returns the row (even rounds) or column (odd rounds) of the grid through [position]. */
private fun gridLine(round: Long, members: List<Member>, position: Int): List<Member> {
    val columns = ceil(sqrt(members.size.toDouble())).toInt()
    return members.filterIndexed { other, _ ->
        if (round % 2 == 0L) other / columns == position / columns else other % columns == position % columns
    }
}

private fun remoteZoneIndex(round: Long, zone: Int, zoneRank: Int, zones: Int): Int? =
    if (zones < 2) null else (zone + 1 + ((zoneRank + round) % (zones - 1)).toInt()) % zones

/** Orders [members] by a hash of their id and the index of the pair of rounds. */
private fun permute(round: Long, members: List<Member>): List<Member> =
    members.sortedBy { member ->
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(member.router.value)
            .putLong(round / 2)
            .asLong
    }
