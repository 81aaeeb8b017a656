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

private fun events(vararg ids: Int) = ids.map { text("id: $it\ndata: e$it\n\n") }

private val done = text("id: 4\ndata: [DONE]\n\n")
private val cut = BodyPart.Cut("reset")
private val firstTwo = Answer(parts = events(1, 2) + cut)
private val rest = Answer(parts = events(3) + done)
private val fruitless = Answer(parts = listOf(cut))

/** [events] are the events the caller got, and [resumedAfter] the Last-Event-ID of each resume. */
private class Cut(
    val name: String,
    val replies: List<Reply>,
    val result: String,
    val events: List<Int>,
    val resumedAfter: List<Int>,
)

private val cuts =
    listOf(
        Cut("is resumed after its last event", listOf(firstTwo, rest), "200", listOf(1, 2, 3), listOf(2)),
        Cut(
            "is resumed after its last whole event",
            listOf(Answer(parts = events(1) + text("id: 2\ndata: e") + cut), Answer(parts = events(2, 3) + done)),
            "200",
            listOf(1, 2, 3),
            listOf(1),
        ),
        Cut(
            "does not get an event twice",
            listOf(firstTwo, Answer(parts = events(1, 2, 3) + done)),
            "200",
            listOf(1, 2, 3),
            listOf(2),
        ),
        Cut(
            "is resumed when an event is missing",
            listOf(Answer(parts = events(1, 3)), Answer(parts = events(2, 3) + done)),
            "200",
            listOf(1, 2, 3),
            listOf(1),
        ),
        Cut(
            "without its end is resumed",
            listOf(Answer(parts = events(1, 2) + BodyPart.End), rest),
            "200",
            listOf(1, 2, 3),
            listOf(2),
        ),
        Cut(
            "is resumed after a failed resume",
            listOf(firstTwo, Reply.NotSent, rest),
            "200",
            listOf(1, 2, 3),
            listOf(2, 2),
        ),
        Cut(
            "is resumed as long as events come",
            listOf(
                firstTwo,
                fruitless,
                fruitless,
                Answer(parts = events(3) + cut),
                fruitless,
                Answer(parts = listOf(done)),
            ),
            "200",
            listOf(1, 2, 3),
            listOf(2, 2, 2, 3, 3),
        ),
        Cut(
            "is given up after three fruitless resumes",
            listOf(firstTwo) +
                List(3) {
                    fruitless
                },
            "cut",
            listOf(1, 2),
            listOf(2, 2, 2),
        ),
        Cut(
            "is given up when the engine refuses",
            listOf(firstTwo) +
                List(3) {
                    Answer(404)
                },
            "cut",
            listOf(1, 2),
            listOf(2, 2, 2),
        ),
        Cut(
            "takes no answer of another request",
            listOf(firstTwo) +
                List(3) {
                    Answer(requestId = "x")
                },
            "cut",
            listOf(1, 2),
            listOf(2, 2, 2),
        ),
        Cut(
            "without event numbers is not resumed",
            listOf(Answer(parts = listOf(text("data: e1\n\n"), cut))),
            "cut",
            listOf(1),
            emptyList(),
        ),
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
        Leaving("between events", listOf(Answer(parts = events(1) + stall)), listOf("POST", "DELETE")),
        Leaving("at a write", listOf(Answer(parts = events(1, 2) + stall)), listOf("POST", "DELETE"), afterWrites = 1),
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
                    val client = ScriptedClient(case.replies)
                    val fixture = Fixture(client, timeSource = testScheduler.timeSource)
                    val caller = RecordingCaller()

                    fixture.flow.handle(callerRequest(), caller)

                    val resumes = client.calls.filter { it.method == "GET" }
                    val got = Regex("data: e(\\d)").findAll(caller.text).map { it.groupValues[1].toInt() }.toList()
                    expectThat(caller.result()).isEqualTo(case.result)
                    expectThat(got).isEqualTo(case.events)
                    expectThat(resumes.map { it.headers["last-event-id"]?.toInt() }).isEqualTo(case.resumedAfter)
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
                    .headers.keys,
            ).containsExactly("accept", "idempotency-key", "x-priority", "x-deadline-millis")
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
