/*
 * Tests each point at which a request can fail: the response to the caller, how often the request is sent, and whether
 * all permits are released.
 */
package org.primrosesill.request

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.request.Reply.Response
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

private class FaultCase(
    val name: String,
    val replies: List<Reply>,
    val expected: String,
    val sendCount: Int,
    val request: CallerRequest = callerRequest(),
    val claimSettlement: String? = null,
    val configure: RequestFixture.() -> Unit = {},
)

private fun event(id: Int) = text("id: $id\ndata: {}\n\n")

private val done = text("data: [DONE]\n\n")
private val reset = BodyPart.Truncated("reset")
private val notRun = Response(503, headers = mapOf("x-not-run" to "true"))
private val completeStream = Response(parts = listOf(event(1), event(2), done))
private val completeResponse = Response(parts = listOf(text("ok"), BodyPart.End))
private val truncatedResponse = Response(parts = listOf(text("o"), reset))
private val mismatchedResponse = Response(requestId = "other")

private fun booking() = callerRequest("POST", "/v1/services/booking/b", "{}", mapOf("idempotency-key" to "k"))

private fun postWithoutKey() = callerRequest("POST", "/v1/services/stock/b", "{}")

private fun repeatableGet() = callerRequest("GET", "/v1/services/stock/b", "")

private val rateLimitExceeded = Failure.LimitExceeded(CustomerId("c"), LimitReason.RATE, 1.seconds)

class RequestFaultTest {
    private val chatCases =
        listOf(
            FaultCase("a complete chat stream", listOf(completeStream), "200", 1),
            FaultCase("a chat rejected by admission control", emptyList(), "overloaded", 0) {
                admission.refusal = Failure.Overloaded(5, 1.seconds)
            },
            FaultCase("a chat over the rate limit", emptyList(), "limit-exceeded", 0) {
                limiter.refusal = rateLimitExceeded
            },
            FaultCase("a chat after a failed connection", listOf(Reply.NotSent, completeStream), "200", 2),
            FaultCase("a chat after an engine that did not run it", listOf(notRun, completeStream), "200", 2),
            FaultCase("a chat that three engines did not run", List(3) { notRun }, "upstream-refused", 3),
            FaultCase("a chat without retry budget", listOf(notRun), "upstream-refused", 1) { budget.retries = 0 },
            FaultCase("a chat whose connection failed before the head", listOf(Reply.Reset), "outcome-unknown", 1),
            FaultCase("a chat whose engine did not respond in time", listOf(Reply.TimedOut), "deadline-exceeded", 1),
            FaultCase("a chat with the response to another request", listOf(mismatchedResponse), "outcome-unknown", 1),
            FaultCase(
                "a chat truncated before its first event",
                listOf(Response(parts = listOf(reset))),
                "outcome-unknown",
                1,
            ),
            FaultCase(
                "a chat that stalls until its deadline",
                listOf(Response(parts = listOf(event(1), stallMarker))),
                "cut",
                1,
            ),
            FaultCase("a chat on a cold engine with a free slot", listOf(completeStream), "200", 1) {
                selector.addressesRequiringSlot = setOf("u1")
            },
            FaultCase("a chat on a cold engine without a free slot, then another", listOf(completeStream), "200", 1) {
                selector.addressesRequiringSlot = setOf("u1")
                slots.free = 0
            },
            FaultCase("a chat whose engines have no free slot", emptyList(), "no-upstream", 0) {
                selector.addressesRequiringSlot = selector.addresses.toSet()
                slots.free = 0
            },
        )

    private val serviceCases =
        listOf(
            FaultCase(
                "a repeatable request after two connection failures",
                listOf(Reply.Reset, Reply.Reset, completeResponse),
                "200",
                3,
                repeatableGet(),
            ),
            FaultCase(
                "a repeatable request after a connection failure, then not run",
                listOf(Reply.Reset, notRun, notRun),
                "outcome-unknown",
                3,
                repeatableGet(),
            ),
            FaultCase(
                "a repeatable request with a truncated response",
                listOf(truncatedResponse),
                "cut",
                1,
                repeatableGet(),
            ),
            FaultCase(
                "a request without a key is not retried after a failure",
                listOf(Reply.Reset),
                "outcome-unknown",
                1,
                postWithoutKey(),
            ),
            FaultCase(
                "a request without a key that was not run",
                listOf(notRun, completeResponse),
                "200",
                2,
                postWithoutKey(),
            ),
            FaultCase("a booking", listOf(completeResponse), "200", 1, booking(), "complete"),
            FaultCase("a booking that was not run", List(3) { notRun }, "upstream-refused", 3, booking(), "release"),
            FaultCase(
                "a booking after a failed connection",
                listOf(Reply.NotSent, completeResponse),
                "200",
                2,
                booking(),
                "complete",
            ),
            FaultCase(
                "a booking with a connection failure",
                listOf(Reply.Reset),
                "outcome-unknown",
                1,
                booking(),
                "markOutcomeUnknown",
            ),
            FaultCase(
                "a booking with a truncated response",
                listOf(truncatedResponse),
                "outcome-unknown",
                1,
                booking(),
                "markOutcomeUnknown",
            ),
            FaultCase(
                "a booking with the response to another request",
                listOf(mismatchedResponse),
                "outcome-unknown",
                1,
                booking(),
                "markOutcomeUnknown",
            ),
            FaultCase(
                "a booking past its deadline",
                listOf(Reply.TimedOut),
                "deadline-exceeded",
                1,
                booking(),
                "markOutcomeUnknown",
            ),
            FaultCase(
                "a booking with a response too large to store",
                listOf(Response(parts = listOf(text("x".repeat(MAXIMUM_STORED_BYTES + 1)), BodyPart.End))),
                "200",
                1,
                booking(),
                "markOutcomeUnknown",
            ),
            FaultCase("a booking without an upstream", emptyList(), "no-upstream", 0, booking(), "release") {
                selector.addressesRequiringSlot = selector.addresses.toSet()
                slots.free = 0
            },
        )

    // Guards against permits, slots and in-flight counts that leak or are released twice, against requests sent more
    // often than allowed, against a wrong "not run", and against claims that are not settled exactly once.
    @TestFactory
    fun `a fault is reported correctly and all permits are released once`(): List<DynamicTest> =
        (chatCases + serviceCases).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies)
                    val fixture = RequestFixture(client, timeSource = testScheduler.timeSource)
                    case.configure(fixture)
                    val caller = RecordingCaller()

                    fixture.flow.handle(case.request, caller)

                    expectThat(caller.result()).isEqualTo(case.expected)
                    expectThat(client.sent.size).isEqualTo(case.sendCount)
                    expectThat(fixture.claims.settled).isEqualTo(listOfNotNull(case.claimSettlement).toMutableList())
                    expectThat(fixture.leaks()).isEmpty()
                }
            }
        }
}
