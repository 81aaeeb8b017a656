/*
 * Whom a gateway tells in a round what it knows. In a small fleet all gateways of the zone and one of each other zone; in a
 * large one two near gateways, or every other round a near one and one of another zone, at random. What is passed on reaches
 * all of n gateways in about log n rounds, and the work of each does not grow with the fleet. Bytes between zones cost more,
 * so that they carry less.
 *
 * Load pattern: a prompt that many share turns popular, and all gateways send it to the same engine; the sooner they hear of
 * each other's work there, the less they overshoot.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member
import kotlin.random.Random

/** Up to this many gateways tell all others of their zone in each round. */
public const val SMALL_FLEET: Int = 12

/** Gateways that are told in each round of a large fleet. */
private const val PEERS_OF_A_ROUND = 2

/** Every how many rounds another zone is told in a large fleet. */
private const val FAR_ROUNDS = 2

/** Returns the gateways that [self] tells in [round]; [live] is the whole fleet with [self]. */
public fun planGossip(round: Long, self: Member, live: List<Member>, random: Random): List<Member> {
    val others = live.filter { it.router != self.router }
    val (near, far) = others.partition { it.availabilityZone == self.availabilityZone }
    if (live.size <= SMALL_FLEET) return near + oneOfEachOtherZone(self, live, random)
    // Without near peers the far ones are told in each round.
    val farTurn = round % FAR_ROUNDS == 0L || near.isEmpty()
    val toldFar = if (farTurn) listOfNotNull(far.randomOrNull(random)) else emptyList()
    return toldFar + near.shuffled(random).take(PEERS_OF_A_ROUND - toldFar.size)
}

/** From whom a gateway has news of the platform. */
public enum class NewsSource { PLATFORM, OWN_ZONE, OTHER_ZONE }

/**
 * Returns whom [self] tells at once of news that it has from [source]. In a large fleet, the gateway that brings news into
 * its zone tells all of it if the message [carriesChanges], and nobody repeats it: each zone has a reader of its own, and
 * what a datagram loses comes with the next rounds. Otherwise each gateway that hears passes it on to some of each zone, so
 * that changes that have to be fetched are fetched from many.
 */
public fun planAnnouncement(
    self: Member,
    live: List<Member>,
    source: NewsSource,
    carriesChanges: Boolean,
    random: Random,
): List<Member> {
    val others = live.filter { it.router != self.router }
    if (live.size > SMALL_FLEET && carriesChanges) {
        return if (source ==
            NewsSource.OWN_ZONE
        ) {
            emptyList()
        } else {
            others.filter { it.availabilityZone == self.availabilityZone }
        }
    }
    return others
        .groupBy { it.availabilityZone }
        .flatMap { (zone, members) ->
            members.shuffled(random).take(if (zone == self.availabilityZone) ANNOUNCED_NEAR else ANNOUNCED_FAR)
        }
}

/** Each gateway that hears passes it on, so that few are missed. */
private const val ANNOUNCED_NEAR = 3
private const val ANNOUNCED_FAR = 2

/** Returns whom [self] tells at once that an upstream has fallen silent: its zone, and a gateway of each other one. */
public fun planAlarm(self: Member, live: List<Member>, random: Random): List<Member> =
    live.filter { it.router != self.router && it.availabilityZone == self.availabilityZone } +
        oneOfEachOtherZone(self, live, random)

private fun oneOfEachOtherZone(self: Member, live: List<Member>, random: Random): List<Member> =
    live
        .filter { it.availabilityZone != self.availabilityZone }
        .groupBy { it.availabilityZone }
        .values
        .map { it.random(random) }
