/*
 * A randomized soak: gateways as processes, faults from outside them, and the promises as callers and upstreams see them.
 * More seeds by hand: `mvn -B test -Dtest=GatewaySoakTest -Dsoak.seeds=100-149 -Dsoak.seconds=30`.
 */
package org.primrosesill.soak

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.platform.CallerRequest
import org.primrosesill.platform.ReceivedResponse
import org.primrosesill.request.ConnectionUse
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val GATEWAYS = 4
private const val CALLERS = 12
private val wholeStream = (1..10).joinToString("") { "id: $it\ndata: $it\n\n" }

/** Seeds of every run; one that ever failed is added here with a line on its cause. */
private val regressionSeeds = listOf(1L)

private class Sent(
    val request: CallerRequest,
    val gateway: SoakGateway,
    val startedMillis: Long,
    val endedMillis: Long,
    val answer: ReceivedResponse,
    val gatewayWasCutOff: Boolean,
    val keptConnection: Boolean,
)

class GatewaySoakTest {
    // Guards against requests that run twice, refusals that are not true, streams that are not whole, and requests that a
    // planned stop loses, while faults overlap.
    @TestFactory
    fun `promises hold while faults strike`(): List<DynamicTest> {
        val seconds = System.getProperty("soak.seconds")?.toInt() ?: 15
        return seeds().map { seed -> dynamicTest("seed $seed") { SoakSite(GATEWAYS).use { soak(it, seed, seconds) } } }
    }

    private fun seeds(): List<Long> {
        val range = System.getProperty("soak.seeds") ?: return regressionSeeds
        return (range.substringBefore('-').toLong()..range.substringAfter('-').toLong()).toList()
    }

    private fun soak(site: SoakSite, seed: Long, seconds: Int) {
        val sent = ConcurrentLinkedQueue<Sent>()
        runBlocking(Dispatchers.Default) {
            site.start()
            val start = TimeSource.Monotonic.markNow()
            val nowMillis = { start.elapsedNow().inWholeMilliseconds }
            val faults =
                planSoak(seed, seconds, GATEWAYS, site.upstreams.size, site.linkCount).map { planned ->
                    launch {
                        delay(planned.atMillis - nowMillis())
                        site.strike(planned)
                    }
                }
            val callers =
                List(CALLERS) { number ->
                    val use = if (number % 2 == 0) ConnectionUse.NonPersistent else ConnectionUse.Pooled(KEPT_FOR)
                    launch { callOften(site, Random(seed + number), number, use, sent, nowMillis) }
                }
            delay(seconds * 1_000L - nowMillis())
            faults.forEach { it.join() }
            callers.forEach { it.cancel() }
            callers.forEach { it.join() }
            val ready = site.gateways.count { site.isReady(it) }
            expectThat(ready).describedAs("gateways that are ready at the end").isEqualTo(GATEWAYS)
        }
        val broken = brokenPromises(site, sent.toList())
        expectThat(broken).describedAs("seed $seed, logs in ${site.directory}").isEmpty()
        expectThat(sent.count { it.answer.status == 200 }).isGreaterThan(seconds * LEAST_SERVED_A_SECOND)
    }

    private suspend fun callOften(
        site: SoakSite,
        random: Random,
        number: Int,
        connection: ConnectionUse,
        sent: ConcurrentLinkedQueue<Sent>,
        nowMillis: () -> Long,
    ) = withContext(Dispatchers.Default) {
        var count = 0
        var last: SoakGateway? = null
        while (isActive) {
            // A connection that is kept is used until its gateway is gone, also while the gateway is stopping.
            val gateway = last ?: site.gateways.filter { it.inRotation }.randomOrNull(random)
            if (gateway != null) {
                val request = draw(random, "$number-${count++}")
                val started = nowMillis()
                val answer = site.caller.call(gateway.callers, request, connection)
                sent +=
                    Sent(
                        request,
                        gateway,
                        started,
                        nowMillis(),
                        answer,
                        gateway.cutOff,
                        connection is ConnectionUse.Pooled,
                    )
                last = gateway.takeIf { answer.status != 0 && connection is ConnectionUse.Pooled }
            }
            delay(random.nextLong(5, 40))
        }
    }

    private fun draw(random: Random, id: String): CallerRequest =
        when (random.nextInt(4)) {
            0 -> CallerRequest("/chat/$id", "s$id")
            1 -> CallerRequest("/long/$id", "l$id")
            2 -> CallerRequest("/book/$id", "b$id", method = "POST", body = "two")
            else -> CallerRequest("/stock/$id", "r$id")
        }

    private fun brokenPromises(site: SoakSite, sent: List<Sent>): List<String> {
        val runs =
            site.upstreams
                .flatMap { it.executed }
                .groupingBy { it }
                .eachCount()
        return sent.flatMap { one ->
            val id = one.request.id
            val ran = runs[id] ?: 0
            listOfNotNull(
                "$id ran $ran times".takeIf { ran > 1 && (id.startsWith("b") || id.startsWith("s")) },
                "$id was refused with ${one.answer.status} and ran".takeIf { ran > 0 && one.answer.status in NOT_RUN },
                "$id got a stream that is not its own: ${one.answer.body}".takeIf { isWrongStream(one) },
                "$id got ${one.answer.body}".takeIf { isWrongAnswer(one) },
                "$id had no answer from ${one.gateway.callers}, ${one.startedMillis} to ${one.endedMillis} ms, $ran runs: "
                    .plus(one.answer.body)
                    .takeIf { hasNoAnswer(one, ran) },
            )
        }
    }

    /** On a kept connection a request can meet the close of a gateway that stops, as long as it does not run. */
    private fun hasNoAnswer(one: Sent, ran: Int): Boolean {
        val lost = one.answer.status == 0 && !one.gatewayWasCutOff
        return lost && (!one.keptConnection || ran > 0)
    }

    private fun isWrongStream(one: Sent): Boolean {
        val isStream = one.request.id.first() in "sl"
        if (!isStream || one.answer.status != 200) return false
        return if (one.answer.complete) one.answer.body != wholeStream else !wholeStream.startsWith(one.answer.body)
    }

    private fun isWrongAnswer(one: Sent): Boolean {
        val isPlain = one.request.id.first() in "br"
        val expected = "${one.request.method} ${one.request.target} ${one.request.body.orEmpty()}"
        return isPlain && one.answer.status == 200 && one.answer.body != expected
    }

    private companion object {
        /** Statuses that promise that a request did not run. */
        val NOT_RUN = setOf(429, 503)

        /** Shorter than gateways keep idle connections of callers open. */
        val KEPT_FOR = 5.seconds

        const val LEAST_SERVED_A_SECOND = 20
    }
}
