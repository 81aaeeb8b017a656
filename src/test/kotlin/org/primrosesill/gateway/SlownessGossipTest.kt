/*
 * Engines that become slow and do not report it, at many gateways that measure their own streams and send each other what they
 * measured, in virtual time: the second deployment of docs/design/hard-load.md.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.http.messageJson
import org.primrosesill.load.LoadObservation
import org.primrosesill.load.ReportId
import org.primrosesill.load.ReportedLoad
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.upstreamSpeeds
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.PromptCacheIndex
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 7L
private const val GATEWAYS = 64
private const val ENGINES = 98
private const val SLOW_ENGINES = 11
private const val STREAMS_PER_ENGINE = 18
private const val PART_MILLIS = 150L
private const val ROUND_MILLIS = 400L
private const val STEP_MILLIS = 10L
private const val FAULT_AT_MILLIS = 6_000L
private const val FAULT_ENDS_MILLIS = 9_000L
private val pool = PoolId("chat")
private val emptyMessage = ExchangeMessage(round = 0, parts = emptyList())
private val engines = List(ENGINES) { UpstreamId("engine-$it") }

class SlownessGossipTest {
    private class SpeedFleet(private val lossRate: Double, gossipsSpeed: Boolean) {
        var now = 0L
        private val random = Random(SEED)
        val gateways = List(GATEWAYS) { SpeedGateway(gossipsSpeed) { now } }
        private val streams = List(ENGINES * STREAMS_PER_ENGINE) { SimulatedStream(it % ENGINES, random) }

        fun run(untilMillis: Long) {
            while (now < untilMillis) {
                streams.forEach { step(it) }
                gateways.forEachIndexed { index, gateway ->
                    if (now % ROUND_MILLIS == index * STEP_MILLIS % ROUND_MILLIS) send(gateway)
                }
                now += STEP_MILLIS
            }
        }

        private fun send(gateway: SpeedGateway) {
            val message = gateway.gossip.addTo(emptyMessage)
            repeat(2) {
                val peer = gateways[random.nextInt(GATEWAYS)]
                if (random.nextDouble() >= lossRate) peer.gossip.applyMessage(message)
            }
        }

        /** A stream has 56 events; the next one begins when it has ended, at another gateway, with a load report. */
        private fun step(stream: SimulatedStream) {
            val isSlow = stream.engine < SLOW_ENGINES && now in FAULT_AT_MILLIS until FAULT_ENDS_MILLIS
            val interval = (if (isSlow) 7.0 else 1.0) * 6.12 * (0.9 + 0.2 * random.nextDouble())
            stream.progress += STEP_MILLIS / interval
            if (stream.progress >= 56) {
                stream.progress = 0.0
                stream.gateway = random.nextInt(GATEWAYS)
                stream.partStart = now
                gateways[stream.gateway].loads.recordReported(engines[stream.engine], ReportedLoad(17, 1, 48))
            } else if (now - stream.partStart >= PART_MILLIS) {
                stream.partStart = now
                gateways[stream.gateway].speeds.recordEventInterval(pool, engines[stream.engine], interval.milliseconds)
            }
        }

        /** Returns the fraction of the gateways at which [condition] holds for the slowness of an engine, of [which]. */
        fun fraction(which: List<UpstreamId>, condition: (Double) -> Boolean): Double =
            gateways.sumOf { gateway -> which.count { condition(gateway.speeds.slowness(it)) } } /
                (which.size * GATEWAYS).toDouble()
    }

    private class SimulatedStream(val engine: Int, random: Random) {
        var gateway = random.nextInt(GATEWAYS)
        var progress = random.nextDouble(56.0)
        var partStart = random.nextLong(PART_MILLIS)
    }

    private val slow = engines.take(SLOW_ENGINES)
    private val usual = engines.drop(SLOW_ENGINES)

    // Guards against gateways that go on sending to engines that are seven times as slow for seconds, and against a fault that is
    // remembered after its end, also while half of the messages are lost.
    @TestFactory
    fun `all gateways find slow engines that do not report it`(): List<DynamicTest> =
        listOf(0.0, 0.5).map { lossRate ->
            dynamicTest("loss rate $lossRate, seed $SEED") {
                val fleet = SpeedFleet(lossRate, gossipsSpeed = true)
                fleet.run(FAULT_AT_MILLIS)
                expectThat(fleet.fraction(engines) { it > 1.5 }).isLessThan(0.01)
                // With half of the messages lost, news takes about twice as many rounds.
                val foundWithin = if (lossRate == 0.0) 1_300L else 2_600L
                for (millis in listOf(500L, 1_000L, 1_300L, 2_000L, 2_600L)) {
                    fleet.run(FAULT_AT_MILLIS + millis)
                    val found = fleet.fraction(slow) { it > 2 }
                    println("loss $lossRate, $millis ms after the fault: $found of the slow engines found")
                    if (millis >= foundWithin) expectThat(found).isGreaterThan(0.95)
                }
                expectThat(fleet.fraction(usual) { it > 1.5 }).isLessThan(0.01)
                fleet.run(FAULT_ENDS_MILLIS + 5_000)
                expectThat(fleet.fraction(slow) { it > 1.5 }).isLessThan(0.05)
            }
        }

    // Guards against a mechanism without effect: a gateway by itself has too few streams at each engine.
    @Test
    fun `without gossip few gateways find them`() {
        val fleet = SpeedFleet(lossRate = 0.0, gossipsSpeed = false)
        fleet.run(FAULT_AT_MILLIS + 1_000)
        println("without gossip, 1000 ms after the fault: slow ${fleet.fraction(slow) { it > 2 }}")
        expectThat(fleet.fraction(slow) { it > 2 }).isLessThan(0.6)
    }

    // Guards against a gateway that has just started, or was cut off, and sends to slow engines for seconds.
    @Test
    fun `a gateway without observations of its own learns from its first messages`() {
        val fleet = SpeedFleet(lossRate = 0.0, gossipsSpeed = true)
        fleet.run(FAULT_AT_MILLIS + 2_000)
        val started = SpeedGateway(gossipsSpeed = true) { fleet.now }
        fleet.gateways.take(2).forEach {
            started.gossip.applyMessage(it.gossip.addTo(emptyMessage))
        }
        expectThat(slow.count { started.speeds.slowness(it) > 2 }).isGreaterThan(SLOW_ENGINES / 2)
    }

    // Guards against messages that grow by more than the two characters of an engine and the names of the fields.
    @TestFactory
    fun `a message grows by two characters for each engine`(): List<DynamicTest> =
        listOf(28 to 42, 64 to 98, 91 to 139, 330 to 557).map { (gateways, engines) ->
            dynamicTest("$gateways gateways, $engines engines") {
                val observations =
                    List(engines) { LoadObservation(UpstreamId("e$it"), 18, 0, ReportId(it + 1), 2, 1.0) }
                val slowness = emptyMessage.copy(observedSlowness = encodeSlowness(observations))
                val both = slowness.copy(observedWaiting = encodeWaiting(observations))
                val added = size(both) - size(emptyMessage)
                val ofSlowness = size(slowness) - size(emptyMessage)
                println("$gateways gateways, $engines engines: $added bytes, $ofSlowness of them slowness")
                expectThat(added).isIn(2 * engines..2 * engines + 60)
            }
        }

    private fun size(message: ExchangeMessage): Int =
        messageJson.encodeToString(ExchangeMessage.serializer(), message).toByteArray().size
}

/** The tables of one gateway that take part in gossip on the speed of engines. */
private class SpeedGateway(gossipsSpeed: Boolean, nowMillis: () -> Long) {
    private val activity = UpstreamActivity(nowMillis)
    val loads = UpstreamLoads(activity, nowMillis = nowMillis)
    val speeds = upstreamSpeeds({ true }, nowMillis)
    private val index = PromptCacheIndex(nowMillis)
    private val silent = SilentUpstreams("self", activity, nowMillis)
    private val crashing = CrashingParts(nowMillis)
    val gossip =
        if (gossipsSpeed) {
            TrafficGossip(loads, index, silent, crashing, speeds = speeds)
        } else {
            TrafficGossip(loads, index, silent, crashing)
        }

    init {
        gossip.updateKnownUpstreams(engines)
    }
}
