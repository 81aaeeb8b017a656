/*
 * What a gateway records of the speed of upstreams from their responses, in virtual time.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.load.ReportId
import org.primrosesill.load.SpeedObservations
import org.primrosesill.load.UsualSpeeds
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.toHeaderFields
import org.primrosesill.placement.Placement
import org.primrosesill.placement.PlacementRequest
import org.primrosesill.placement.PlacementResult
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration

private const val EVENTS = 41

class SpeedRecordingTest {
    private class RecordingSpeeds : SpeedObservations by UsualSpeeds {
        val records = LinkedHashSet<String>()

        override fun recordReported(upstream: UpstreamId, slowness: Double, report: ReportId) {
            records += "reported $slowness"
        }

        override fun recordEventInterval(pool: PoolId, upstream: UpstreamId, interval: Duration) {
            records += "interval $interval"
        }

        override fun recordResponseTime(pool: PoolId, route: String, upstream: UpstreamId, responseTime: Duration) {
            records += "$route $responseTime"
        }

        override fun recordPrefill(pool: PoolId, upstream: UpstreamId, tokens: Int, duration: Duration) {
            records += "prefill $tokens $duration"
        }
    }

    /** Responds with the head at once, the first part of the body after 100 ms and the others every 10 ms. */
    private class SteadyClient(private val status: Int, private val load: String?, private val parts: Int) :
        UpstreamClient {
        override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
            call.onSent()
            val headers =
                mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1") +
                    listOfNotNull(load).map { "X-Server-Load" to it }
            var sent = 0
            val response =
                UpstreamResponse(status, headers.toHeaderFields()) {
                    if (sent == parts) {
                        BodyPart.End
                    } else {
                        delay(if (sent++ == 0) 100 else 10)
                        BodyPart.Bytes("id: $sent\ndata: x\n\n".toByteArray())
                    }
                }
            return ExchangeResult.Responded(use(response))
        }
    }

    private class Case(
        val name: String,
        val target: String,
        val records: Set<String>,
        val load: String? = null,
        val status: Int = 200,
        val parts: Int = EVENTS,
    )

    private val interval = "interval 10ms"
    private val prefill = "prefill 9200 100ms"

    // Guards against durations that are recorded beside a reported slowness, from rejections, or from prompts that waited.
    @TestFactory
    fun `the speed of an upstream is recorded from its responses`(): List<DynamicTest> =
        listOf(
            Case("stream without a report", "/stream/x", setOf(prefill, interval)),
            Case("stream, three figures", "/stream/x", setOf(prefill, interval), "3,1,48"),
            Case("stream, three figures, requests waiting", "/stream/x", setOf(interval), "3,4,48"),
            Case("stream, four figures", "/stream/x", setOf("reported 2.5", prefill), "3,1,48,250"),
            Case("stream, malformed figures", "/stream/x", setOf(prefill, interval), "3,1,48,-7"),
            Case("stream of one event", "/stream/x", setOf(prefill), parts = 1),
            Case("plain", "/unsafe/x", setOf("/unsafe/ 100ms"), parts = 1),
            Case("plain, four figures", "/unsafe/x", setOf("reported 2.5"), "3,1,48,250", parts = 1),
            Case("plain, an error", "/unsafe/x", emptySet(), status = 500, parts = 1),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val speeds = RecordingSpeeds()
                    val client = SteadyClient(case.status, case.load, case.parts)
                    val fixture = ForwardingFixture(client, placement = promptPlacement, speeds = speeds)
                    fixture.send(case.target, arrivedAt = testTimeSource.markNow())
                    expectThat(speeds.records.toSet()).isEqualTo(case.records)
                }
            }
        }

    private val promptPlacement =
        object : Placement {
            override fun choose(request: PlacementRequest, view: DirectoryView) =
                view.eligible(request.pool).firstOrNull { it.id !in request.excluded }?.let {
                    PlacementResult.Chosen(it, prefillTokens = 9_200)
                } ?: PlacementResult.Rejected("none", Duration.ZERO)
        }
}
