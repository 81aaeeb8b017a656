/*
 * Callers that do not read their response.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.awaitCancellation
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
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A response without end that arrives at once. */
private class EndlessClient(private val text: String) : UpstreamClient {
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        calls++
        val headers = headerFieldsOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1")
        val body = UpstreamBody { BodyPart.Bytes(text.toByteArray()) }
        return ExchangeResult.Responded(use(UpstreamResponse(200, headers, body = body)))
    }
}

/** A response to a caller whose connection accepts no part of the body. */
private class UnreadResponse(private val recorded: RecordingResponse = RecordingResponse()) :
    OutboundResponse by recorded {
    val aborted: Boolean get() = recorded.aborted

    override suspend fun write(bytes: ByteArray) = awaitCancellation()
}

class SlowCallerTest {
    private class Case(val target: String, val text: String)

    // Guards against a response that occupies an upstream and the memory of the process after the deadline, because its
    // caller does not read.
    @TestFactory
    fun `a response that is not read is aborted at the deadline`(): List<DynamicTest> =
        listOf(
            Case("/safe/x", "x".repeat(100_000)),
            Case("/unsafe/x", "x".repeat(100_000)),
            Case("/stream/x", "data: x\n\n"),
            Case("/resumable/x", "data: x\n\n"),
        ).map { case ->
            dynamicTest(case.target) {
                runTest(timeout = 10.seconds) {
                    val client = EndlessClient(case.text)
                    val fixture = ForwardingFixture(client)
                    val response = UnreadResponse()
                    val fields =
                        headerFieldsOf(
                            "Host" to "h.example",
                            "X-Attempt-Id" to "r1",
                            "Authorization" to "Bearer $CREDENTIAL",
                        )
                    val arrivedAt = TimeSource.Monotonic.markNow()
                    fixture.handler.handle(
                        InboundRequest("POST", case.target, fields, ByteArray(0), arrivedAt),
                        response,
                    )
                    expectThat(response.aborted).describedAs("aborted").isEqualTo(true)
                    expectThat(client.calls).describedAs("attempts").isEqualTo(1)
                    expectThat(currentTime).describedAs("virtual milliseconds").isLessThanOrEqualTo(2_000)
                }
            }
        }
}
