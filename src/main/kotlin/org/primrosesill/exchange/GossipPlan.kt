/*
 * Selects the gateways to which a gateway sends its state in a round. In a small fleet these are all gateways of its
 * zone and one of each other zone; in a large fleet two random gateways of its zone or, every other round, one of its
 * zone and one of another zone. Relayed updates reach all n gateways in about log n rounds, and the work of each
 * gateway does not grow with the fleet. Traffic between zones costs more, so fewer messages are sent between zones.
 *
 * When a prompt that many requests share becomes popular, all gateways send these requests to the same engine. The
 * sooner they receive each other's load at that engine, the less they overload it.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member
import kotlin.random.Random

/** Largest fleet in which each gateway sends to all others of its zone in each round. */
public const val SMALL_FLEET_GATEWAYS: Int = 12

/** Number of gateways to which each gateway of a large fleet sends in a round. */
private const val PEERS_PER_ROUND = 2

/** Interval in rounds at which a gateway of a large fleet sends to another zone. */
private const val OTHER_ZONE_INTERVAL_ROUNDS = 2

/** Returns the gateways to which [self] sends in [round]; [live] is the whole fleet, [self] included. */
public fun planGossip(round: Long, self: Member, live: List<Member>, random: Random): List<Member> {
    val others = live.filter { it.router != self.router }
    val (ownZonePeers, otherZonePeers) = others.partition { it.availabilityZone == self.availabilityZone }
    if (live.size <= SMALL_FLEET_GATEWAYS) return ownZonePeers + oneOfEachOtherZone(self, live, random)
    // Without peers in its own zone, a gateway sends to another zone in each round.
    val includesOtherZone = round % OTHER_ZONE_INTERVAL_ROUNDS == 0L || ownZonePeers.isEmpty()
    val selectedOtherZone = if (includesOtherZone) listOfNotNull(otherZonePeers.randomOrNull(random)) else emptyList()
    return selectedOtherZone + ownZonePeers.shuffled(random).take(PEERS_PER_ROUND - selectedOtherZone.size)
}

/** Origin of an update of the platform's items. */
public enum class UpdateSource { PLATFORM, OWN_ZONE, OTHER_ZONE }

/**
 * Returns the gateways to which [self] announces an update from [source] without waiting for the next round.
 *
 * In a large fleet, if the announcement [carriesChanges], it is sent to the whole own zone when the update came from
 * the platform or another zone, and is not relayed when it came from the own zone: each zone has a reader of its own,
 * and updates in lost datagrams arrive with the next rounds. In all other cases, each gateway relays the announcement
 * to some gateways of each zone, so that changes that have to be fetched are fetched from many gateways.
 */
public fun planAnnouncement(
    self: Member,
    live: List<Member>,
    source: UpdateSource,
    carriesChanges: Boolean,
    random: Random,
): List<Member> {
    val others = live.filter { it.router != self.router }
    if (live.size > SMALL_FLEET_GATEWAYS && carriesChanges) return planSmallChanges(self, live, source)
    return others
        .groupBy { it.availabilityZone }
        .flatMap { (zone, members) ->
            members
                .shuffled(random)
                .take(if (zone == self.availabilityZone) OWN_ZONE_RECIPIENTS else OTHER_ZONE_RECIPIENTS)
        }
}

/**
 * Returns the gateways to which [self] sends small changes from [source] that do not wait for a large one before them: its
 * zone, or the whole of a small fleet. The receivers do not relay them, as each zone has a reader of its own.
 */
public fun planSmallChanges(self: Member, live: List<Member>, source: UpdateSource): List<Member> {
    val others = live.filter { it.router != self.router }
    return when {
        source == UpdateSource.OWN_ZONE -> emptyList()
        live.size <= SMALL_FLEET_GATEWAYS -> others
        else -> others.filter { it.availabilityZone == self.availabilityZone }
    }
}

/** Recipients of one announcement in the own zone. Each of them relays it, so that few gateways are missed. */
private const val OWN_ZONE_RECIPIENTS = 3
private const val OTHER_ZONE_RECIPIENTS = 2

/**
 * Returns the gateways to which [self] reports at once that an upstream is silent or has crashed: its zone, and one gateway
 * of each other zone.
 */
public fun planUrgentReport(self: Member, live: List<Member>, random: Random): List<Member> =
    live.filter { it.router != self.router && it.availabilityZone == self.availabilityZone } +
        oneOfEachOtherZone(self, live, random)

private fun oneOfEachOtherZone(self: Member, live: List<Member>, random: Random): List<Member> =
    live
        .filter { it.availabilityZone != self.availabilityZone }
        .groupBy { it.availabilityZone }
        .values
        .map { it.random(random) }
