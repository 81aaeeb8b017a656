/*
 * Handling of uncaught exceptions: an exception ends only the coroutine in which it is thrown, and is reported.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.coroutines.cancellation.CancellationException
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
 * Runs [loop], and restarts it after an exception, so that one bad input does not end it permanently. It is not
 * restarted after it returns.
 */
public fun CoroutineScope.launchWithRestart(reporter: ExceptionReporter, loop: suspend () -> Unit): Job =
    launch {
        while (isActive) {
            try {
                coroutineScope { loop() }
                return@launch
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (
                @Suppress("TooGenericExceptionCaught") exception: Exception,
            ) {
                reporter.report(exception)
                delay(RESTART_DELAY)
            }
        }
    }

private const val PACKAGE = "org.primrosesill"
private val RESTART_DELAY = 200.milliseconds
