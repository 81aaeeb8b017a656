/*
 * Waits for an upstream that may have stalled. A wait over its limit ends only when the caller of this code can do better than
 * to wait on: an attempt that is given up without a next one is lost, although its upstream may be sound and slow.
 *
 * Load pattern: upstreams that hang or become unreachable without closing their connections while others would respond at once,
 * and sound ones that pause for longer than the limit.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration

/**
 * The limit of one wait.
 *
 * @property limit time after which the wait may be given up
 * @property giveUp acquires what is needed to continue without the wait and returns whether it succeeded. It is called again
 *     every [MOVE_CHECK_INTERVAL] while it fails, as a place at another upstream or a retry may become free at any time.
 */
internal class StallLimit(val limit: Duration, val giveUp: () -> Boolean)

/** Measures a wait against its [limit], and calls [onGivenUp] when it is given up. Confined to one thread. */
internal class StallTimer(
    private val scope: CoroutineScope,
    private val limit: StallLimit,
    private val onGivenUp: () -> Unit,
) {
    private var job: Job? = null

    /** Starts to measure the wait. */
    fun start() {
        job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                delay(limit.limit)
                while (!limit.giveUp()) delay(MOVE_CHECK_INTERVAL)
                onGivenUp()
            }
    }

    /** Ends the measurement: what was awaited has arrived. */
    fun stop() {
        job?.cancel()
    }
}

/**
 * Returns the result of [wait], or null if it was given up at its [limit]. The wait is measured from its beginning if
 * [measuresAtOnce], or else from when it starts the timer.
 */
internal suspend fun <T : Any> awaitUnlessStalled(
    limit: StallLimit,
    measuresAtOnce: Boolean,
    wait: suspend (StallTimer) -> T,
): T? =
    coroutineScope {
        lateinit var waiting: Deferred<T>
        var isGivenUp = false
        val timer =
            StallTimer(this, limit) {
                isGivenUp = true
                waiting.cancel()
            }
        waiting = async(start = CoroutineStart.UNDISPATCHED) { wait(timer) }
        if (measuresAtOnce && !waiting.isCompleted) timer.start()
        try {
            waiting.await()
        } catch (exception: CancellationException) {
            ensureActive()
            if (!isGivenUp) throw exception
            null
        } finally {
            timer.stop()
        }
    }
