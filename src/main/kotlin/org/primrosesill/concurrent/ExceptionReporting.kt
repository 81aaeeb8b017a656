/*
 * Handling of uncaught exceptions and errors: one ends only the coroutine in which it is thrown, and is reported. Loops that a
 * process needs as long as it runs are restarted after it.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Reports uncaught exceptions. Called on the thread on which the exception was thrown. */
public fun interface ExceptionReporter {
    public fun report(exception: Throwable)
}

/** Returns a handler that passes uncaught exceptions of coroutines to [reporter]. */
public fun exceptionHandler(reporter: ExceptionReporter): CoroutineExceptionHandler =
    CoroutineExceptionHandler { _, exception -> reporter.report(exception) }

/**
 * Returns a description of [error] in one line: its type, its message, and the first stack frame in this project's
 * code, or else the first of all.
 */
public fun describeException(error: Throwable): String =
    "$error at ${error.stackTrace.firstOrNull { it.className.startsWith(PACKAGE) } ?: error.stackTrace.firstOrNull()}"

/**
 * Runs [loop], and restarts it after any failure, errors such as an exhausted memory included: a process whose loop has ended
 * would go on with what it knew then. It is not restarted after it returns or its scope is cancelled.
 */
public fun CoroutineScope.launchWithRestart(reporter: ExceptionReporter, loop: suspend () -> Unit): Job =
    launch {
        while (isActive) {
            try {
                coroutineScope { loop() }
                return@launch
            } catch (
                @Suppress("TooGenericExceptionCaught") failure: Throwable,
            ) {
                // A cancellation that is not that of this loop is a failure like any other.
                ensureActive()
                reporter.reportIfPossible(failure)
                delay(RESTART_DELAY)
            }
        }
    }

/** Reports [failure], unless the failure itself, such as an exhausted memory, prevents that: its loop has to restart. */
public fun ExceptionReporter.reportIfPossible(failure: Throwable) {
    try {
        report(failure)
    } catch (_: VirtualMachineError) {
        // A lack of memory or stack leaves nothing to report it with.
    }
}

private const val PACKAGE = "org.primrosesill"
private val RESTART_DELAY = 200.milliseconds
