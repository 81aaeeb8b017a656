/*
 * How late changes of the platform come into force while gateways, links or the platform are in trouble.
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
     * @property refusedShare part of the gateways that the platform turns away
     * @property stalling how many gateways fall silent in the middle of each answer to another one
     * @property alone how many gateways cannot call any other one
     */
    private class Storm(
        val name: String,
        val fleet: SimulatedFleetSettings,
        val valueLength: Int,
        val boundMillis: Long,
        val refusedShare: Double = 0.0,
        val stalling: Int = 0,
        val alone: Int = 0,
    )

    // Guards against configurations that gateways have seconds late in a storm of them.
    @TestFactory
    fun `changes in a storm reach all gateways in time`(): List<DynamicTest> =
        listOf(
            Storm("calm", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS),
            Storm("a third refused", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, REFUSED_SHARE),
            Storm("large values", largeFleet, LARGE_VALUE, LARGE_BOUND_MILLIS),
            Storm("two peers fall silent", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, stalling = 2),
            Storm("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, REFUSED_SHARE),
        ).map(::testOf)

    // Guards against gateways that fetch a large configuration from the same one, whose link it fills for seconds: seen in a
    // storm of configurations with 84 gateways, a third of which the store refused.
    @TestFactory
    fun `large values reach gateways that the platform refuses in time`(): List<DynamicTest> =
        listOf(Storm("a third refused", largeFleet, LARGE_VALUE, LARGE_BOUND_MILLIS, REFUSED_SHARE)).map(::testOf)

    // Guards against a gateway that waits for ever for the rest of an answer, and takes no change from anybody meanwhile.
    @TestFactory
    fun `changes reach gateways that asked a peer which fell silent in its answer`(): List<DynamicTest> =
        listOf(
            Storm("a large fleet", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, REFUSED_SHARE, stalling = 2),
            Storm("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, REFUSED_SHARE, stalling = 1),
        ).map(::testOf)

    // Guards against a gateway that knows for seconds of a change that no peer can give it, and does not ask the platform.
    @TestFactory
    fun `changes reach gateways that cannot call others`(): List<DynamicTest> =
        listOf(
            Storm("a large fleet", largeFleet, MEDIUM_VALUE, LARGE_BOUND_MILLIS, alone = 20),
            Storm("a small fleet", smallFleet, LARGE_VALUE, SMALL_BOUND_MILLIS, alone = 2),
        ).map(::testOf)

    private fun testOf(storm: Storm): DynamicTest =
        dynamicTest(storm.name) {
            val lags = (1..SEEDS).map { seed -> play(storm, seed) }
            println("${storm.name}: latest change after ${lags.map { it.millis }} ms, seeds 1 to $SEEDS")
            val worst = lags.maxBy { it.millis }
            expectThat(worst.millis).describedAs(worst.description).isLessThanOrEqualTo(storm.boundMillis)
        }

    private class Removal(val name: String, val fleet: SimulatedFleetSettings, val boundMillis: Long)

    // Guards against requests to an upstream that has left without a word, while the platform refuses some gateways.
    @TestFactory
    fun `an upstream whose entry is removed gets nothing new although gateways are refused`(): List<DynamicTest> =
        listOf(
            Removal("a small fleet", smallFleet, SMALL_BOUND_MILLIS),
            Removal("a large fleet", largeFleet, LARGE_BOUND_MILLIS),
        ).map { case ->
            dynamicTest(case.name) {
                val lags = (1..SEEDS).map { seed -> playRemovals(case, seed) }
                println("${case.name}: last eligible ${lags.map { it.millis }} ms after its removal, seeds 1 to $SEEDS")
                val worst = lags.maxBy { it.millis }
                expectThat(worst.millis).describedAs(worst.description).isLessThanOrEqualTo(case.boundMillis)
            }
        }

    private fun playRemovals(case: Removal, seed: Int): Lag {
        lateinit var worst: Lag
        runTest {
            val fleet = SimulatedFleet(case.fleet, this)
            val random = Random(seed)
            repeat(REMOVALS) { fleet.platform.write("servers/engine-$it", entry(10)) }
            fleet.start()
            advanceTimeBy(SETTLED_MILLIS)
            val refused = (case.fleet.size * REFUSED_SHARE).toInt()
            fleet.some(refused, random).forEach { it.refused = true }
            val removedAt = HashMap<String, Long>()
            val observer =
                LagObserver(this, fleet) { node ->
                    val kept =
                        node.keeper.view
                            .eligible(PoolId("s"))
                            .filter { it.id.value in removedAt }
                    kept
                        .minByOrNull { removedAt.getValue(it.id.value) }
                        ?.let { lagOf(node, removedAt.getValue(it.id.value), "keeps ${it.id}") }
                }
            repeat(REMOVALS) {
                fleet.platform.write("servers/desk", entry(it))
                advanceTimeBy(random.nextLong(1, REMOVAL_GAP_MILLIS))
                fleet.platform.write("servers/engine-$it", null)
                removedAt["engine-$it"] = currentTime
                advanceTimeBy(random.nextLong(1, REMOVAL_GAP_MILLIS))
            }
            advanceTimeBy(AFTERWARDS_MILLIS)
            worst = observer.worst
        }
        return worst
    }

    private class Lag(val millis: Long, val description: String)

    private fun TestScope.lagOf(node: SimulatedFleet.Node, sinceMillis: Long, what: String) =
        Lag(currentTime - sinceMillis, "gateway ${node.number}, refused: ${node.refused}, $what")

    private fun play(storm: Storm, seed: Int): Lag {
        lateinit var worst: Lag
        runTest {
            val fleet = SimulatedFleet(storm.fleet, this)
            val random = Random(seed)
            fleet.platform.write("servers/first", entry(10))
            fleet.start()
            advanceTimeBy(SETTLED_MILLIS)
            val refused = (storm.fleet.size * storm.refusedShare).toInt()
            fleet.some(refused, random).forEach { it.refused = true }
            fleet.some(storm.stalling, random).forEach { it.stalls = true }
            fleet.some(storm.alone, random).forEach { it.callsFail = true }
            val writtenAt = sortedMapOf<Long, Long>()
            val observer =
                LagObserver(this, fleet) { node ->
                    val missing = writtenAt.tailMap(node.keeper.revision + 1).entries.firstOrNull()
                    missing?.let { lagOf(node, it.value, "lacks revision ${it.key}") }
                }
            repeat(STORM_CHANGES) {
                writtenAt[fleet.platform.write("servers/engine", entry(storm.valueLength))] = currentTime
                advanceTimeBy(STORM_GAP_MILLIS)
            }
            advanceTimeBy(AFTERWARDS_MILLIS)
            worst = observer.worst
        }
        return worst
    }

    /** Watches all gateways, and keeps the longest lag that [lagOf] finds. */
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
                    delay(OBSERVED_EVERY_MILLIS)
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 3

        /** Time in which a fleet that starts gets to know itself. */
        const val SETTLED_MILLIS = 8_000L
        const val STORM_CHANGES = 12
        const val STORM_GAP_MILLIS = 330L
        const val REMOVALS = 40
        const val REMOVAL_GAP_MILLIS = 250L
        const val AFTERWARDS_MILLIS = 6_000L
        const val OBSERVED_EVERY_MILLIS = 20L
        const val REFUSED_SHARE = 0.35

        /** A configuration of 300 routes, and one of 1,700. */
        const val MEDIUM_VALUE = 60_000
        const val LARGE_VALUE = 350_000

        /** The time that the users' platform gives a change on its large and on its small sites. */
        const val LARGE_BOUND_MILLIS = 3_000L
        const val SMALL_BOUND_MILLIS = 2_000L

        /** 10 and 1,000 Mbit/s. */
        val largeFleet = SimulatedFleetSettings(size = 84, zones = 4, linkBytesPerMilli = 1_250.0)
        val smallFleet = SimulatedFleetSettings(size = 6, zones = 3, linkBytesPerMilli = 125_000.0)
    }
}

/** An entry of an upstream of about [length] characters, which repeats itself as much as the routes of a configuration do. */
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
