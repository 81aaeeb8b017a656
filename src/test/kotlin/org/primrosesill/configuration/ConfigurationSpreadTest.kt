/*
 * How a change reaches all routers. Guards against changes that are not in force everywhere within 9 s, and against
 * calls to the platform that grow with the fleet.
 */
package org.primrosesill.configuration

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ConfigurationEntry
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val SEED = 20_261_204L
private const val CHANGES_A_DAY = 22_000
private const val MAXIMUM_SECONDS = 9
private const val ZONES = 7
private const val WATCH_SECONDS = 25

/** The platform with one document a revision, and what it answers. */
private class FakePlatform {
    val store = DocumentStore()
    var down = false
    var staleBelow = Long.MAX_VALUE
    var calls = 0

    fun publish(entry: ConfigurationEntry) {
        store.apply(page(entry), 0)
    }

    fun read(since: Long) =
        store.page(since, 1_000_000).let { page ->
            page.copy(propertyEntries = page.propertyEntries.filter { it.revision < staleBelow })
        }
}

private class SpreadNode(val index: Int) {
    val id = RouterId("router-$index")
    val zone = AvailabilityZoneId("zone-${index % ZONES}")
    val store = DocumentStore()
    val election = ReaderElection(id, zone)
    val heard = HashMap<Int, Long>()
    val revisions = HashMap<Int, Long>()
    var alive = true
    var nextWatch = 0L
}

/** Rounds of one second; a router hears of each other one with a loss, and pulls from one peer a round. */
private class SpreadFleet(routers: Int, private val lossPercent: Int) {
    val platform = FakePlatform()
    val nodes = List(routers) { SpreadNode(it) }
    var linked: (SpreadNode, SpreadNode) -> Boolean = { _, _ -> true }
    private val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
    private var now = 0L

    fun round() {
        now += 1_000
        val live = nodes.filter { it.alive }
        for (node in live) {
            for (peer in live) {
                if (peer === node || !linked(peer, node) || random.nextInt(100) < lossPercent) continue
                node.heard[peer.index] = now
                node.revisions[peer.index] = peer.store.revision
            }
        }
        for (node in live) {
            readPlatform(node)
            pull(node)
        }
    }

    private fun readPlatform(node: SpreadNode) {
        val candidates =
            node.heard.filterValues { now - it <= 5_000 }.map { (peer, heard) ->
                ReaderCandidate(nodes[peer].id, nodes[peer].zone, heard)
            }
        if (!node.election.role(candidates, now).reads) return
        val news = !platform.down && platform.store.revision > node.store.revision
        if (news || now >= node.nextWatch) {
            platform.calls++
            node.nextWatch = now + WATCH_SECONDS * 1_000
        }
        if (!platform.down) node.store.apply(platform.read(node.store.revision), now)
    }

    private fun pull(node: SpreadNode) {
        val peers =
            node.heard.filterValues { it == now }.keys.map {
                PeerRevision(
                    nodes[it].id,
                    node.revisions.getValue(it),
                )
            }
        val peer = ReaderElection.catchUpFrom(node.id, node.store.revision, peers) ?: return
        val page = nodes.first { it.id == peer }.store.page(node.store.revision, 1_000_000)
        if (random.nextInt(100) >= lossPercent) node.store.apply(page, now)
    }

    /** Returns the rounds until all live routers have the platform's revision, or [limit] when they never do. */
    fun roundsToSpread(limit: Int = 30): Int {
        repeat(limit) { rounds ->
            if (nodes.filter { it.alive }.all { it.store.revision == platform.store.revision }) return rounds
            round()
        }
        return limit
    }
}

class ConfigurationSpreadTest {
    private class Case(val name: String, val prepare: SpreadFleet.() -> Unit)

    private val cases =
        listOf(
            Case("a quiet fleet") { },
            Case("both readers of a zone dead") { killReaders() },
            Case(
                "a third of the routers restarted",
            ) { nodes.filter { it.index % 3 == 0 }.forEach { it.alive = false } },
        )

    @TestFactory
    fun `a change is in force everywhere within 9 s in`() =
        cases.flatMap { case -> listOf(8 to 0, 48 to 5, 330 to 5).map { case to it } }.map { (case, size) ->
            dynamicTest("${case.name} of ${size.first} routers that loses ${size.second} percent") {
                val fleet = SpreadFleet(size.first, size.second)
                fleet.platform.publish(fleetEntry(1))
                fleet.roundsToSpread()
                fleet.prepare(case)
                fleet.platform.publish(contractEntry("x", 2))
                val seconds = fleet.roundsToSpread()
                println("spread seed=$SEED case='${case.name}' routers=${size.first} seconds=$seconds")
                expectThat(seconds).isLessThanOrEqualTo(MAXIMUM_SECONDS)
            }
        }

    @TestFactory
    fun `calls to the platform do not grow with the fleet under 22,000 changes a day with`() =
        listOf(48, 330).map { routers ->
            dynamicTest("$routers routers") {
                val fleet = SpreadFleet(routers, 5)
                fleet.platform.publish(fleetEntry(1))
                fleet.roundsToSpread()
                fleet.platform.calls = 0
                var published = 0
                val seconds = 120
                for (second in 1..seconds) {
                    while (published < second * CHANGES_A_DAY / 86_400.0) {
                        published++
                        fleet.platform.publish(contractEntry("c${published % 9}", published + 1L))
                    }
                    fleet.round()
                }
                val perSecond = fleet.platform.calls.toDouble() / seconds
                println("platform-calls seed=$SEED routers=$routers calls-a-second=%.2f".format(perSecond))
                // Every reader makes a call for each change and for each watch that ends, whatever the fleet's size.
                val readers = ZONES * ReaderElection.READERS_PER_ZONE
                expectThat(perSecond).isLessThanOrEqualTo(readers * (CHANGES_A_DAY / 86_400.0 + 2.0 / WATCH_SECONDS))
            }
        }

    @TestFactory
    fun `configuration survives`() =
        listOf<Pair<String, SpreadFleet.() -> Unit>>(
            "a platform that is down for an hour" to {
                platform.down = true
                repeat(60) { round() }
                nodes.forEach { expectThat(it.store.revision).isEqualTo(2) }
                platform.down = false
            },
            "a platform that is stale" to {
                platform.staleBelow = 2
                repeat(5) { round() }
            },
            "a partition in which one side gets a change, and that heals" to {
                linked = { one, other -> one.index % 2 == other.index % 2 }
                nodes.first().store.apply(page(contractEntry("x", 3)), 0)
                platform.publish(contractEntry("x", 3))
                repeat(8) { round() }
                linked = { _, _ -> true }
            },
        ).map { (name, happens) ->
            dynamicTest(name) {
                val fleet = SpreadFleet(48, 5)
                fleet.platform.publish(fleetEntry(1))
                fleet.platform.publish(contractEntry("x", 2))
                fleet.roundsToSpread()
                fleet.happens()
                expectThat(fleet.roundsToSpread()).isLessThanOrEqualTo(MAXIMUM_SECONDS)
            }
        }

    /** A fresh router beside a stale platform must not serve an older document than its peers once it hears them. */
    @TestFactory
    fun `a fresh router beside a stale platform has`() =
        listOf(
            Triple("the newest revision when it has peers", true, 2L),
            Triple("the platform's old one when it has none", false, 1L),
        ).map { (name, peers, expected) ->
            dynamicTest(name) {
                val fleet = SpreadFleet(8, 0)
                fleet.nodes.last().alive = false
                fleet.platform.publish(fleetEntry(1))
                fleet.platform.publish(contractEntry("x", 2))
                fleet.roundsToSpread()
                fleet.platform.staleBelow = 2
                fleet.nodes.last().alive = true
                if (!peers) {
                    fleet.linked =
                        { one, other -> one !== fleet.nodes.last() && other !== fleet.nodes.last() }
                }
                repeat(3) { fleet.round() }
                expectThat(
                    fleet.nodes
                        .last()
                        .store.revision,
                ).isEqualTo(expected)
            }
        }

    private fun SpreadFleet.killReaders() {
        val zone = nodes.filter { it.zone == nodes[0].zone }
        ReaderElection.readersOf(nodes[0].zone, zone.map { it.id }).forEach { id ->
            zone.first { it.id == id }.alive =
                false
        }
    }

    private fun SpreadFleet.prepare(case: Case) = case.prepare(this)
}
