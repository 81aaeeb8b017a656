/*
 * Responses without end, or that arrive a few bytes at a time: what the caller receives, and how much is buffered.
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
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** A response whose body parts are generated when they are read; [part] receives the index of the part. */
private class GeneratedResponse(val status: Int, val part: suspend (Int) -> BodyPart)

private class GeneratedResponseClient(responses: List<GeneratedResponse>) : UpstreamClient {
    private val remaining = ArrayDeque(responses)
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        calls++
        val response = remaining.removeFirst()
        var index = 0
        val headers = headerFieldsOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1")
        val body = UpstreamBody { response.part(index++) }
        return ExchangeResult.Responded(use(UpstreamResponse(response.status, headers, body = body)))
    }
}

/** A response without end that sends [text] every [intervalMillis]. */
private fun endlessResponse(text: String, intervalMillis: Long = 1, status: Int = 200) =
    GeneratedResponse(status) {
        delay(intervalMillis)
        BodyPart.Bytes(text.toByteArray())
    }

/** A response that sends [parts] at intervals of [intervalMillis], and ends. */
private fun pacedResponse(vararg parts: String, intervalMillis: Long) =
    GeneratedResponse(200) { index ->
        delay(intervalMillis)
        parts.getOrNull(index)?.let { BodyPart.Bytes(it.toByteArray()) } ?: BodyPart.End
    }

private fun event(id: Int) = "id: $id\ndata: x\n\n"

private val completeStream = pacedResponse(event(1), event(2), intervalMillis = 1)
private val okResponse = pacedResponse("ok", intervalMillis = 1)
private val kilobyte = "x".repeat(1_024)

/**
 * The first 256 KB arrive within 256 ms of virtual time. The timeout of 2 s is measured on the real clock, which hardly
 * advances meanwhile, so that it adds to these 256 ms.
 */
private const val DEADLINE_MILLIS = 2_300L

class UnboundedResponseTest {
    private class Case(
        val name: String,
        val target: String,
        val responses: List<GeneratedResponse>,
        val result: String,
        val body: String? = null,
        val withinMillis: Long = 2_000,
    )

    private fun tests(cases: List<Case>): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.target}, ${case.name}") {
                runTest {
                    val client = GeneratedResponseClient(case.responses)
                    val response = ForwardingFixture(client).send(case.target)
                    expectThat(response.result).isEqualTo(case.result)
                    expectThat(client.calls).describedAs("attempts").isEqualTo(case.responses.size)
                    case.body?.let { expectThat(response.body.toString()).isEqualTo(it) }
                    expectThat(currentTime).describedAs("virtual milliseconds").isLessThanOrEqualTo(case.withinMillis)
                }
            }
        }

    // Guards against a response without end that exhausts the memory of the process, and against a long but finite
    // response that is not forwarded.
    @TestFactory
    fun `responses without end are not buffered`(): List<DynamicTest> =
        tests(
            listOf(
                Case(
                    "a body without end",
                    "/safe/x",
                    listOf(endlessResponse(kilobyte)),
                    "200 aborted",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case(
                    "a body without end",
                    "/unsafe/x",
                    listOf(endlessResponse(kilobyte)),
                    "200 aborted",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case(
                    "an error response without end",
                    "/safe/x",
                    listOf(endlessResponse(kilobyte, status = 500), okResponse),
                    "200",
                    "ok",
                ),
                Case(
                    "an error response without end",
                    "/unsafe/x",
                    listOf(endlessResponse(kilobyte, status = 500)),
                    "500 aborted",
                    withinMillis = DEADLINE_MILLIS,
                ),
                Case(
                    "a long body",
                    "/safe/x",
                    listOf(pacedResponse(*Array(600) { kilobyte }, intervalMillis = 1)),
                    "200",
                    kilobyte.repeat(600),
                ),
                Case("a line without end", "/stream/x", listOf(endlessResponse(kilobyte)), "502", withinMillis = 600),
                Case(
                    "a line without end, then another upstream",
                    "/resumable/x",
                    listOf(endlessResponse(kilobyte.repeat(10)), completeStream),
                    "200",
                    event(1) + event(2),
                    withinMillis = 200,
                ),
                Case(
                    "lines without end",
                    "/stream/x",
                    listOf(endlessResponse("data: $kilobyte\n")),
                    "502",
                    withinMillis = 600,
                ),
                Case(
                    "comments without end",
                    "/stream/x",
                    listOf(endlessResponse(": $kilobyte\n\n")),
                    "502",
                    withinMillis = 600,
                ),
            ),
        )

    // Guards against a stalled stream that single bytes keep open, and against a slow stream that is aborted.
    @TestFactory
    fun `only complete events count as progress of a stream`(): List<DynamicTest> =
        tests(
            listOf(
                Case(
                    "comments instead of the first event",
                    "/resumable/x",
                    listOf(endlessResponse(": x\n\n", intervalMillis = 20), completeStream),
                    "200",
                    event(1) + event(2),
                    withinMillis = 400,
                ),
                Case(
                    "single bytes instead of the first event",
                    "/resumable/x",
                    listOf(endlessResponse("x", intervalMillis = 20), completeStream),
                    "200",
                    event(1) + event(2),
                    withinMillis = 400,
                ),
                Case(
                    "single bytes after the first event",
                    "/resumable/x",
                    listOf(
                        GeneratedResponse(200) { index ->
                            delay(20)
                            BodyPart.Bytes((if (index == 0) event(1) else ":").toByteArray())
                        },
                        pacedResponse(event(2), intervalMillis = 1),
                    ),
                    "200",
                    event(1) + event(2),
                    withinMillis = 1_200,
                ),
                Case(
                    "slow and complete",
                    "/resumable/x",
                    listOf(pacedResponse(event(1), "id: 2\n", "data: x\n\n", intervalMillis = 140)),
                    "200",
                    event(1) + event(2),
                ),
                Case(
                    "slow and complete",
                    "/stream/x",
                    listOf(pacedResponse(event(1), event(2), intervalMillis = 900)),
                    "200",
                    event(1) + event(2),
                    withinMillis = 2_800,
                ),
                Case(
                    "comments between events",
                    "/stream/x",
                    listOf(pacedResponse(": a\n\n", event(1), ": b\n\n${event(2)}", intervalMillis = 1)),
                    "200",
                    ": a\n\n${event(1)}: b\n\n${event(2)}",
                ),
            ),
        )
}
