/*
 * The one thread that owns the control state of a process.
 */
package org.primrosesill.concurrent

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Runs code on the control thread. Every read and write of control state goes through [run]. */
public class ControlThread : AutoCloseable {
    private val executor =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "control").apply { isDaemon = true }
        }
    private val closeable = executor.asCoroutineDispatcher()

    /** Runs coroutines on the control thread. */
    public val dispatcher: CoroutineDispatcher = closeable

    /** Runs [block] on the control thread and returns its result. [block] must not wait for anything. */
    public suspend fun <T> run(block: () -> T): T = withContext(dispatcher) { block() }

    override fun close(): Unit = closeable.close()
}

/** Starts [action] every [interval], counted from start to start, until the scope ends. A slow action delays the next. */
public fun CoroutineScope.launchEvery(interval: Duration, action: suspend () -> Unit): Job =
    launch {
        while (isActive) {
            val start = TimeSource.Monotonic.markNow()
            action()
            delay(interval - start.elapsedNow())
        }
    }
