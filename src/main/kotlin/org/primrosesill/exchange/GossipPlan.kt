/*
 * Whom a gateway exchanges with in a round. A small fleet exchanges with all, near ones more often than those of other zones,
 * since bytes between zones cost more. In a large one each gateway picks a near and a far one at random: what is passed on
 * reaches all of n gateways in about log n rounds, and the work of each does not grow with the fleet.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member
import org.primrosesill.model.RouterId
import kotlin.random.Random

/** Largest fleet in which each gateway exchanges with every other one. */
public const val FULL_EXCHANGE_GATEWAYS: Int = 12

/** Every how many rounds other zones are told. */
private const val FAR_ROUNDS = 2

/** Returns the gateways to which [self] sends in [round]; [live] is the whole fleet with [self]. */
public fun planGossip(round: Long, self: Member, live: List<Member>, random: Random): List<Member> {
    val (near, far) = live.partition { it.availabilityZone == self.availabilityZone }
    val farRound = round % FAR_ROUNDS == 0L
    if (live.size > FULL_EXCHANGE_GATEWAYS) {
        return listOfNotNull(
            near.otherThan(self.router, random),
            if (farRound) far.otherThan(self.router, random) else null,
        )
    }
    val nearPeers = planFullMesh(round, self.router, near).map { it.peer }
    if (!farRound) return nearPeers
    val farPeers = planFullMesh(round / FAR_ROUNDS, self.router, live).map { it.peer }
    return nearPeers + farPeers.filter { it.availabilityZone != self.availabilityZone }
}

private fun List<Member>.otherThan(self: RouterId, random: Random): Member? =
    filter { it.router != self }.randomOrNull(random)
