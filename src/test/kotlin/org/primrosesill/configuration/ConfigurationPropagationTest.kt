/*
 * Propagation of a configuration change to all routers. Guards against changes that are not in force at every router
 * within 9 s, and against calls to the platform that grow with the number of routers.
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
private const val CHANGES_PER_DAY = 22_000
private const val MAXIMUM_SECONDS = 9
private const val ZONES = 7
private const val WATCH_TIMEOUT_SECONDS = 25

/** A stand-in for the platform with one document per revision. It can be down or return stale pages. */
private class FakePlatform {
    val store = DocumentStore()
    var down = false
    var firstMissingRevision = Long.MAX_VALUE
    var calls = 0

    fun publish(entry: ConfigurationEntry) {
        store.apply(page(entry), 0)
    }

    fun read(since: Long) =
        store.page(since, 1_000_000).let { page ->
            page.copy(propertyEntries = page.propertyEntries.filter { it.revision < firstMissingRevision })
        }
}

private class SimulatedRouter(val index: Int) {
    val id = RouterId("router-$index")
    val zone = AvailabilityZoneId("zone-${index % ZONES}")
    val store = DocumentStore()
    val election = ReaderElection(id, zone)
    val lastHeartbeatMillis = HashMap<Int, Long>()
    val revisions = HashMap<Int, Long>()
    var isRunning = true
    var nextWatchMillis = 0L
}

/**
 * Simulates rounds of one second. Each router receives the state of every other router, unless the message is lost,
 * and fetches missing documents from one peer.
 */
private class SimulatedFleet(size: Int, private val lossPercent: Int) {
    val platform = FakePlatform()
    val routers = List(size) { SimulatedRouter(it) }
    var isConnected: (SimulatedRouter, SimulatedRouter) -> Boolean = { _, _ -> true }
    private val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
    private var nowMillis = 0L

    fun round() {
        nowMillis += 1_000
        val live = routers.filter { it.isRunning }
        for (router in live) {
            for (peer in live) {
                if (peer === router || !isConnected(peer, router) || random.nextInt(100) < lossPercent) continue
                router.lastHeartbeatMillis[peer.index] = nowMillis
                router.revisions[peer.index] = peer.store.revision
            }
        }
        for (router in live) {
            readPlatform(router)
            fetchFromPeer(router)
        }
    }

    private fun readPlatform(router: SimulatedRouter) {
        val candidates =
            router.lastHeartbeatMillis.filterValues { nowMillis - it <= 5_000 }.map { (peer, heartbeatMillis) ->
                ReaderCandidate(routers[peer].id, routers[peer].zone, heartbeatMillis)
            }
        if (!router.election.role(candidates, nowMillis).isReader) return
        val changed = !platform.down && platform.store.revision > router.store.revision
        if (changed || nowMillis >= router.nextWatchMillis) {
            platform.calls++
            router.nextWatchMillis = nowMillis + WATCH_TIMEOUT_SECONDS * 1_000
        }
        if (!platform.down) router.store.apply(platform.read(router.store.revision), nowMillis)
    }

    private fun fetchFromPeer(router: SimulatedRouter) {
        val peers =
            router.lastHeartbeatMillis.filterValues { it == nowMillis }.keys.map {
                PeerRevision(
                    routers[it].id,
                    router.revisions.getValue(it),
                )
            }
        val peer = ReaderElection.selectCatchUpPeer(router.id, router.store.revision, peers) ?: return
        val page = routers.first { it.id == peer }.store.page(router.store.revision, 1_000_000)
        if (random.nextInt(100) >= lossPercent) router.store.apply(page, nowMillis)
    }

    /** Returns the rounds until all live routers have the platform's revision, or [limit] if they do not reach it. */
    fun roundsToPropagate(limit: Int = 30): Int {
        repeat(limit) { rounds ->
            if (routers.filter { it.isRunning }.all { it.store.revision == platform.store.revision }) return rounds
            round()
        }
        return limit
    }
}

class ConfigurationPropagationTest {
    private class Case(val name: String, val prepare: SimulatedFleet.() -> Unit)

    private val cases =
        listOf(
            Case("an undisturbed fleet") { },
            Case("both readers of a zone failed") { stopReaders() },
            Case(
                "a third of the routers stopped",
            ) { routers.filter { it.index % 3 == 0 }.forEach { it.isRunning = false } },
        )

    @TestFactory
    fun `a change is in force at every router within 9 s in`() =
        cases.flatMap { case -> listOf(8 to 0, 48 to 5, 330 to 5).map { case to it } }.map { (case, size) ->
            dynamicTest("${case.name} of ${size.first} routers that loses ${size.second} percent") {
                val fleet = SimulatedFleet(size.first, size.second)
                fleet.platform.publish(fleetEntry(1))
                fleet.roundsToPropagate()
                fleet.prepare(case)
                fleet.platform.publish(contractEntry("x", 2))
                val seconds = fleet.roundsToPropagate()
                println("propagation seed=$SEED case='${case.name}' routers=${size.first} seconds=$seconds")
                expectThat(seconds).isLessThanOrEqualTo(MAXIMUM_SECONDS)
            }
        }

    @TestFactory
    fun `calls to the platform do not grow with the fleet under 22,000 changes a day with`() =
        listOf(48, 330).map { routers ->
            dynamicTest("$routers routers") {
                val fleet = SimulatedFleet(routers, 5)
                fleet.platform.publish(fleetEntry(1))
                fleet.roundsToPropagate()
                fleet.platform.calls = 0
                var published = 0
                val seconds = 120
                for (second in 1..seconds) {
                    while (published < second * CHANGES_PER_DAY / 86_400.0) {
                        published++
                        fleet.platform.publish(contractEntry("c${published % 9}", published + 1L))
                    }
                    fleet.round()
                }
                val perSecond = fleet.platform.calls.toDouble() / seconds
                println("platform-calls seed=$SEED routers=$routers calls-a-second=%.2f".format(perSecond))
                // Every reader makes a call for each change and for each watch that expires, whatever the fleet size.
                val readers = ZONES * ReaderElection.READERS_PER_ZONE
                expectThat(
                    perSecond,
                ).isLessThanOrEqualTo(readers * (CHANGES_PER_DAY / 86_400.0 + 2.0 / WATCH_TIMEOUT_SECONDS))
            }
        }

    @TestFactory
    fun `configuration survives`() =
        listOf<Pair<String, SimulatedFleet.() -> Unit>>(
            "a platform that is down for an hour" to {
                platform.down = true
                repeat(60) { round() }
                routers.forEach { expectThat(it.store.revision).isEqualTo(2) }
                platform.down = false
            },
            "a platform that is stale" to {
                platform.firstMissingRevision = 2
                repeat(5) { round() }
            },
            "a partition in which one side receives a change" to {
                isConnected = { one, other -> one.index % 2 == other.index % 2 }
                routers.first().store.apply(page(contractEntry("x", 3)), 0)
                platform.publish(contractEntry("x", 3))
                repeat(8) { round() }
                isConnected = { _, _ -> true }
            },
        ).map { (name, disturb) ->
            dynamicTest(name) {
                val fleet = SimulatedFleet(48, 5)
                fleet.platform.publish(fleetEntry(1))
                fleet.platform.publish(contractEntry("x", 2))
                fleet.roundsToPropagate()
                fleet.disturb()
                expectThat(fleet.roundsToPropagate()).isLessThanOrEqualTo(MAXIMUM_SECONDS)
            }
        }

    /** Guards against a new router with a stale platform that serves an older document than its reachable peers. */
    @TestFactory
    fun `a new router with a stale platform has`() =
        listOf(
            Triple("the newest revision when it has peers", true, 2L),
            Triple("the platform's old one when it has none", false, 1L),
        ).map { (name, peers, expected) ->
            dynamicTest(name) {
                val fleet = SimulatedFleet(8, 0)
                fleet.routers.last().isRunning = false
                fleet.platform.publish(fleetEntry(1))
                fleet.platform.publish(contractEntry("x", 2))
                fleet.roundsToPropagate()
                fleet.platform.firstMissingRevision = 2
                fleet.routers.last().isRunning = true
                if (!peers) {
                    fleet.isConnected =
                        { one, other -> one !== fleet.routers.last() && other !== fleet.routers.last() }
                }
                repeat(3) { fleet.round() }
                expectThat(
                    fleet.routers
                        .last()
                        .store.revision,
                ).isEqualTo(expected)
            }
        }

    private fun SimulatedFleet.stopReaders() {
        val zone = routers.filter { it.zone == routers[0].zone }
        ReaderElection.readersOf(routers[0].zone, zone.map { it.id }).forEach { id ->
            zone.first { it.id == id }.isRunning =
                false
        }
    }

    private fun SimulatedFleet.prepare(case: Case) = case.prepare(this)
}
