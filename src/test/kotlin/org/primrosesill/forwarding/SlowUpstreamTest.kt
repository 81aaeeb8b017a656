/*
 * Requests to upstreams that are slow or pause for longer than their limits, in virtual time. A sound upstream is left only for
 * an attempt that can follow, and a silent one is left as soon as one can.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.load.UpstreamActivity
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
import org.primrosesill.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val NEVER = Long.MAX_VALUE

/**
 * How an upstream responds, in milliseconds.
 *
 * @property pauses pause before each event of a stream
 */
private class Pace(val head: Long = 0, val pauses: List<Long> = emptyList(), val comments: Boolean = false)

/** Responds to each call at the pace of its number. */
private class PacedClient(private val paces: List<Pace>, private val isStream: Boolean) : UpstreamClient {
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        val pace = paces[minOf(calls++, paces.lastIndex)]
        call.onSent()
        withTimeoutOrNull(call.timeout) { pause(pace.head) } ?: return ExchangeResult.TimedOut
        val headers = mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1").toHeaderFields()
        val first = call.headers["Last-Event-Id"]?.toInt() ?: 0
        var sent = first
        val response =
            UpstreamResponse(200, headers) {
                if (!isStream) {
                    if (sent++ == first) BodyPart.Bytes("ok".toByteArray()) else BodyPart.End
                } else if (sent - first == pace.pauses.size) {
                    BodyPart.End
                } else if (pace.comments && pace.pauses[sent - first] == NEVER) {
                    pause(COMMENT_INTERVAL_MILLIS)
                    BodyPart.Bytes(": wait\n".toByteArray())
                } else {
                    pause(pace.pauses[sent++ - first])
                    BodyPart.Bytes("id: $sent\ndata: x\n\n".toByteArray())
                }
            }
        return ExchangeResult.Responded(use(response))
    }

    private suspend fun pause(millis: Long) = if (millis == NEVER) awaitCancellation() else delay(millis)

    private companion object {
        const val COMMENT_INTERVAL_MILLIS = 100L
    }
}

class SlowUpstreamTest {
    /**
     * @property calls number of upstreams to which the request is sent
     * @property endsMillis when its caller has the complete response
     * @property freeFromMillis time from which another upstream than the first one is available
     * @property othersRespond whether another upstream of the pool responds to other requests all the time
     */
    private class Case(
        val name: String,
        val attempts: Int,
        val upstreams: Int,
        val paces: List<Pace>,
        val calls: Int,
        val endsMillis: Long,
        val isStream: Boolean = true,
        val retries: Int = 100,
        val result: String = "200",
        val freeFromMillis: Long = 0,
        val timeout: Duration = 4.seconds,
        val othersRespond: Boolean = false,
    )

    private fun read(name: String, attempts: Int, upstreams: Int, paces: List<Pace>, calls: Int, endsMillis: Long) =
        Case(name, attempts, upstreams, paces, calls, endsMillis, isStream = false)

    private val pauseOf1500 = listOf(Pace(pauses = listOf(30, 30, 1_500, 30)))
    private val pauseOf1000 = listOf(Pace(pauses = listOf(30, 1_000, 30)))
    private val pauseThenNone = pauseOf1000 + Pace(pauses = listOf(30, 30, 30))
    private val hangThenNone = listOf(Pace(pauses = listOf(30, NEVER)), Pace(pauses = listOf(30)))

    // Guards against sound work that is given up although no other attempt can follow, or although the move costs more than
    // the wait, so that its caller gets nothing (review/4): the head of a response, the first event and the next one, in each
    // state of the attempts, with the pause at one upstream and at all of them.
    @TestFactory
    fun `a sound upstream that is slow is waited for`(): List<DynamicTest> =
        listOf(
            read("read, one attempt", 1, 3, listOf(Pace(2_500)), calls = 1, endsMillis = 2_500),
            read("read, one upstream", 3, 1, listOf(Pace(2_500)), calls = 1, endsMillis = 2_500),
            read("read, slow at all upstreams", 2, 3, listOf(Pace(1_900)), calls = 1, endsMillis = 1_900),
            read(
                "read, slow at the first upstream",
                2,
                3,
                listOf(Pace(1_900), Pace(30)),
                calls = 1,
                endsMillis = 1_900,
            ),
            Case("stream, one attempt, a pause", 1, 3, pauseOf1500, calls = 1, endsMillis = 1_590),
            Case("stream, one upstream, a pause", 3, 1, pauseOf1500, calls = 1, endsMillis = 1_590),
            Case(
                "stream, one upstream, a late first event",
                2,
                1,
                listOf(Pace(pauses = listOf(1_500, 30))),
                calls = 1,
                endsMillis = 1_530,
            ),
            Case("stream, a pause at all upstreams", 2, 3, pauseOf1000, calls = 1, endsMillis = 1_060),
            Case("stream, a pause at the first upstream", 2, 3, pauseThenNone, calls = 1, endsMillis = 1_060),
            Case(
                "stream, a pause at all upstreams, no time for two",
                2,
                3,
                pauseOf1000,
                calls = 1,
                endsMillis = 1_060,
                timeout = 1_500.milliseconds,
            ),
            Case(
                "stream, a late first event at all upstreams",
                2,
                3,
                listOf(Pace(pauses = listOf(1_300, 30))),
                calls = 1,
                endsMillis = 1_330,
                timeout = 3.seconds,
            ),
            Case(
                "stream, last attempt, a pause in each run, others respond",
                2,
                3,
                pauseOf1000,
                calls = 2,
                endsMillis = 1_890,
                othersRespond = true,
            ),
            Case("stream, empty retry budget", 2, 3, pauseOf1500, calls = 1, endsMillis = 1_590, retries = 0),
            Case("stream, no free upstream", 2, 3, pauseOf1500, 1, endsMillis = 1_590, freeFromMillis = 3_000),
            Case(
                "stream, too late for another attempt",
                2,
                3,
                listOf(Pace(pauses = listOf(30, 1_000, 30))),
                calls = 1,
                endsMillis = 1_060,
                timeout = 1_200.milliseconds,
            ),
        ).map(::test)

    // Guards against a stalled upstream that holds a request although another one is free, which it becomes at any time.
    @TestFactory
    fun `a silent upstream is left when another attempt can follow`(): List<DynamicTest> =
        listOf(
            Case(
                "read",
                2,
                3,
                listOf(Pace(NEVER), Pace(30)),
                calls = 2,
                endsMillis = 1_530,
                isStream = false,
                othersRespond = true,
            ),
            Case(
                "stream before its first event",
                2,
                3,
                listOf(Pace(pauses = listOf(NEVER)), Pace(pauses = listOf(30))),
                calls = 2,
                endsMillis = 930,
                othersRespond = true,
            ),
            Case("stream after an event", 2, 3, hangThenNone, calls = 2, endsMillis = 860, othersRespond = true),
            Case(
                "stream with comments only",
                2,
                3,
                listOf(Pace(pauses = listOf(30, NEVER), comments = true), Pace(pauses = listOf(30))),
                calls = 2,
                endsMillis = 860,
            ),
            Case(
                "stream, an upstream becomes free later",
                2,
                3,
                hangThenNone,
                calls = 2,
                endsMillis = 1_560,
                freeFromMillis = 1_500,
                othersRespond = true,
            ),
            Case(
                "silent to the deadline",
                2,
                1,
                listOf(Pace(pauses = listOf(30, NEVER))),
                calls = 1,
                endsMillis = 4_000,
                result = "200 aborted",
            ),
        ).map(::test)

    // Guards against a request that stays with a hanging upstream to its deadline when nothing else tells whether it hangs. It
    // is left while the time left bears a second wait as long as the first one.
    @TestFactory
    fun `an upstream that may hang is left while another wait fits into the time left`(): List<DynamicTest> =
        listOf(
            Case("read", 2, 3, listOf(Pace(NEVER), Pace(30)), calls = 2, endsMillis = 2_030, isStream = false),
            Case(
                "stream before its first event",
                2,
                3,
                listOf(Pace(pauses = listOf(NEVER)), Pace(pauses = listOf(30))),
                calls = 2,
                endsMillis = 2_030,
            ),
            Case("stream after an event", 2, 3, hangThenNone, calls = 2, endsMillis = 1_960),
            Case(
                "stream, an upstream becomes free later",
                2,
                3,
                hangThenNone,
                calls = 2,
                endsMillis = 2_560,
                freeFromMillis = 2_500,
            ),
        ).map(::test)

    private fun test(case: Case): DynamicTest =
        dynamicTest(case.name) {
            runTest {
                val client = PacedClient(case.paces, case.isStream)
                val route =
                    testRoute(
                        "/slow/",
                        if (case.isStream) RouteKind.STREAM else RouteKind.IDEMPOTENT,
                        resumable = case.isStream,
                        attempts = case.attempts,
                        timeout = case.timeout,
                    ).copy(latencyTarget = 600.milliseconds, eventIntervalTarget = 400.milliseconds)
                val fixture =
                    ForwardingFixture(
                        client,
                        testConfiguration(listOf(route)),
                        List(case.upstreams) { testUpstream("u${it + 1}") },
                        RetryLimit(0.0, 10_000, fixed = 2 * case.retries),
                        placementFreeFrom(case.freeFromMillis) { currentTime },
                        activityClock = { currentTime },
                    )
                if (case.othersRespond) backgroundScope.launch { respondToOthers(fixture.activity) }
                val response = fixture.send("/slow/x", arrivedAt = testTimeSource.markNow())
                expectThat(response.result).isEqualTo(case.result)
                expectThat(client.calls).describedAs("calls").isEqualTo(case.calls)
                expectThat(currentTime).describedAs("end").isEqualTo(case.endsMillis)
            }
        }

    private suspend fun respondToOthers(activity: UpstreamActivity) {
        while (true) {
            activity.recordData(UpstreamId("u3"))
            delay(100)
        }
    }

    /** Selects the first upstream at any time, and another one from [freeFromMillis] on. */
    private fun placementFreeFrom(freeFromMillis: Long, nowMillis: () -> Long) =
        object : Placement {
            override fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult =
                if (request.excluded.isNotEmpty() && nowMillis() < freeFromMillis) {
                    PlacementResult.Rejected("full", 100.milliseconds)
                } else {
                    firstUntriedPlacement.choose(request, view)
                }
        }
}
