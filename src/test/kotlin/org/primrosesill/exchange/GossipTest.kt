/*
 * How far and how fast news gets through fleets of several sizes, and what it costs a gateway.
 */
package org.primrosesill.exchange

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private fun member(number: Int, heartbeat: Long = 1) =
    Member(
        RouterId("router-$number"),
        "10.0.0.$number:80",
        AvailabilityZoneId("z${number % 3}"),
        0,
        heartbeat,
        MemberState.LIVE,
    )

class GossipTest {
    private fun fleet(size: Int) = List(size) { member(it) }

    /** Rounds until news of the first gateway has reached all. */
    private fun roundsToAll(size: Int, seed: Int): Int {
        val live = fleet(size)
        val random = Random(seed)
        val informed = hashSetOf(live[0].router)
        for (round in 1..50) {
            for (self in live.shuffled(random)) {
                for (peer in planGossip(round.toLong(), self, live, random)) {
                    if (self.router in informed) informed += peer.router
                }
            }
            if (informed.size == size) return round
        }
        return Int.MAX_VALUE
    }

    // Guards against news that reaches a part of a large fleet late or never.
    @TestFactory
    fun `news reaches all gateways in a few rounds`(): List<DynamicTest> =
        listOf(6 to 8, 8 to 8, 12 to 8, 69 to 12, 84 to 12, 328 to 16).map { (size, rounds) ->
            dynamicTest("$size gateways") {
                val worst = (1..20).maxOf { roundsToAll(size, it) }
                println("$size gateways: at most $worst rounds in 20 trials, seeds 1 to 20")
                expectThat(worst).isLessThanOrEqualTo(rounds)
            }
        }

    // Guards against a gateway that goes on sending to an upstream that leaves, since nobody told it: seen with one reader
    // stopping and news passed on by chance.
    @TestFactory
    fun `an announcement reaches all gateways at once`(): List<DynamicTest> =
        listOf(3, 6, 8, 12).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                for (seed in 1..50) {
                    val told = tellFrom(listOf(live[0]), live, Random(seed))
                    expectThat(told.informed.size).describedAs("seed $seed").isEqualTo(size)
                }
            }
        }

    /** @property mostFetches how many gateways ask the same one for the changes, at the most */
    private class Told(val informed: Set<Member>, val datagrams: Int, val mostFetches: Int)

    /** Passes news on from the [readers], which have it from the platform, until nobody tells anybody new. */
    private fun tellFrom(
        readers: List<Member>,
        live: List<Member>,
        random: Random,
        carriesChanges: Boolean = true,
    ): Told {
        val informed = readers.toMutableSet()
        val waiting = ArrayDeque(readers.map { it to NewsSource.PLATFORM })
        var datagrams = 0
        var mostFetches = 0
        while (waiting.isNotEmpty()) {
            val (self, source) = waiting.removeFirst()
            val told = planAnnouncement(self, live, source, carriesChanges, random)
            datagrams += told.size
            val new = told.filter(informed::add)
            mostFetches = maxOf(mostFetches, new.size)
            for (peer in new) {
                val own = peer.availabilityZone == self.availabilityZone
                waiting += peer to if (own) NewsSource.OWN_ZONE else NewsSource.OTHER_ZONE
            }
        }
        return Told(informed, datagrams, mostFetches)
    }

    // Guards against a change of the platform that costs each gateway of a large fleet many datagrams.
    @TestFactory
    fun `in a large fleet each gateway hears an announcement once`(): List<DynamicTest> =
        listOf(13, 69, 84, 328).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                val told = tellFrom(live.take(3), live, Random(1))
                expectThat(told.informed.size).isEqualTo(size)
                expectThat(told.datagrams).isLessThanOrEqualTo(size)
            }
        }

    // Guards against a large configuration that all gateways of a zone fetch from its reader at once: seen in a storm of
    // configurations with 84 gateways, some of which had a version 3 s late.
    @TestFactory
    fun `large changes are fetched from many gateways`(): List<DynamicTest> =
        listOf(13, 69, 84, 328).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                val told = tellFrom(live.take(3), live, Random(1), carriesChanges = false)
                expectThat(told.informed.size * 100).isGreaterThan(size * 95)
                expectThat(told.mostFetches).isLessThanOrEqualTo(7)
            }
        }

    // Guards against an alarm that stays in one zone, or costs a gateway more than its zone and one of each other.
    @TestFactory
    fun `an alarm goes to the own zone and one gateway of each other zone`(): List<DynamicTest> =
        listOf(6, 69).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                val told = planAlarm(live[0], live, Random(1))
                val near = live.filter { it.availabilityZone == live[0].availabilityZone } - live[0]
                expectThat(told.containsAll(near)).isEqualTo(true)
                expectThat((told - near.toSet()).map { it.availabilityZone.value }.toSet()).isEqualTo(setOf("z1", "z2"))
                expectThat(told.size).isEqualTo(near.size + 2)
            }
        }

    // Guards against news that stays in a part of a zone whose reader is stopping.
    @Test
    fun `a gateway that hears from another zone tells its own zone`() {
        val live = fleet(69)
        val told = planAnnouncement(live[1], live, NewsSource.OTHER_ZONE, carriesChanges = true, Random(1))
        val zone = live.filter { it.availabilityZone == live[1].availabilityZone }
        expectThat(told.toSet()).isEqualTo(zone.toSet() - live[1])
    }

    // Guards against an engine that gets far more than the mean, since the gateways hear too late of each other's work.
    @TestFactory
    fun `in a small fleet each gateway is told by all of its zone and by each other zone`(): List<DynamicTest> =
        listOf(3, 6, 8, 12).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                for (self in live) {
                    val told = planGossip(1, self, live, Random(1))
                    val near = live.filter { it.availabilityZone == self.availabilityZone && it != self }
                    expectThat(told.containsAll(near)).isEqualTo(true)
                    expectThat(told.map { it.availabilityZone }.toSet().size).isEqualTo(if (near.isEmpty()) 2 else 3)
                }
            }
        }

    // Guards against work of a gateway that grows with the fleet.
    @TestFactory
    fun `a gateway of a large fleet sends to two others at the most`(): List<DynamicTest> =
        listOf(13, 69, 328).map { size ->
            dynamicTest("$size gateways") {
                val live = fleet(size)
                for (round in 1L..10L) {
                    expectThat(
                        planGossip(round, live[0], live, Random(1)).size,
                    ).isLessThanOrEqualTo(2)
                }
            }
        }

    // Guards against heartbeats that are lost or invented on the way.
    @Test
    fun `a digest carries newer heartbeats and unknown members`() {
        val digest = heartbeatDigest(listOf(member(1, 5), member(2, 300_000), member(3, 7)))
        val news = readHeartbeatDigest(digest, known = listOf(member(1, 6), member(2, 2)))
        expectThat(news.members.map { it.router.value to it.heartbeat }).isEqualTo(listOf("router-2" to 300_000L))
        expectThat(news.unknown).isEqualTo(setOf(shortCode("router-3")))
    }

    // Guards against a message that was cut or garbled and brings down its reader.
    @Test
    fun `entries that make no sense are left out`() {
        val digest = heartbeatDigest(listOf(member(1, 5))) + "????====" + "AB"
        val news = readHeartbeatDigest(digest, known = listOf(member(1, 2)))
        expectThat(news.members.map { it.heartbeat }).isEqualTo(listOf(5L))
    }
}
