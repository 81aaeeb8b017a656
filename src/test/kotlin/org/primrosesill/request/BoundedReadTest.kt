/*
 * Calls to the platform, engines and peers whose answers do not end.
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

/** Answers each call with [body]. */
private class OneAnswer(private val body: UpstreamBody) : UpstreamClient {
    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> =
        ExchangeResult.Answered(use(UpstreamAnswer(200, HeaderFields(), body = body)))
}

class BoundedReadTest {
    private class Case(val name: String, val parts: Int, val gapMillis: Long, val ends: Boolean, val isWhole: Boolean)

    // Guards against a loop that waits for ever for the rest of an answer, and against a slow answer that is cut.
    @TestFactory
    fun `a read ends in time`(): List<DynamicTest> =
        listOf(
            Case("whole at once", parts = 3, gapMillis = 0, ends = true, isWhole = true),
            Case("slow but whole", parts = 5, gapMillis = 500, ends = true, isWhole = true),
            Case("silent after its head", parts = 0, gapMillis = 0, ends = false, isWhole = false),
            Case("silent in the middle", parts = 3, gapMillis = 100, ends = false, isWhole = false),
            Case("a byte now and then", parts = 1_000, gapMillis = 500, ends = true, isWhole = false),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    var sent = 0
                    val body =
                        UpstreamBody {
                            if (sent == case.parts) {
                                if (case.ends) BodyPart.End else awaitCancellation()
                            } else {
                                delay(case.gapMillis)
                                sent++
                                BodyPart.Bytes(ByteArray(1))
                            }
                        }
                    val bounds = ReadBounds(timeout = 1.seconds, total = 3.seconds, maximumIdle = 1.seconds, 10_000)
                    val result = OneAnswer(body).read("10.0.0.1:80", "/", bounds)
                    expectThat(result.isRight()).describedAs("whole").isEqualTo(case.isWhole)
                    expectThat(currentTime).isLessThanOrEqualTo(3_000)
                }
            }
        }
}
