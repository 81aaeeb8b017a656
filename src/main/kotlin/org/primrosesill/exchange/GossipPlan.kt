/*
 * Whom a gateway tells in a round what it knows: a near one, and every other round one of another zone, at random. What is
 * passed on reaches all of n gateways in about log n rounds, and the work of each does not grow with the fleet. Bytes between
 * zones cost more, so that they carry less.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member
import kotlin.random.Random

/** Every how many rounds another zone is told. */
private const val FAR_ROUNDS = 2

/** Returns the gateways that [self] tells in [round]; [live] is the whole fleet with [self]. */
public fun planGossip(round: Long, self: Member, live: List<Member>, random: Random): List<Member> {
    val others = live.filter { it.router != self.router }
    val (near, far) = others.partition { it.availabilityZone == self.availabilityZone }
    // Without near peers the far ones are told in each round.
    val farTurn = round % FAR_ROUNDS == 0L || near.isEmpty()
    return listOfNotNull(near.randomOrNull(random), if (farTurn) far.randomOrNull(random) else null)
}
