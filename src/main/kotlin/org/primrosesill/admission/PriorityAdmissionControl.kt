/*
 * Overload control of one router: a limit of requests in flight that follows the latency, shared out by priority.
 *
 * The limit grows while it is used and requests take about as long as at their best, and shrinks in proportion when
 * they take longer, because then they wait in a queue upstream. A request of a low priority may use a part of the limit
 * only, so that room is left for higher ones without holding back any request.
 */
package org.primrosesill.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.primrosesill.model.Failure
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [priorityAdmissionControl].
 *
 * @property maximumInFlight the limit never exceeds it
 * @property minimumInFlight the limit never falls below it, so that recovery can be seen
 * @property windowRequests requests whose mean duration is compared with the best one
 * @property baselineWindows windows after which the best duration is measured again with half the limit. Without that
 *     probe, a queue that lasts would become the new best duration and the limit would grow without end.
 * @property tolerance durations up to this multiple of the best are not taken for a queue
 * @property lowestShare part of the limit that priority 9 may use; the parts of the others lie evenly above it
 */
public data class AdmissionSettings(
    val maximumInFlight: Int = 2_000,
    val minimumInFlight: Int = 16,
    val initialInFlight: Int = 200,
    val windowRequests: Int = 100,
    val baselineWindows: Int = 50,
    val tolerance: Double = 2.0,
    val lowestShare: Double = 0.7,
    val retryAfter: Duration = 1.seconds,
)

/** Returns an admission control that reads the time in nanoseconds from [nanoTime]. */
public fun priorityAdmissionControl(
    settings: AdmissionSettings = AdmissionSettings(),
    nanoTime: () -> Long = System::nanoTime,
): AdmissionControl = PriorityAdmissionControl(settings, nanoTime)

private const val LOWEST_PRIORITY = 9

private class PriorityAdmissionControl(private val settings: AdmissionSettings, private val nanoTime: () -> Long) :
    AdmissionControl {
    private val limit = AdaptiveLimit(settings)
    private var inFlight = 0

    override fun admit(priority: Int): Either<Failure, AdmissionPermit> {
        val step = (1 - settings.lowestShare) / LOWEST_PRIORITY
        val share = 1 - step * priority.coerceIn(0, LOWEST_PRIORITY)
        synchronized(this) {
            if (inFlight + 1 > limit.value * share) {
                limit.reached()
                return Failure.Overloaded(priority, settings.retryAfter).left()
            }
            inFlight++
        }
        val startedNanos = nanoTime()
        val released = AtomicBoolean()
        return AdmissionPermit { if (released.compareAndSet(false, true)) finish(startedNanos) }.right()
    }

    private fun finish(startedNanos: Long) {
        val durationNanos = nanoTime() - startedNanos
        synchronized(this) {
            inFlight--
            limit.finished(durationNanos)
        }
    }
}

/** The limit of requests in flight. Guarded by its owner. */
private class AdaptiveLimit(private val settings: AdmissionSettings) {
    var value: Double = settings.initialInFlight.toDouble()
        private set
    private var used = false
    private var finished = 0
    private var totalNanos = 0.0
    private var best = Double.MAX_VALUE
    private var windows = 0
    private var beforeProbe = 0.0

    /** Records that the limit refused a request, without which it has no reason to grow. */
    fun reached() {
        used = true
    }

    fun finished(durationNanos: Long) {
        totalNanos += durationNanos
        if (++finished >= settings.windowRequests) endWindow()
    }

    private fun endWindow() {
        val mean = maxOf(totalNanos / finished, 1.0)
        windows++
        when (windows) {
            settings.baselineWindows -> startProbe()
            // The first window of a probe still holds requests that waited before it.
            settings.baselineWindows + 1 -> best = minOf(best, mean)
            settings.baselineWindows + 2 -> endProbe(mean)
            else -> adapt(mean)
        }
        value = value.coerceIn(settings.minimumInFlight.toDouble(), settings.maximumInFlight.toDouble())
        used = false
        finished = 0
        totalNanos = 0.0
    }

    private fun adapt(mean: Double) {
        best = minOf(best, mean)
        val gradient = (settings.tolerance * best / mean).coerceIn(0.5, 1.0)
        value = if (gradient < 1) value * gradient else value + if (used) sqrt(value) else 0.0
    }

    private fun startProbe() {
        beforeProbe = value
        value /= 2
    }

    private fun endProbe(mean: Double) {
        best = mean
        value = beforeProbe
        windows = 0
    }
}
