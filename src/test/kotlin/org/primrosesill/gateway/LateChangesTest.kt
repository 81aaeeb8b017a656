/*
 * How long changes of the platform take to reach all gateways while gateways, links or the platform fail.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.PoolId
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class LateChangesTest {
    /**
     * @property valueLength characters of each change
     * @property rejectedShare share of the gateways whose calls the platform rejects
     * @property stalling number of gateways that stall in the middle of each response to a peer
     * @property isolated number of gateways whose calls to peers fail
     */
    private class Scenario(
        val name: String,
        val fleet: SimulatedFleetSettings,
        val valueLength: Int,
        val boundMillis: Long,
        val rejectedShare: Double = 0.0,
        val stalling: Int = 0,
        val isolated: Int = 0,
    )

    // Guards against gateways that are seconds late with configurations when many are published in a row.
    @TestFactory
    fun `a burst of changes reaches all gateways in time`(): List<DynamicTest> =
        listOf(
            Scenario("no faults", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS),
            Scenario("a third rejected", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, REJECTED_SHARE),
            Scenario("large values", largeFleet, LARGE_VALUE, LARGE_BOUND_MILLIS),
            Scenario("two peers stall", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, stalling = 2),
            Scenario("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, REJECTED_SHARE),
        ).map(::testOf)

    // Guards against gateways that fetch a large configuration from the same peer and saturate its link for seconds.
    // Seen when many configurations were published in a row with 84 gateways, of which the platform's store rejected a
    // third.
    @TestFactory
    fun `large values reach gateways that the platform rejects in time`(): List<DynamicTest> =
        listOf(Scenario("a third rejected", largeFleet, LARGE_VALUE, LARGE_BOUND_MILLIS, REJECTED_SHARE)).map(::testOf)

    // Guards against a gateway that waits for the rest of a response without end, and applies no change meanwhile.
    @TestFactory
    fun `changes reach gateways that called a peer which stalls in its response`(): List<DynamicTest> =
        listOf(
            Scenario("a large fleet", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, REJECTED_SHARE, stalling = 2),
            Scenario("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, REJECTED_SHARE, stalling = 1),
        ).map(::testOf)

    // Guards against a gateway that lacks a known change for seconds, as no peer delivers it, and does not read the
    // platform.
    @TestFactory
    fun `changes reach gateways that cannot call peers`(): List<DynamicTest> =
        listOf(
            Scenario("a large fleet", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, isolated = 20),
            Scenario("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, isolated = 2),
        ).map(::testOf)

    private fun testOf(scenario: Scenario): DynamicTest =
        dynamicTest(scenario.name) {
            val lags = (1..SEEDS).map { seed -> simulate(scenario, seed) }
            println("${scenario.name}: latest change after ${lags.map { it.millis }} ms, seeds 1 to $SEEDS")
            val worst = lags.maxBy { it.millis }
            expectThat(worst.millis).describedAs(worst.description).isLessThanOrEqualTo(scenario.boundMillis)
        }

    private class RemovalScenario(val name: String, val fleet: SimulatedFleetSettings, val boundMillis: Long)

    // Guards against requests to an upstream that was removed without notice, while the platform rejects some gateways.
    @TestFactory
    fun `a removed upstream receives no new requests although the platform rejects some gateways`(): List<DynamicTest> =
        listOf(
            RemovalScenario("a small fleet", smallFleet, SMALL_BOUND_MILLIS),
            RemovalScenario("a large fleet", largeFleet, LARGE_BOUND_MILLIS),
        ).map { case ->
            dynamicTest(case.name) {
                val lags = (1..SEEDS).map { seed -> simulateRemovals(case, seed) }
                println("${case.name}: last eligible ${lags.map { it.millis }} ms after its removal, seeds 1 to $SEEDS")
                val worst = lags.maxBy { it.millis }
                expectThat(worst.millis).describedAs(worst.description).isLessThanOrEqualTo(case.boundMillis)
            }
        }

    private fun simulateRemovals(case: RemovalScenario, seed: Int): Lag {
        lateinit var worst: Lag
        runTest {
            val fleet = SimulatedFleet(case.fleet, this)
            val random = Random(seed)
            repeat(REMOVALS) { fleet.platform.write("servers/engine-$it", entry(10)) }
            fleet.start()
            advanceTimeBy(SETTLED_MILLIS)
            val rejected = (case.fleet.size * REJECTED_SHARE).toInt()
            fleet.sample(rejected, random).forEach { it.rejected = true }
            val removedAt = HashMap<String, Long>()
            val observer =
                LagObserver(this, fleet) { node ->
                    val stillEligible =
                        node.directory.view
                            .eligible(PoolId("s"))
                            .filter { it.id.value in removedAt }
                    stillEligible
                        .minByOrNull { removedAt.getValue(it.id.value) }
                        ?.let { lagOf(node, removedAt.getValue(it.id.value), "lists ${it.id} as eligible") }
                }
            repeat(REMOVALS) {
                fleet.platform.write("servers/desk", entry(it))
                advanceTimeBy(random.nextLong(1, MAXIMUM_REMOVAL_GAP_MILLIS))
                fleet.platform.write("servers/engine-$it", null)
                removedAt["engine-$it"] = currentTime
                advanceTimeBy(random.nextLong(1, MAXIMUM_REMOVAL_GAP_MILLIS))
            }
            advanceTimeBy(OBSERVED_AFTER_MILLIS)
            worst = observer.worst
        }
        return worst
    }

    private class Lag(val millis: Long, val description: String)

    private fun TestScope.lagOf(node: SimulatedFleet.Node, sinceMillis: Long, what: String) =
        Lag(currentTime - sinceMillis, "gateway ${node.number}, rejected: ${node.rejected}, $what")

    private fun simulate(scenario: Scenario, seed: Int): Lag {
        lateinit var worst: Lag
        runTest {
            val fleet = SimulatedFleet(scenario.fleet, this)
            val random = Random(seed)
            fleet.platform.write("servers/first", entry(10))
            fleet.start()
            advanceTimeBy(SETTLED_MILLIS)
            val rejected = (scenario.fleet.size * scenario.rejectedShare).toInt()
            fleet.sample(rejected, random).forEach { it.rejected = true }
            fleet.sample(scenario.stalling, random).forEach { it.stalls = true }
            fleet.sample(scenario.isolated, random).forEach { it.callsFail = true }
            val writtenAt = sortedMapOf<Long, Long>()
            val observer =
                LagObserver(this, fleet) { node ->
                    val missing = writtenAt.tailMap(node.directory.revision.number + 1).entries.firstOrNull()
                    missing?.let { lagOf(node, it.value, "lacks revision ${it.key}") }
                }
            repeat(BURST_CHANGES) {
                writtenAt[fleet.platform.write("servers/engine", entry(scenario.valueLength))] = currentTime
                advanceTimeBy(BURST_INTERVAL_MILLIS)
            }
            advanceTimeBy(OBSERVED_AFTER_MILLIS)
            worst = observer.worst
        }
        return worst
    }

    /** Polls all gateways, and keeps the longest lag that [lagOf] returns. */
    private class LagObserver(
        scope: TestScope,
        fleet: SimulatedFleet,
        private val lagOf: (SimulatedFleet.Node) -> Lag?,
    ) {
        var worst = Lag(0, "no gateway was late")
            private set

        init {
            scope.backgroundScope.launch {
                while (true) {
                    fleet.nodes.mapNotNull(lagOf).forEach { if (it.millis > worst.millis) worst = it }
                    delay(POLL_INTERVAL_MILLIS)
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 3

        /** Time in which the member lists of a starting fleet settle. */
        const val SETTLED_MILLIS = 8_000L
        const val BURST_CHANGES = 12
        const val BURST_INTERVAL_MILLIS = 330L
        const val REMOVALS = 40
        const val MAXIMUM_REMOVAL_GAP_MILLIS = 250L
        const val OBSERVED_AFTER_MILLIS = 6_000L
        const val POLL_INTERVAL_MILLIS = 20L
        const val REJECTED_SHARE = 0.35

        /** A configuration of 300 routes, and one of 1,700. */
        const val MEDIUM_VALUE = 60_000
        const val LARGE_VALUE = 350_000

        /** Time limits of the users' platform for a change to reach all gateways, on its large and small sites. */
        const val LARGE_BOUND_MILLIS = 3_000L
        const val SMALL_BOUND_MILLIS = 2_000L

        /** The links have 10 and 1,000 Mbit/s. */
        val largeFleet = SimulatedFleetSettings(size = 84, zones = 4, linkBytesPerMilli = 1_250.0)
        val smallFleet = SimulatedFleetSettings(size = 6, zones = 3, linkBytesPerMilli = 125_000.0)
    }
}

/** Returns an upstream's entry of about [length] characters, as repetitive as the routes of a configuration. */
internal fun entry(length: Int): String {
    val random = Random(length)
    val note = StringBuilder()
    while (note.length < length) {
        note.append(
            """,{"name":"${word(random)}","host":"${word(random)}.example","path_prefix":"/${word(random)}/",""",
        )
        note.append(""""type":"safe","service":"${word(random)}","timeout_ms":3000,"priority":1,"attempts":2}""")
    }
    return """{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","max_batch":9,"note":[0$note]}"""
}

private fun word(random: Random) = String(CharArray(WORD_LENGTH) { 'a' + random.nextInt(LETTERS) })

private const val WORD_LENGTH = 6
private const val LETTERS = 26
