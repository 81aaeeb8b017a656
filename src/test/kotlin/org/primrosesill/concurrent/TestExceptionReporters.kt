/*
 * Implementations of ExceptionReporter for tests.
 */
package org.primrosesill.concurrent

import java.util.concurrent.CopyOnWriteArrayList

/**
 * Rethrows exceptions, for tests that expect none: the coroutine test library then fails the next test that it runs.
 */
internal val throwingReporter = ExceptionReporter { throw it }

/** Records the messages of exceptions, for tests that cause them. */
internal class RecordingExceptionReporter : ExceptionReporter {
    val messages = CopyOnWriteArrayList<String>()

    override fun report(exception: Throwable) {
        messages += exception.message.orEmpty()
    }
}
