/*
 * What the caller is told, how often the work is sent, and whether everything is given back, for each place where a
 * request can fail.
 */
package org.primrosesill.request

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.request.Reply.Answer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

private class Fault(
    val name: String,
    val replies: List<Reply>,
    val expected: String,
    val sent: Int,
    val request: CallerRequest = callerRequest(),
    val claim: String? = null,
    val arrange: Fixture.() -> Unit = {},
)

private fun event(id: Int) = text("id: $id\ndata: {}\n\n")

private val done = text("data: [DONE]\n\n")
private val cut = BodyPart.Cut("reset")
private val notRun = Answer(503, headers = mapOf("x-not-run" to "true"))
private val whole = Answer(parts = listOf(event(1), event(2), done))
private val plain = Answer(parts = listOf(text("ok"), BodyPart.End))
private val cutPlain = Answer(parts = listOf(text("o"), cut))
private val foreign = Answer(requestId = "other")

private fun booking() = callerRequest("POST", "/v1/services/booking/b", "{}", mapOf("idempotency-key" to "k"))

private fun unkeyed() = callerRequest("POST", "/v1/services/stock/b", "{}")

private fun read() = callerRequest("GET", "/v1/services/stock/b", "")

private val refused = Failure.LimitExceeded(CustomerId("c"), LimitReason.RATE, 1.seconds)

class RequestFaultTest {
    private val chatFaults =
        listOf(
            Fault("a whole chat stream", listOf(whole), "200", 1),
            Fault("a chat refused by admission", emptyList(), "overloaded", 0) {
                admission.refusal = Failure.Overloaded(5, 1.seconds)
            },
            Fault("a chat over the limit", emptyList(), "limit-exceeded", 0) { limiter.refusal = refused },
            Fault("a chat after a failed connection", listOf(Reply.NotSent, whole), "200", 2),
            Fault("a chat after an engine that did not run it", listOf(notRun, whole), "200", 2),
            Fault("a chat that three engines did not run", List(3) { notRun }, "upstream-refused", 3),
            Fault("a chat without retry budget", listOf(notRun), "upstream-refused", 1) { budget.retries = 0 },
            Fault("a chat whose connection broke before the head", listOf(Reply.Broken), "outcome-unknown", 1),
            Fault("a chat whose engine did not answer in time", listOf(Reply.TimedOut), "deadline-exceeded", 1),
            Fault("a chat with the answer of another request", listOf(foreign), "outcome-unknown", 1),
            Fault("a chat cut before its first event", listOf(Answer(parts = listOf(cut))), "outcome-unknown", 1),
            Fault(
                "a chat that stalls until its deadline",
                listOf(Answer(parts = listOf(event(1), stall))),
                "cut",
                1,
            ),
            Fault("a chat on a cold engine with a slot", listOf(whole), "200", 1) { selector.slotNeeded = setOf("u1") },
            Fault("a chat on a cold engine without a slot goes on", listOf(whole), "200", 1) {
                selector.slotNeeded = setOf("u1")
                slots.free = 0
            },
            Fault("a chat whose engines have no slot left", emptyList(), "no-upstream", 0) {
                selector.slotNeeded = selector.addresses.toSet()
                slots.free = 0
            },
        )

    private val serviceFaults =
        listOf(
            Fault("a read that broke twice", listOf(Reply.Broken, Reply.Broken, plain), "200", 3, read()),
            Fault(
                "a read that broke, then was not run",
                listOf(Reply.Broken, notRun, notRun),
                "outcome-unknown",
                3,
                read(),
            ),
            Fault("a read cut in its body", listOf(cutPlain), "cut", 1, read()),
            Fault("an unkeyed call that broke is not repeated", listOf(Reply.Broken), "outcome-unknown", 1, unkeyed()),
            Fault("an unkeyed call that was not run", listOf(notRun, plain), "200", 2, unkeyed()),
            Fault("a booking", listOf(plain), "200", 1, booking(), "complete"),
            Fault("a booking that was not run", List(3) { notRun }, "upstream-refused", 3, booking(), "release"),
            Fault("a booking after a failed connection", listOf(Reply.NotSent, plain), "200", 2, booking(), "complete"),
            Fault("a booking that broke", listOf(Reply.Broken), "outcome-unknown", 1, booking(), "keep"),
            Fault("a booking cut in its body", listOf(cutPlain), "outcome-unknown", 1, booking(), "keep"),
            Fault("a booking with a foreign answer", listOf(foreign), "outcome-unknown", 1, booking(), "keep"),
            Fault("a booking past its deadline", listOf(Reply.TimedOut), "deadline-exceeded", 1, booking(), "keep"),
            Fault(
                "a booking with an answer too large to store",
                listOf(Answer(parts = listOf(text("x".repeat(MAXIMUM_STORED_BYTES + 1)), BodyPart.End))),
                "200",
                1,
                booking(),
                "keep",
            ),
            Fault("a booking without an upstream", emptyList(), "no-upstream", 0, booking(), "release") {
                selector.slotNeeded = selector.addresses.toSet()
                slots.free = 0
            },
        )

    // Guards against permits, slots and in-flight counts that leak or are given back twice, against work sent more often
    // than allowed, against a false "not run", and against claims that are not settled once.
    @TestFactory
    fun `a fault ends with a true answer and gives everything back once`(): List<DynamicTest> =
        (chatFaults + serviceFaults).map { fault ->
            dynamicTest(fault.name) {
                runTest {
                    val client = ScriptedClient(fault.replies)
                    val fixture = Fixture(client, timeSource = testScheduler.timeSource)
                    fault.arrange(fixture)
                    val caller = RecordingCaller()

                    fixture.flow.handle(fault.request, caller)

                    expectThat(caller.result()).isEqualTo(fault.expected)
                    expectThat(client.sent.size).isEqualTo(fault.sent)
                    expectThat(fixture.claims.settled).isEqualTo(listOfNotNull(fault.claim).toMutableList())
                    expectThat(fixture.leaks()).isEmpty()
                }
            }
        }
}
