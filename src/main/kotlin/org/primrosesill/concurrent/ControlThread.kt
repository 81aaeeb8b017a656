/*
 * The single thread to which the control state of a process is confined.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Runs code on the control thread. Control state is read and written only on this thread, through [run] or
 * [dispatcher].
 */
public class ControlThread : AutoCloseable {
    private val executor =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "control").apply { isDaemon = true }
        }
    private val executorDispatcher = executor.asCoroutineDispatcher()

    /** Runs coroutines on the control thread. */
    public val dispatcher: CoroutineDispatcher = executorDispatcher

    /** Runs [block] on the control thread and returns its result. [block] must not block the thread. */
    public suspend fun <T> run(block: () -> T): T = withContext(dispatcher) { block() }

    override fun close(): Unit = executorDispatcher.close()
}

/**
 * Runs [action] periodically until the scope is cancelled, also after a failure, which is passed to [reporter]. [interval] is
 * measured from start to start; an action that takes longer delays the next one.
 */
public fun CoroutineScope.launchEvery(
    interval: Duration,
    reporter: ExceptionReporter,
    action: suspend () -> Unit,
): Job =
    launchWithRestart(reporter) {
        while (true) {
            val startedAt = TimeSource.Monotonic.markNow()
            action()
            delay(interval - startedAt.elapsedNow())
        }
    }
