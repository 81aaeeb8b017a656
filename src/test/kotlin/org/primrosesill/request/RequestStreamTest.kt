/*
 * Interrupted chat streams, callers that disconnect, repeated requests, and requests during a stop, in virtual time.
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
import org.primrosesill.request.Reply.Response
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun event(id: Int) = text("id: $id\ndata: e$id\n\n")

private val done = text("id: 4\ndata: [DONE]\n\n")
private val reset = BodyPart.Truncated("reset")
private val firstTwoEvents = Response(parts = listOf(event(1), event(2), reset))
private val remainingEvents = Response(parts = listOf(event(3), done))
private val noEvents = Response(parts = listOf(reset))
private val notFound = Response(404)
private val mismatchedResponse = Response(requestId = "x")

/** [receivedEvents] are the events that the caller received, and [resumedAfter] is the Last-Event-ID of each resume. */
private class StreamCase(
    val name: String,
    val result: String,
    val receivedEvents: String,
    val resumedAfter: String,
    vararg val replies: Reply,
)

private fun stream(vararg parts: BodyPart) = Response(parts = parts.toList())

private val partialEvent = text("id: 2\ndata: e")
private val eventWithoutId = text("data: e1\n\n")
private val streamCases =
    listOf(
        StreamCase("is resumed after its last event", "200", "123", "2", firstTwoEvents, remainingEvents),
        StreamCase(
            "is resumed after its last complete event",
            "200",
            "123",
            "1",
            stream(event(1), partialEvent, reset),
            stream(event(2), event(3), done),
        ),
        StreamCase(
            "does not repeat an event",
            "200",
            "123",
            "2",
            firstTwoEvents,
            stream(event(1), event(2), event(3), done),
        ),
        StreamCase(
            "is resumed when an event is missing",
            "200",
            "123",
            "1",
            stream(event(1), event(3)),
            stream(event(2), event(3), done),
        ),
        StreamCase(
            "that ends without [DONE] is resumed",
            "200",
            "123",
            "2",
            stream(event(1), event(2), BodyPart.End),
            remainingEvents,
        ),
        StreamCase(
            "is resumed after a failed resume",
            "200",
            "123",
            "22",
            firstTwoEvents,
            Reply.NotSent,
            remainingEvents,
        ),
        StreamCase(
            "is resumed as long as events arrive",
            "200",
            "123",
            "22233",
            *arrayOf(firstTwoEvents, noEvents, noEvents, stream(event(3), reset), noEvents, stream(done)),
        ),
        StreamCase(
            "is aborted after resumes without an event",
            "cut",
            "12",
            "222",
            firstTwoEvents,
            noEvents,
            noEvents,
            noEvents,
        ),
        StreamCase(
            "is aborted when the engine rejects resumes",
            "cut",
            "12",
            "222",
            firstTwoEvents,
            notFound,
            notFound,
            notFound,
        ),
        StreamCase(
            "is not resumed with the response to another request",
            "cut",
            "12",
            "222",
            firstTwoEvents,
            mismatchedResponse,
            mismatchedResponse,
            mismatchedResponse,
        ),
        StreamCase("without event ids is not resumed", "cut", "1", "", stream(eventWithoutId, reset)),
    )

/** [calls] are the methods that the upstream received, and [claimSettlement] is how the claim was settled. */
private class DisconnectCase(
    val name: String,
    val replies: List<Reply>,
    val calls: List<String>,
    val request: CallerRequest = callerRequest(),
    val claimSettlement: String? = null,
    val afterWrites: Int = Int.MAX_VALUE,
    val configure: RequestFixture.() -> Unit = {},
)

private val slowBooking = Response(parts = listOf(delayMarker, text("ok"), BodyPart.End))

private val disconnectCases =
    listOf(
        DisconnectCase("before the response head", listOf(Reply.Hang), listOf("POST", "DELETE")),
        DisconnectCase(
            "before the first event",
            listOf(Response(parts = listOf(stallMarker))),
            listOf("POST", "DELETE"),
        ),
        DisconnectCase("between events", listOf(stream(event(1), stallMarker)), listOf("POST", "DELETE")),
        DisconnectCase(
            "during a write",
            listOf(stream(event(1), event(2), stallMarker)),
            listOf("POST", "DELETE"),
            afterWrites = 1,
        ),
        DisconnectCase("during a resume", listOf(firstTwoEvents, Reply.Hang), listOf("POST", "GET", "DELETE")),
        DisconnectCase("while a customer permit is acquired", emptyList(), emptyList()) { limiter.waitMillis = 200 },
        DisconnectCase("while a slot is claimed", emptyList(), emptyList()) {
            selector.addressesRequiringSlot = setOf("u1")
            slots.waitMillis = 200
        },
        DisconnectCase(
            "during a GET request",
            listOf(Reply.Hang),
            listOf("GET"),
            callerRequest("GET", "/v1/services/stock/b", ""),
        ),
        DisconnectCase(
            "during a booking, which is completed",
            listOf(slowBooking),
            listOf("POST"),
            booking(),
            "complete",
        ),
    )

class RequestStreamTest {
    // Guards against a truncated stream that looks complete, and against events that a resume loses or duplicates.
    @TestFactory
    fun `an interrupted stream`(): List<DynamicTest> =
        streamCases.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies.toList())
                    val fixture = RequestFixture(client, timeSource = testScheduler.timeSource)
                    val caller = RecordingCaller()

                    fixture.flow.handle(callerRequest(), caller)

                    val resumes = client.calls.filter { it.method == "GET" }
                    val receivedEvents =
                        Regex(
                            "data: e(\\d)",
                        ).findAll(caller.text).joinToString("") { it.groupValues[1] }
                    expectThat(caller.result()).isEqualTo(case.result)
                    expectThat(receivedEvents).isEqualTo(case.receivedEvents)
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

    // Guards against requests and permits that outlive their caller, and against a booking whose response is lost when
    // its caller disconnects.
    @TestFactory
    fun `a caller disconnects`(): List<DynamicTest> =
        disconnectCases.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies)
                    val fixture = RequestFixture(client, timeSource = testScheduler.timeSource).apply(case.configure)
                    val request = launch { fixture.flow.handle(case.request, RecordingCaller(case.afterWrites)) }
                    delay(100)
                    request.cancelAndJoin()

                    expectThat(client.calls.map { it.method }).isEqualTo(case.calls)
                    expectThat(fixture.claims.settled).isEqualTo(listOfNotNull(case.claimSettlement).toMutableList())
                    expectThat(fixture.leaks()).isEmpty()
                }
            }
        }

    // Guards against a stop that aborts a request, and against a rejection that leaves open whether the request ran.
    @Test
    fun `a stop rejects new requests and completes those in flight`() =
        runTest {
            val fixture = RequestFixture(ScriptedClient(listOf(slowBooking)), timeSource = testScheduler.timeSource)
            val firstCaller = RecordingCaller()
            val running = launch { fixture.flow.handle(booking(), firstCaller) }
            delay(10)
            fixture.flow.stopAccepting()
            val secondCaller = RecordingCaller()
            fixture.flow.handle(callerRequest(), secondCaller)

            expectThat(secondCaller.result()).isEqualTo("stopping")
            expectThat(fixture.flow.awaitIdle(10.milliseconds)).isEqualTo(false)
            expectThat(fixture.flow.awaitIdle(5.seconds)).isEqualTo(true)
            running.join()
            expectThat(firstCaller.result()).isEqualTo("200")
        }

    // Guards against a repeated request that runs again or whose response differs from the first one, and against
    // forwarding of headers that are not listed.
    @Test
    fun `a repeated key gets the stored response and only listed headers are forwarded`() =
        runTest {
            val upstreamResponse =
                Response(
                    201,
                    listOf(text("ok"), BodyPart.End),
                    mapOf(
                        "content-type" to "a/b",
                        "set-cookie" to "c",
                    ),
                )
            val client = ScriptedClient(listOf(upstreamResponse))
            val fixture = RequestFixture(client)
            val requestHeaders =
                mapOf(
                    "connection" to "x",
                    "x-not-run" to "true",
                    "x-priority" to "0",
                    "accept" to "a/b",
                )
            val request = booking(requestHeaders)
            val firstCaller = RecordingCaller().also { fixture.flow.handle(request, it) }
            fixture.claims.result = checkNotNull(fixture.claims.stored).right()
            val secondCaller = RecordingCaller().also { fixture.flow.handle(request, it) }

            expectThat(firstCaller.head?.headers).isEqualTo(mapOf("content-type" to "a/b"))
            expectThat(secondCaller.head?.headers).isEqualTo(
                mapOf(
                    "content-type" to "a/b",
                    "idempotency-replayed" to "true",
                ),
            )
            expectThat(secondCaller.result() to secondCaller.text.toString()).isEqualTo("201" to "ok")
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
