/*
 * Bounded fetches from servers whose responses are slow or never end.
 */
package org.primrosesill.request

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.HeaderFields
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

/** Returns a response with [body] for each call. */
private class FixedBodyClient(private val body: UpstreamBody) : UpstreamClient {
    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> =
        ExchangeResult.Responded(use(UpstreamResponse(200, HeaderFields(), body = body)))
}

class BoundedFetchTest {
    private class Case(
        val name: String,
        val parts: Int,
        val gapMillis: Long,
        val isTerminated: Boolean,
        val isComplete: Boolean,
    )

    // Guards against a fetch that waits forever for the rest of a response, and against the rejection of a slow but
    // complete response.
    @TestFactory
    fun `a fetch completes or fails within its total timeout`(): List<DynamicTest> =
        listOf(
            Case("complete without delay", parts = 3, gapMillis = 0, isTerminated = true, isComplete = true),
            Case("slow but complete", parts = 5, gapMillis = 500, isTerminated = true, isComplete = true),
            Case("stalled after the response head", parts = 0, gapMillis = 0, isTerminated = false, isComplete = false),
            Case("stalled within the body", parts = 3, gapMillis = 100, isTerminated = false, isComplete = false),
            Case("a slow trickle of bytes", parts = 1_000, gapMillis = 500, isTerminated = true, isComplete = false),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    var sentParts = 0
                    val body =
                        UpstreamBody {
                            if (sentParts == case.parts) {
                                if (case.isTerminated) BodyPart.End else awaitCancellation()
                            } else {
                                delay(case.gapMillis)
                                sentParts++
                                BodyPart.Bytes(ByteArray(1))
                            }
                        }
                    val limits =
                        FetchLimits(
                            readTimeout = 1.seconds,
                            totalTimeout = 3.seconds,
                            maximumIdle = 1.seconds,
                            10_000,
                        )
                    val result = FixedBodyClient(body).fetch("10.0.0.1:80", "/", limits)
                    expectThat(result.isRight()).describedAs("complete").isEqualTo(case.isComplete)
                    expectThat(currentTime).isLessThanOrEqualTo(3_000)
                }
            }
        }
}
