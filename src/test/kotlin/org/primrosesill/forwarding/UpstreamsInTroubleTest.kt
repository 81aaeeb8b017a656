/*
 * Answers that come without end, or a byte now and then: what the caller gets, and how much of them is kept.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** An answer whose parts are made as they are read; [part] gets the number of the part. */
private class MadeAnswer(val status: Int, val part: suspend (Int) -> BodyPart)

private class MakingClient(answers: List<MadeAnswer>) : UpstreamClient {
    private val remaining = ArrayDeque(answers)
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> {
        calls++
        val made = remaining.removeFirst()
        var number = 0
        val headers = headerFieldsOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1")
        val body = UpstreamBody { made.part(number++) }
        return ExchangeResult.Answered(use(UpstreamAnswer(made.status, headers, body = body)))
    }
}

/** Sends [text] in each part, [pauseMillis] after the last one. */
private fun endless(text: String, pauseMillis: Long = 1, status: Int = 200) =
    MadeAnswer(status) {
        delay(pauseMillis)
        BodyPart.Bytes(text.toByteArray())
    }

/** Sends [parts], [pauseMillis] after one another, and ends. */
private fun slow(vararg parts: String, pauseMillis: Long) =
    MadeAnswer(200) { number ->
        delay(pauseMillis)
        parts.getOrNull(number)?.let { BodyPart.Bytes(it.toByteArray()) } ?: BodyPart.End
    }

private fun event(number: Int) = "id: $number\ndata: x\n\n"

private val whole = slow(event(1), event(2), pauseMillis = 1)
private val plainOk = slow("ok", pauseMillis = 1)
private val kilobyte = "x".repeat(1_024)

/** The routes give up after 2 s of the real clock, which stands still while the first 256 KB arrive in 256 ms. */
private const val DEADLINE_MILLIS = 2_300L

class UpstreamsInTroubleTest {
    private class Case(
        val name: String,
        val target: String,
        val answers: List<MadeAnswer>,
        val result: String,
        val body: String? = null,
        val withinMillis: Long = 2_000,
    )

    private fun tests(cases: List<Case>): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.target}, ${case.name}") {
                runTest {
                    val client = MakingClient(case.answers)
                    val answer = ForwardingFixture(client).send(case.target)
                    expectThat(answer.result).isEqualTo(case.result)
                    expectThat(client.calls).describedAs("sends").isEqualTo(case.answers.size)
                    case.body?.let { expectThat(answer.body.toString()).isEqualTo(it) }
                    expectThat(currentTime).describedAs("milliseconds").isLessThanOrEqualTo(case.withinMillis)
                }
            }
        }

    // Guards against an answer without end that takes the memory of the process, and against a long one that is refused.
    @TestFactory
    fun `answers without end are not kept`(): List<DynamicTest> =
        tests(
            listOf(
                Case(
                    "a body without end",
                    "/safe/x",
                    listOf(endless(kilobyte)),
                    "200 cut",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case(
                    "a body without end",
                    "/unsafe/x",
                    listOf(endless(kilobyte)),
                    "200 cut",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case("a failure without end", "/safe/x", listOf(endless(kilobyte, status = 500), plainOk), "200", "ok"),
                Case(
                    "a failure without end",
                    "/unsafe/x",
                    listOf(endless(kilobyte, status = 500)),
                    "500 cut",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case(
                    "a long body",
                    "/safe/x",
                    listOf(slow(*Array(600) { kilobyte }, pauseMillis = 1)),
                    "200",
                    kilobyte.repeat(600),
                ),
                Case("a line without end", "/stream/x", listOf(endless(kilobyte)), "502", withinMillis = 600),
                Case(
                    "a line without end, then another engine",
                    "/resumable/x",
                    listOf(endless(kilobyte.repeat(10)), whole),
                    "200",
                    event(1) + event(2),
                    withinMillis = 200,
                ),
                Case(
                    "lines without end",
                    "/stream/x",
                    listOf(endless("data: $kilobyte\n")),
                    "502",
                    withinMillis = 600,
                ),
                Case(
                    "comments without end",
                    "/stream/x",
                    listOf(endless(": $kilobyte\n\n")),
                    "502",
                    withinMillis = 600,
                ),
            ),
        )

    // Guards against a stalled stream that is held by a byte now and then, and against a slow one that is cut.
    @TestFactory
    fun `progress of a stream is an event`(): List<DynamicTest> =
        tests(
            listOf(
                Case(
                    "comments in place of the first event",
                    "/resumable/x",
                    listOf(endless(": x\n\n", pauseMillis = 20), whole),
                    "200",
                    event(1) + event(2),
                    withinMillis = 400,
                ),
                Case(
                    "a byte now and then in place of the first event",
                    "/resumable/x",
                    listOf(endless("x", pauseMillis = 20), whole),
                    "200",
                    event(1) + event(2),
                    withinMillis = 400,
                ),
                Case(
                    "a byte now and then after the first event",
                    "/resumable/x",
                    listOf(
                        MadeAnswer(200) { number ->
                            delay(20)
                            BodyPart.Bytes((if (number == 0) event(1) else ":").toByteArray())
                        },
                        slow(event(2), pauseMillis = 1),
                    ),
                    "200",
                    event(1) + event(2),
                    withinMillis = 1_200,
                ),
                Case(
                    "slow and sound",
                    "/resumable/x",
                    listOf(slow(event(1), "id: 2\n", "data: x\n\n", pauseMillis = 140)),
                    "200",
                    event(1) + event(2),
                ),
                Case(
                    "slow and sound",
                    "/stream/x",
                    listOf(slow(event(1), event(2), pauseMillis = 900)),
                    "200",
                    event(1) + event(2),
                    withinMillis = 2_800,
                ),
                Case(
                    "comments between events",
                    "/stream/x",
                    listOf(slow(": a\n\n", event(1), ": b\n\n${event(2)}", pauseMillis = 1)),
                    "200",
                    ": a\n\n${event(1)}: b\n\n${event(2)}",
                ),
            ),
        )
}
