/*
 * Requests whose upstream is silent for longer than its limit, while another attempt is made beside it, in virtual time.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.UpstreamReply.Answers
import org.primrosesill.forwarding.UpstreamReply.Closes
import org.primrosesill.forwarding.UpstreamReply.Streams
import org.primrosesill.forwarding.UpstreamReply.Unreachable
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val PAUSE_MILLIS = 1_500L
private const val STREAMS = 40
private const val STREAM_INTERVAL_MILLIS = 20L

/** Upstream that responds to other requests all the time, so that a silent one is told from a slow pool. */
private val OTHER = UpstreamId("u4")

class ConcurrentAttemptsTest {
    private class Named<T>(val name: String, val value: T)

    /** What the first upstream does, and when the request has its whole response if it stays there. */
    private class Former(val reply: UpstreamReply, val endsMillis: Long, val isStream: Boolean = true)

    private val formers =
        listOf(
            Named("silent before the head", Former(Streams(headMillis = PAUSE_MILLIS), 2_500)),
            Named("silent before the first event", Former(Streams(pauses = mapOf(1 to PAUSE_MILLIS)), 2_500)),
            Named("silent between events", Former(Streams(pauses = mapOf(5 to PAUSE_MILLIS)), 2_500)),
            Named("silent before the last event", Former(Streams(pauses = mapOf(10 to PAUSE_MILLIS)), 2_500)),
            Named("a read without a response", Former(Answers(2_000, 200), 2_000, isStream = false)),
        )

    private val useless =
        listOf(
            Named("is full", Answers(10, 503, notRun = true)),
            Named("is full, late", Answers(400, 503, notRun = true)),
            Named("fails", Answers(10, 500)),
            Named("fails late", Answers(400, 500)),
            Named("closes the connection", Closes(10)),
            Named("closes the connection late", Closes(400)),
            Named("refuses connections", Unreachable(1)),
            Named("accepts no connection", Unreachable(1_000)),
            Named("sends nothing", Streams(headMillis = NO_END_MILLIS)),
            Named("sends a head only", Streams(pauses = mapOf(1 to NO_END_MILLIS), resumes = false)),
            Named("closes after its head", Streams(closesBefore = 1, interval = 300, resumes = false)),
            Named("is another incarnation", Answers(10, 421, notRun = true)),
        )

    // Guards against a sound upstream that is given up before the next one has made progress, so that the caller loses a
    // response that would have come (review/11).
    @TestFactory
    fun `a silent upstream that goes on first keeps its request, whatever the next one does`(): List<DynamicTest> =
        formers.flatMap { former ->
            useless.map { next ->
                dynamicTest("${former.name}; the next one ${next.name}") {
                    val play = play(former.value, listOf(next.value))
                    expectThat(play.result).isEqualTo("200")
                    expectThat(play.body).isEqualTo(if (former.value.isStream) PacedUpstreams.wholeStream else "ok")
                    expectThat(play.endMillis).describedAs("end").isEqualTo(former.value.endsMillis)
                }
            }
        }

    // Guards against the same where the next upstream repeats events, which is no progress, or sends what is no event.
    @TestFactory
    fun `a next upstream that cannot continue the stream does not end the former attempt`(): List<DynamicTest> =
        listOf(
            Named("repeats the first events", Streams(interval = 20, resumes = false)),
            Named("ends without an event", Answers(10, 200)),
        ).map { next ->
            dynamicTest(next.name) {
                val former = Former(Streams(pauses = mapOf(5 to PAUSE_MILLIS)), 2_500)
                val play = play(former, listOf(next.value))
                expectThat(play.result).isEqualTo("200")
                expectThat(play.body).isEqualTo(PacedUpstreams.wholeStream)
                expectThat(play.endMillis).describedAs("end").isEqualTo(former.endsMillis)
            }
        }

    /** @property endsMillis when the caller has the whole response */
    private class Rescue(val name: String, val next: List<UpstreamReply>, val endsMillis: Long, val attempts: Int = 2)

    // Guards against a request that waits for longer than before at an upstream that never goes on. It is silent after its fourth
    // event, at 400 ms, and is left 800 ms later.
    @TestFactory
    fun `a request leaves an upstream that is silent for good as soon as another one goes on`(): List<DynamicTest> =
        listOf(
            Rescue("the next one responds at once", listOf(Streams()), 1_800),
            Rescue("the next one is slow", listOf(Streams(headMillis = 500)), 2_300),
            Rescue("the next one is slow after its head", listOf(Streams(pauses = mapOf(5 to 500))), 2_300),
            Rescue("the next one is full", listOf(Answers(10, 503, notRun = true), Streams()), 1_810),
            Rescue("the next one is unreachable", listOf(Unreachable(10), Streams()), 1_810),
            Rescue("the next one fails", listOf(Closes(10), Streams()), 1_810, attempts = 3),
            Rescue(
                "the next one is silent as well",
                listOf(Streams(headMillis = NO_END_MILLIS), Streams()),
                2_700,
                attempts = 3,
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val former = Former(Streams(pauses = mapOf(5 to NO_END_MILLIS)), 0)
                val play = play(former, case.next, case.attempts)
                expectThat(play.result).isEqualTo("200")
                expectThat(play.body).isEqualTo(PacedUpstreams.wholeStream)
                expectThat(play.endMillis).describedAs("end").isEqualTo(case.endsMillis)
            }
        }

    // Guards against an upstream that works on while another one continues the stream, and against pieces of both: the former one
    // goes on just before, at the same time as or after the next one, whose first event is due at 1,350 ms.
    @TestFactory
    fun `only one upstream continues a stream`(): List<DynamicTest> =
        (700L..1_100L step 50).map { pause ->
            dynamicTest("the former upstream pauses for $pause ms") {
                val play = play(Former(Streams(pauses = mapOf(5 to pause)), 0), listOf(Streams(headMillis = 50)))
                expectThat(play.result).isEqualTo("200")
                expectThat(play.body).isEqualTo(PacedUpstreams.wholeStream)
                val takeover = minOf(500 + pause, 1_350)
                expectThat(play.runs.count { it.endMillis!! > takeover }).describedAs("still at work").isEqualTo(1)
            }
        }

    // Guards against more servers than the route allows, also while several attempts are open and after one was taken up again.
    @TestFactory
    fun `a request runs at no more upstreams than its route allows`(): List<DynamicTest> =
        listOf(1, 2, 3).flatMap { attempts ->
            listOf(
                Named("never goes on", Streams(pauses = mapOf(5 to NO_END_MILLIS))),
                Named("goes on", Streams(pauses = mapOf(5 to PAUSE_MILLIS))),
            ).map { former ->
                dynamicTest("$attempts attempts, the former upstream ${former.name}") {
                    val silent = Streams(headMillis = NO_END_MILLIS)
                    val play = play(Former(former.value, 0), listOf(silent), attempts)
                    expectThat(
                        play.runs
                            .map { it.upstream }
                            .toSet()
                            .size,
                    ).isLessThanOrEqualTo(attempts)
                }
            }
        }

    // Guards against a stream that is lost as its route allows no third upstream, when the attempt that went on first does not
    // finish: the other upstream may be asked again, as it counts as one of the servers of the request already.
    @TestFactory
    fun `an upstream whose attempt was superseded may be asked again`(): List<DynamicTest> =
        listOf(
            AskedAgain(
                "the former upstream falls silent again",
                Streams(pauses = mapOf(2 to 900, 5 to NO_END_MILLIS), interval = 50),
                Streams(headMillis = 150, interval = 50),
                listOf("u1", "u2", "u2"),
            ),
            AskedAgain(
                "the former upstream closes its connection",
                Streams(pauses = mapOf(2 to 900), interval = 50, closesBefore = 5),
                Streams(headMillis = 150, interval = 50),
                listOf("u1", "u2", "u2"),
            ),
            AskedAgain(
                "the next upstream closes its connection",
                Streams(pauses = mapOf(5 to PAUSE_MILLIS)),
                Streams(closesBefore = 6),
                listOf("u1", "u2", "u1"),
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val play = play(Former(case.former, 0), listOf(case.next))
                expectThat(play.result).isEqualTo("200")
                expectThat(play.body).isEqualTo(PacedUpstreams.wholeStream)
                expectThat(play.runs.map { it.upstream.value }).isEqualTo(case.upstreams)
            }
        }

    /** @property upstreams those to which the request was sent, in order */
    private class AskedAgain(
        val name: String,
        val former: UpstreamReply,
        val next: UpstreamReply,
        val upstreams: List<String>,
    )

    // Guards against work that goes on after the caller has left, at the former upstream or at the next one.
    @TestFactory
    fun `both attempts end when the caller leaves`(): List<DynamicTest> =
        listOf(
            Named("the next one sends nothing", Streams(headMillis = NO_END_MILLIS)),
            Named("the next one sends a head only", Streams(pauses = mapOf(5 to NO_END_MILLIS))),
            Named("the next one accepts no connection", Unreachable(1_000)),
        ).map { next ->
            dynamicTest(next.name) {
                val former = Former(Streams(pauses = mapOf(5 to NO_END_MILLIS)), 0)
                val play = play(former, listOf(next.value), leavesAtMillis = 1_400)
                expectThat(play.runs.size).describedAs("runs").isEqualTo(2)
                expectThat(play.runs.map { it.endMillis }).all { isEqualTo(1_400) }
            }
        }

    // Guards against a move that cannot be followed from the id of a request, and against a line for each check of a wait.
    @TestFactory
    fun `each decision of a move is one event`(): List<DynamicTest> =
        listOf(
            Decisions(
                "the next ones are full and close the connection",
                listOf(Answers(10, 503, notRun = true), Closes(10)),
                listOf("request-retried u2", "request-stalled u1", "request-routed u3", "outcome-unknown u3") +
                    listOf("request-continued u1", "request-finished u1"),
            ),
            Decisions(
                "the next one goes on first",
                listOf(Streams()),
                listOf("attempt-superseded u1", "request-finished u2"),
            ),
            Decisions(
                "the next one sends nothing",
                listOf(Streams(headMillis = NO_END_MILLIS)),
                listOf("request-continued u1", "attempt-superseded u2", "request-finished u1"),
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val former = Former(Streams(pauses = mapOf(5 to PAUSE_MILLIS)), 0)
                val first = listOf("request-routed u1", "request-stalled u1", "request-routed u2")
                expectThat(play(former, case.next).events).isEqualTo(first + case.events)
            }
        }

    /** @property events those after the next upstream was asked */
    private class Decisions(val name: String, val next: List<UpstreamReply>, val events: List<String>)

    // Guards against a retry budget that is spent on moves that are known to fail, or beyond its limit, when the streams of an
    // upstream fall silent one after the other. They wait for 1.6 s in all, in which each full upstream is asked every 500 ms, and
    // by one more stream while its rejection is on the way.
    @TestFactory
    fun `streams that fall silent together cost few retries`(): List<DynamicTest> =
        listOf(
            Together("the other upstreams are full", Answers(10, 503, notRun = true), budget = 200, mostRetries = 24),
            Together("the other upstreams send nothing", Streams(headMillis = NO_END_MILLIS), 20, mostRetries = 20),
        ).map { case -> dynamicTest(case.name) { runTest { play(case, this) } } }

    private suspend fun play(case: Together, scope: TestScope) {
        val silent = Streams(pauses = mapOf(5 to PAUSE_MILLIS))
        val replies = mapOf("u1" to listOf(silent)) + (2..4).associate { "u$it" to listOf(case.next) }
        val upstreams = PacedUpstreams(replies) { scope.currentTime }
        // Half of the fixed number is for gateways that stopped.
        val retries = RetryLimit(0.0, 10_000, 2 * case.budget)
        val fixture = fixture(upstreams, isStream = true, attempts = 2, retries) { scope.currentTime }
        val responding = scope.backgroundScope.launch { respondToOthers(fixture.activity) }
        val requests =
            List(STREAMS) {
                delay(STREAM_INTERVAL_MILLIS.milliseconds)
                scope.async { fixture.send("/x/", arrivedAt = scope.testTimeSource.markNow()) }
            }
        val responses = requests.awaitAll()
        responding.cancelAndJoin()
        expectThat(responses.map { it.body.toString() }).all { isEqualTo(PacedUpstreams.wholeStream) }
        expectThat(upstreams.runs.size - STREAMS).describedAs("retries").isLessThanOrEqualTo(case.mostRetries)
    }

    /** @property budget retries in the budget of the pool */
    private class Together(val name: String, val next: UpstreamReply, val budget: Int, val mostRetries: Int)

    /**
     * What happened to one request.
     *
     * @property endMillis when the handler of the request returned
     * @property events types and upstreams of the events
     */
    private class Play(
        val result: String,
        val body: String,
        val endMillis: Long,
        val runs: List<UpstreamRun>,
        val events: List<String>,
    )

    /** Sends a request to u1, which does what [former] says, and to u2 and further ones, which do what [next] says. */
    private fun play(
        former: Former,
        next: List<UpstreamReply>,
        attempts: Int = 2,
        leavesAtMillis: Long? = null,
    ): Play {
        lateinit var play: Play
        runTest { play = play(former, next, attempts, leavesAtMillis, this) }
        return play
    }

    private suspend fun play(
        former: Former,
        next: List<UpstreamReply>,
        attempts: Int,
        leavesAtMillis: Long?,
        scope: TestScope,
    ): Play {
        val others = (2..4).associate { "u$it" to listOf(next.getOrElse(it - 2) { next.last() }) }
        val upstreams = PacedUpstreams(mapOf("u1" to listOf(former.reply)) + others) { scope.currentTime }
        val fixture = fixture(upstreams, former.isStream, attempts) { scope.currentTime }
        val responding = scope.backgroundScope.launch { respondToOthers(fixture.activity) }
        val request = scope.async { fixture.send("/x/", arrivedAt = scope.testTimeSource.markNow()) }
        if (leavesAtMillis != null) {
            delay(leavesAtMillis.milliseconds)
            request.cancelAndJoin()
        }
        request.join()
        responding.cancelAndJoin()
        val counted = (1..4).map { UpstreamId("u$it") }
        expectThat(counted.map(fixture.activity::inFlight)).describedAs("in flight").all { isEqualTo(0) }
        val prefill = counted.map(fixture.activity::pendingPrefillTokens)
        expectThat(prefill).describedAs("pending prefill tokens").all { isEqualTo(0) }
        val response = if (request.isCancelled) RecordingResponse() else request.await()
        return Play(
            response.result,
            response.body.toString(),
            scope.currentTime,
            upstreams.runs,
            fixture.eventsOfUpstreams,
        )
    }

    private fun fixture(
        upstreams: PacedUpstreams,
        isStream: Boolean,
        attempts: Int,
        retries: RetryLimit = RetryLimit(0.0, 10_000, 200),
        nowMillis: () -> Long,
    ) = ForwardingFixture(
        upstreams,
        testConfiguration(
            listOf(
                testRoute(
                    "/x/",
                    if (isStream) RouteKind.STREAM else RouteKind.IDEMPOTENT,
                    resumable = isStream,
                    attempts = attempts,
                    timeout = 3.seconds,
                ).copy(latencyTarget = 600.milliseconds, eventIntervalTarget = 400.milliseconds),
            ),
        ),
        List(4) { testUpstream("u${it + 1}") },
        retries,
        activityClock = nowMillis,
    )

    private suspend fun respondToOthers(activity: UpstreamActivity) {
        while (true) {
            activity.recordData(OTHER)
            delay(100)
        }
    }
}
