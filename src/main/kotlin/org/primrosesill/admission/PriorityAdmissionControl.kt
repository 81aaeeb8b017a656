/*
 * Admission control of one router: an adaptive limit of concurrent requests that follows the latency, with a lower
 * limit for lower priorities.
 *
 * The limit grows while requests reach it and their duration is close to the baseline, which is the lowest mean duration
 * measured. It shrinks in proportion when requests take longer, because then they wait in a queue upstream. A request
 * of a low priority is admitted only up to a fraction of the limit, which leaves capacity for higher priorities without
 * queueing any request in the router.
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
 * @property maximumInFlight upper bound of the limit
 * @property minimumInFlight lower bound of the limit, so that enough requests run to detect a recovery
 * @property requestsPerWindow requests whose mean duration is compared with the baseline
 * @property windowsBetweenProbes windows after which the baseline is measured again with half the limit. Without that
 *     probe, a lasting queue would become the new baseline and the limit would grow without bound.
 * @property tolerance durations up to this multiple of the baseline do not count as queueing
 * @property lowestPriorityFraction fraction of the limit up to which priority 9 is admitted; the fractions of the other
 *     priorities are spaced evenly between it and the full limit
 */
public data class AdmissionSettings(
    val maximumInFlight: Int = 2_000,
    val minimumInFlight: Int = 16,
    val initialInFlight: Int = 200,
    val requestsPerWindow: Int = 100,
    val windowsBetweenProbes: Int = 50,
    val tolerance: Double = 2.0,
    val lowestPriorityFraction: Double = 0.7,
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
        val fractionPerPriority = (1 - settings.lowestPriorityFraction) / LOWEST_PRIORITY
        val fraction = 1 - fractionPerPriority * priority.coerceIn(0, LOWEST_PRIORITY)
        synchronized(this) {
            if (inFlight + 1 > limit.value * fraction) {
                limit.recordRejection()
                return Failure.Overloaded(priority, settings.retryAfter).left()
            }
            inFlight++
        }
        val startedNanos = nanoTime()
        val released = AtomicBoolean()
        return AdmissionPermit { if (released.compareAndSet(false, true)) complete(startedNanos) }.right()
    }

    private fun complete(startedNanos: Long) {
        val durationNanos = nanoTime() - startedNanos
        synchronized(this) {
            inFlight--
            limit.recordDuration(durationNanos)
        }
    }
}

/** The adaptive limit of concurrent requests. Not thread-safe; the owner holds its lock during each call. */
private class AdaptiveLimit(private val settings: AdmissionSettings) {
    var value: Double = settings.initialInFlight.toDouble()
        private set
    private var hasRejected = false
    private var finishedRequests = 0
    private var totalDurationNanos = 0.0
    private var baselineNanos = Double.MAX_VALUE
    private var windowsSinceProbe = 0
    private var limitBeforeProbe = 0.0

    /** Records that a request was rejected at the limit. Without a rejection in a window, the limit does not grow. */
    fun recordRejection() {
        hasRejected = true
    }

    fun recordDuration(durationNanos: Long) {
        totalDurationNanos += durationNanos
        if (++finishedRequests >= settings.requestsPerWindow) endWindow()
    }

    private fun endWindow() {
        val meanNanos = maxOf(totalDurationNanos / finishedRequests, 1.0)
        windowsSinceProbe++
        when (windowsSinceProbe) {
            settings.windowsBetweenProbes -> startProbe()
            // The first window of a probe still contains requests that were queued before it.
            settings.windowsBetweenProbes + 1 -> baselineNanos = minOf(baselineNanos, meanNanos)
            settings.windowsBetweenProbes + 2 -> endProbe(meanNanos)
            else -> adapt(meanNanos)
        }
        value = value.coerceIn(settings.minimumInFlight.toDouble(), settings.maximumInFlight.toDouble())
        hasRejected = false
        finishedRequests = 0
        totalDurationNanos = 0.0
    }

    private fun adapt(meanNanos: Double) {
        baselineNanos = minOf(baselineNanos, meanNanos)
        val gradient = (settings.tolerance * baselineNanos / meanNanos).coerceIn(0.5, 1.0)
        value = if (gradient < 1) value * gradient else value + if (hasRejected) sqrt(value) else 0.0
    }

    private fun startProbe() {
        limitBeforeProbe = value
        value /= 2
    }

    private fun endProbe(meanNanos: Double) {
        baselineNanos = meanNanos
        value = limitBeforeProbe
        windowsSinceProbe = 0
    }
}
