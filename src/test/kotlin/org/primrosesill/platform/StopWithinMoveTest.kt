/*
 * A planned stop of a gateway while one of its streams waits for a silent engine and for another one.
 */
package org.primrosesill.platform

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** A gateway with requests at one engine only leaves it 1.4 s after its last event, when 3 s just bear a second such pause. */
private const val SILENCE_MILLIS = 2_000L
private const val REQUEST = "moved"

class StopWithinMoveTest {
    private var fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against a stream that a stopping gateway cuts while it is between two engines.
    @TestFactory
    fun `a stream that is between two engines ends whole when its gateway stops`(): List<DynamicTest> =
        listOf(UpstreamMode.NORMAL, UpstreamMode.FULL, UpstreamMode.HANGING, UpstreamMode.CRASHING).map { mode ->
            dynamicTest("the other engine is $mode") { play(mode) }
        }

    private fun play(mode: UpstreamMode) {
        fixture.close()
        fixture = GatewayFixture()
        fixture.start()
        val engines = fixture.site.upstreams.take(2)
        engines.forEach { it.silenceMillis = SILENCE_MILLIS }
        val response =
            runBlocking {
                val received = async(Dispatchers.IO) { fixture.call(CallerRequest("/long/1", REQUEST)) }
                awaitCondition("an engine runs the request") { engines.any { REQUEST in it.executed } }
                val other = engines.first { REQUEST !in it.executed }
                other.silenceMillis = 0
                other.mode = mode
                awaitCondition("the other engine gets the request") { REQUEST in other.received }
                val stop = async(Dispatchers.IO) { fixture.gateways[0].stop() }
                received.await().also { stop.await() }
            }
        val events = (1..10).joinToString("") { "id: $it\ndata: $it\n\n" }
        expectThat(response).isEqualTo(ReceivedResponse(200, events, complete = true))
        expectThat(fixture.events.types.toList()).contains(EventType.REQUEST_STALLED)
    }
}
