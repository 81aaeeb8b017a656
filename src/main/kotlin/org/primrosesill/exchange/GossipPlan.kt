/*
 * Whom a gateway tells in a round what it knows. In a small fleet all gateways of the zone and one of each other zone; in a
 * large one a near gateway, and every other round one of another zone, at random. What is passed on reaches all of n gateways
 * in about log n rounds, and the work of each does not grow with the fleet. Bytes between zones cost more, so that they carry
 * less.
 *
 * Load pattern: a prompt that many share turns popular, and all gateways send it to the same engine; the sooner they hear of
 * each other's work there, the less they overshoot.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member
import kotlin.random.Random

/** Up to this many gateways tell all others of their zone in each round. */
public const val SMALL_FLEET: Int = 12

/** Every how many rounds another zone is told in a large fleet. */
private const val FAR_ROUNDS = 2

/** Returns the gateways that [self] tells in [round]; [live] is the whole fleet with [self]. */
public fun planGossip(round: Long, self: Member, live: List<Member>, random: Random): List<Member> {
    val others = live.filter { it.router != self.router }
    val (near, far) = others.partition { it.availabilityZone == self.availabilityZone }
    if (live.size <= SMALL_FLEET) return near + oneOfEachZone(far, random)
    // Without near peers the far ones are told in each round.
    val farTurn = round % FAR_ROUNDS == 0L || near.isEmpty()
    return listOfNotNull(near.randomOrNull(random), if (farTurn) far.randomOrNull(random) else null)
}

/** Returns whom [self] tells at once that there is news: up to [near] of its zone, and up to [far] of each other zone. */
public fun planAnnouncement(self: Member, live: List<Member>, near: Int, far: Int, random: Random): List<Member> =
    live
        .filter { it.router != self.router }
        .groupBy { it.availabilityZone }
        .flatMap { (zone, members) -> members.shuffled(random).take(if (zone == self.availabilityZone) near else far) }

private fun oneOfEachZone(members: List<Member>, random: Random): List<Member> =
    members.groupBy { it.availabilityZone }.values.map { it.random(random) }
