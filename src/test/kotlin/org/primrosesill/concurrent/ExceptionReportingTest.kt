/*
 * Reporting of uncaught exceptions, and restart of loops after them.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class ExceptionReportingTest {
    private val faults = RecordingExceptionReporter()

    private fun TestScope.controlScope() =
        CoroutineScope(SupervisorJob() + StandardTestDispatcher(testScheduler) + exceptionHandler(faults))

    // Guards against an uncaught exception that is printed as a stack trace among the JSON lines of the log, and
    // against one that cancels other coroutines.
    @Test
    fun `an uncaught exception is reported and cancels no other coroutine`() =
        runTest {
            val scope = controlScope()
            var ran = false
            scope.launch { error("first") }
            scope.launch { ran = true }
            advanceTimeBy(1)
            expectThat(faults.messages).containsExactly("first")
            expectThat(ran).isEqualTo(true)
        }

    // Guards against a loop of the control thread that a single bad input ends permanently.
    @Test
    fun `a loop restarts after an exception`() =
        runTest {
            var starts = 0
            val job =
                controlScope().launchWithRestart(faults) {
                    starts++
                    if (starts < 3) error("fault $starts")
                    awaitCancellation()
                }
            advanceTimeBy(10_000)
            expectThat(starts).isEqualTo(3)
            expectThat(faults.messages).containsExactly("fault 1", "fault 2")
            job.cancelAndJoin()
            advanceTimeBy(10_000)
            expectThat(starts).describedAs("starts after cancellation").isEqualTo(3)
        }

    private class FailureCase(val name: String, val failure: () -> Throwable)

    // Guards against a loop that an error has ended, while its process goes on and says that it is ready (issue 55, review/6),
    // and against one that ends by the cancellation of something else.
    @TestFactory
    fun `a loop restarts after any failure`(): List<DynamicTest> =
        listOf(
            FailureCase("an exception") { IllegalStateException("fault") },
            FailureCase("an exhausted memory") { OutOfMemoryError("fault") },
            FailureCase("an exhausted stack") { StackOverflowError("fault") },
            FailureCase("a failed assertion") { AssertionError("fault") },
            FailureCase("a cancellation of something else") { CancellationException("fault") },
        ).flatMap { case ->
            listOf<Pair<String, CoroutineScope.(ExceptionReporter, suspend () -> Unit) -> Job>>(
                "a loop" to { reporter, loop -> launchWithRestart(reporter, loop) },
                "a periodic action" to { reporter, action -> launchEvery(1.seconds, reporter, action) },
            ).map { (name, launchLoop) ->
                dynamicTest("$name, ${case.name}") {
                    runTest {
                        var starts = 0
                        val job =
                            controlScope().launchLoop(faults) {
                                if (++starts < 3) throw case.failure()
                                awaitCancellation()
                            }
                        advanceTimeBy(10_000)
                        expectThat(starts).isEqualTo(3)
                        expectThat(faults.messages.takeLast(2)).containsExactly("fault", "fault")
                        job.cancelAndJoin()
                        advanceTimeBy(10_000)
                        expectThat(starts).describedAs("starts after cancellation").isEqualTo(3)
                    }
                }
            }
        }

    // Guards against a loop that ends because the report of its failure needs memory too.
    @Test
    fun `a loop restarts when its failure cannot be reported`() =
        runTest {
            var starts = 0
            val job =
                controlScope().launchWithRestart({ throw OutOfMemoryError("report") }) {
                    if (++starts < 3) throw OutOfMemoryError("loop")
                    awaitCancellation()
                }
            advanceTimeBy(10_000)
            expectThat(starts).isEqualTo(3)
            job.cancelAndJoin()
        }

    // Guards against a log line that does not show where the exception was thrown.
    @Test
    fun `a description contains the type, the message and the stack frame`() {
        val description = describeException(IllegalStateException("no view"))
        expectThat(description).contains("IllegalStateException: no view at ")
        expectThat(description).contains("ExceptionReportingTest")
    }
}
