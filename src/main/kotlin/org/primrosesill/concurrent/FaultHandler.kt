/*
 * What happens to a fault that no code expects: it ends the piece of work in which it occurs, and is reported.
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

/** Takes the exceptions that no code expects. Called on the thread on which the work ran. */
public fun interface FaultReport {
    public fun report(fault: Throwable)
}

/** Returns a handler that passes uncaught exceptions of coroutines to [report]. */
public fun faultHandler(report: FaultReport): CoroutineExceptionHandler =
    CoroutineExceptionHandler { _, fault -> report.report(fault) }

/** Returns one line on [fault]: its type, its message, and where it was thrown. */
public fun describeFault(fault: Throwable): String =
    "$fault at ${fault.stackTrace.firstOrNull { it.className.startsWith(PACKAGE) } ?: fault.stackTrace.firstOrNull()}"

/** Runs [loop] and starts it again after a fault, so that one bad input does not end it for good. */
public fun CoroutineScope.launchRestarting(report: FaultReport, loop: suspend () -> Unit): Job =
    launch {
        while (isActive) {
            try {
                coroutineScope { loop() }
                return@launch
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (
                @Suppress("TooGenericExceptionCaught") fault: Exception,
            ) {
                report.report(fault)
                delay(RESTART_PAUSE)
            }
        }
    }

private const val PACKAGE = "org.primrosesill"
private val RESTART_PAUSE = 200.milliseconds
