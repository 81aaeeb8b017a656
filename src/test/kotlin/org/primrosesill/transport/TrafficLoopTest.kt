/*
 * The end of the thread that moves all traffic of a process.
 */
package org.primrosesill.transport

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.ExceptionReporter
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class TrafficLoopTest {
    private class Case(val name: String, val isReported: Boolean, val end: (TrafficLoop) -> Unit)

    // Guards against a process that goes on without the thread that moves its traffic (issue 55, review/6).
    @TestFactory
    fun `the end of the thread is reported unless the loop was closed`(): List<DynamicTest> =
        listOf(
            Case("ended by itself", isReported = true) { it.eventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS) },
            Case("closed", isReported = false, TrafficLoop::close),
        ).map { case ->
            dynamicTest(case.name) {
                val ended = CountDownLatch(1)
                val loop = TrafficLoop(ExceptionReporter {}, ended::countDown)
                case.end(loop)
                expectThat(loop.eventLoop.awaitTermination(5, TimeUnit.SECONDS)).isEqualTo(true)
                expectThat(ended.await(200, TimeUnit.MILLISECONDS)).isEqualTo(case.isReported)
            }
        }
}
