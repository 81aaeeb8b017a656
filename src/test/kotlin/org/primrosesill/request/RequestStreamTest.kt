/*
 * Chat streams that break off, callers that leave, and requests around a stop, under virtual time.
 */
package org.primrosesill.request

import arrow.core.right
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import org.primrosesill.request.Reply.Answer
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun e(id: Int) = text("id: $id\ndata: e$id\n\n")

private val done = text("id: 4\ndata: [DONE]\n\n")
private val cut = BodyPart.Cut("reset")
private val firstTwo = Answer(parts = listOf(e(1), e(2), cut))
private val rest = Answer(parts = listOf(e(3), done))
private val fruitless = Answer(parts = listOf(cut))
private val refused = Answer(404)
private val foreign = Answer(requestId = "x")

/** [events] are the events the caller got, and [resumedAfter] the Last-Event-ID of each resume. */
private class Cut(
    val name: String,
    val result: String,
    val events: String,
    val resumedAfter: String,
    vararg val replies: Reply,
)

private fun stream(vararg parts: BodyPart) = Answer(parts = parts.toList())

private val half = text("id: 2\ndata: e")
private val unnumbered = text("data: e1\n\n")
private val cuts =
    listOf(
        Cut("is resumed after its last event", "200", "123", "2", firstTwo, rest),
        Cut(
            "is resumed after its last whole event",
            "200",
            "123",
            "1",
            stream(e(1), half, cut),
            stream(e(2), e(3), done),
        ),
        Cut("does not get an event twice", "200", "123", "2", firstTwo, stream(e(1), e(2), e(3), done)),
        Cut("is resumed when an event is missing", "200", "123", "1", stream(e(1), e(3)), stream(e(2), e(3), done)),
        Cut("without its end is resumed", "200", "123", "2", stream(e(1), e(2), BodyPart.End), rest),
        Cut("is resumed after a failed resume", "200", "123", "22", firstTwo, Reply.NotSent, rest),
        Cut(
            "is resumed as long as events come",
            "200",
            "123",
            "22233",
            *arrayOf(firstTwo, fruitless, fruitless, stream(e(3), cut), fruitless, stream(done)),
        ),
        Cut("is given up after fruitless resumes", "cut", "12", "222", firstTwo, fruitless, fruitless, fruitless),
        Cut("is given up when the engine refuses", "cut", "12", "222", firstTwo, refused, refused, refused),
        Cut("takes no answer of another request", "cut", "12", "222", firstTwo, foreign, foreign, foreign),
        Cut("without event numbers is not resumed", "cut", "1", "", stream(unnumbered, cut)),
    )

/** [calls] are the methods that the upstream saw, [claim] how the claim was settled. */
private class Leaving(
    val name: String,
    val replies: List<Reply>,
    val calls: List<String>,
    val request: CallerRequest = callerRequest(),
    val claim: String? = null,
    val afterWrites: Int = Int.MAX_VALUE,
    val arrange: Fixture.() -> Unit = {},
)

private val slowBooking = Answer(parts = listOf(pause, text("ok"), BodyPart.End))

private val leavings =
    listOf(
        Leaving("before the head", listOf(Reply.Hang), listOf("POST", "DELETE")),
        Leaving("before the first event", listOf(Answer(parts = listOf(stall))), listOf("POST", "DELETE")),
        Leaving("between events", listOf(stream(e(1), stall)), listOf("POST", "DELETE")),
        Leaving("at a write", listOf(stream(e(1), e(2), stall)), listOf("POST", "DELETE"), afterWrites = 1),
        Leaving("within a resume", listOf(firstTwo, Reply.Hang), listOf("POST", "GET", "DELETE")),
        Leaving("while the limiter is asked", emptyList(), emptyList()) { limiter.waitMillis = 200 },
        Leaving("while a slot is claimed", emptyList(), emptyList()) {
            selector.slotNeeded = setOf("u1")
            slots.waitMillis = 200
        },
        Leaving("within a read", listOf(Reply.Hang), listOf("GET"), callerRequest("GET", "/v1/services/stock/b", "")),
        Leaving("within a booking, which goes on", listOf(slowBooking), listOf("POST"), booking(), "complete"),
    )

class RequestStreamTest {
    // Guards against a short stream that looks whole, and against events that are lost or doubled by a resume.
    @TestFactory
    fun `a cut stream`(): List<DynamicTest> =
        cuts.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies.toList())
                    val fixture = Fixture(client, timeSource = testScheduler.timeSource)
                    val caller = RecordingCaller()

                    fixture.flow.handle(callerRequest(), caller)

                    val resumes = client.calls.filter { it.method == "GET" }
                    val got = Regex("data: e(\\d)").findAll(caller.text).joinToString("") { it.groupValues[1] }
                    expectThat(caller.result()).isEqualTo(case.result)
                    expectThat(got).isEqualTo(case.events)
                    expectThat(
                        resumes.joinToString("") { it.headers["last-event-id"].orEmpty() },
                    ).isEqualTo(case.resumedAfter)
                    expectThat(
                        resumes.map { it.requestId }.toSet() - client.sent.map { it.requestId }.toSet(),
                    ).isEmpty()
                    expectThat(caller.text.contains("event: error")).isEqualTo(case.result == "cut")
                    expectThat(client.calls.count { it.method == "DELETE" }).isEqualTo(
                        if (case.result ==
                            "cut"
                        ) {
                            1
                        } else {
                            0
                        },
                    )
                    expectThat(fixture.leaks()).isEmpty()
                }
            }
        }

    // Guards against work and permits that outlive a caller, and against a booking whose answer is lost with its caller.
    @TestFactory
    fun `a caller leaves`(): List<DynamicTest> =
        leavings.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies)
                    val fixture = Fixture(client, timeSource = testScheduler.timeSource).apply(case.arrange)
                    val request = launch { fixture.flow.handle(case.request, RecordingCaller(case.afterWrites)) }
                    delay(100)
                    request.cancelAndJoin()

                    expectThat(client.calls.map { it.method }).isEqualTo(case.calls)
                    expectThat(fixture.claims.settled).isEqualTo(listOfNotNull(case.claim).toMutableList())
                    expectThat(fixture.leaks()).isEmpty()
                }
            }
        }

    // Guards against a stop that cuts a request, and against a refusal that leaves it open whether the request ran.
    @Test
    fun `a stop refuses new requests and lets the others end`() =
        runTest {
            val fixture = Fixture(ScriptedClient(listOf(slowBooking)), timeSource = testScheduler.timeSource)
            val first = RecordingCaller()
            val running = launch { fixture.flow.handle(booking(), first) }
            delay(10)
            fixture.flow.stopAccepting()
            val second = RecordingCaller()
            fixture.flow.handle(callerRequest(), second)

            expectThat(second.result()).isEqualTo("stopping")
            expectThat(fixture.flow.awaitIdle(10.milliseconds)).isEqualTo(false)
            expectThat(fixture.flow.awaitIdle(5.seconds)).isEqualTo(true)
            running.join()
            expectThat(first.result()).isEqualTo("200")
        }

    // Guards against a repeat that runs again or differs from the first answer, and against headers that pass a router.
    @Test
    fun `a repeat of a key gets the stored answer and only listed headers pass`() =
        runTest {
            val answer =
                Answer(
                    201,
                    listOf(text("ok"), BodyPart.End),
                    mapOf(
                        "content-type" to "a/b",
                        "set-cookie" to "c",
                    ),
                )
            val client = ScriptedClient(listOf(answer))
            val fixture = Fixture(client)
            val foreign = mapOf("connection" to "x", "x-not-run" to "true", "x-priority" to "0", "accept" to "a/b")
            val request = booking(foreign)
            val first = RecordingCaller().also { fixture.flow.handle(request, it) }
            fixture.claims.result = checkNotNull(fixture.claims.stored).right()
            val second = RecordingCaller().also { fixture.flow.handle(request, it) }

            expectThat(first.head?.headers).isEqualTo(mapOf("content-type" to "a/b"))
            expectThat(second.head?.headers).isEqualTo(mapOf("content-type" to "a/b", "idempotency-replayed" to "true"))
            expectThat(second.result() to second.text.toString()).isEqualTo("201" to "ok")
            expectThat(
                client.calls
                    .single()
                    .headers
                    .map { it.name },
            ).containsExactly("accept", "idempotency-key", "x-priority", "x-deadline-millis", "x-request-id")
            expectThat(client.calls.single().headers["x-priority"]).isEqualTo("5")
            expectThat(fixture.events.types)
                .containsExactly(
                    EventType.REQUEST_ROUTED,
                    EventType.REQUEST_FINISHED,
                    EventType.ANSWER_REPLAYED,
                    EventType.REQUEST_FINISHED,
                )
        }
}
