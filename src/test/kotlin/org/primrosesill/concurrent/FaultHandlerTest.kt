/*
 * What becomes of exceptions that no code expects.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class FaultHandlerTest {
    private val faults = CollectedFaults()

    private fun TestScope.controlScope() =
        CoroutineScope(SupervisorJob() + StandardTestDispatcher(testScheduler) + faultHandler(faults))

    // Guards against a fault that is printed as a stack trace among the JSON lines, and against one that ends other work.
    @Test
    fun `a fault is reported and ends no other work`() =
        runTest {
            val scope = controlScope()
            var ran = false
            scope.launch { error("first") }
            scope.launch { ran = true }
            advanceTimeBy(1)
            expectThat(faults.messages).containsExactly("first")
            expectThat(ran).isEqualTo(true)
        }

    // Guards against a loop of the control thread that is gone for good after one bad input.
    @Test
    fun `a loop starts again after a fault`() =
        runTest {
            var starts = 0
            val job =
                controlScope().launchRestarting(faults) {
                    starts++
                    if (starts < 3) error("fault $starts")
                    awaitCancellation()
                }
            advanceTimeBy(10_000)
            expectThat(starts).isEqualTo(3)
            expectThat(faults.messages).containsExactly("fault 1", "fault 2")
            job.cancelAndJoin()
            advanceTimeBy(10_000)
            expectThat(starts).describedAs("starts after the end").isEqualTo(3)
        }

    // Guards against a line from which nobody can tell where the fault is.
    @Test
    fun `a description names the type, the message and the place`() {
        val text = describeFault(IllegalStateException("no view"))
        expectThat(text).contains("IllegalStateException: no view at ")
        expectThat(text).contains("FaultHandlerTest")
    }
}
