/*
 * Measures the speed of the upstream of one stream: the time to the first event of the prompt, and the time between the events
 * in consecutive parts of the stream, so that an upstream that becomes slow is noticed before its streams end.
 */
package org.primrosesill.forwarding

import org.primrosesill.load.ReportedLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param report the load that the upstream reported with the head of this response, or null
 */
internal class StreamSpeedMeasurement(
    private val dependencies: ForwarderDependencies,
    private val context: RequestContext,
    private val attempt: AttemptInProgress,
    report: ReportedLoad?,
) {
    private val upstream = attempt.upstream.id
    private val hadQueue = (report?.waiting ?: 0) > MAXIMUM_WAITING
    private var measuresIntervals = report?.slowness == null
    private var eventCount = 0

    /** Time until the deadline of the request at the start of the part that is being measured. */
    private var partStartedWith: Duration? = null

    /** Records the arrival of the first events, [startupTime] after the start of the attempt. */
    fun recordFirstEvents(startupTime: Duration) {
        if (!hadQueue) dependencies.speeds.recordPrefill(context.pool, upstream, attempt.prefillTokens, startupTime)
        partStartedWith = context.timeLeft()
    }

    /** Records the arrival of [count] events. */
    fun recordEvents(count: Int) {
        eventCount += count
        recordPart(PART_DURATION)
    }

    /** Records that writing events to the caller took [duration]. Events that arrive meanwhile are received too late. */
    fun recordWritten(duration: Duration) {
        if (duration > MAXIMUM_WRITE_DURATION) measuresIntervals = false
    }

    fun recordEnd() = recordPart(MINIMUM_LAST_PART)

    private fun recordPart(minimum: Duration) {
        val start = partStartedWith ?: return
        val timeLeft = context.timeLeft()
        val duration = start - timeLeft
        if (!measuresIntervals || eventCount == 0 || duration < minimum) return
        dependencies.speeds.recordEventInterval(context.pool, upstream, duration / eventCount)
        partStartedWith = timeLeft
        eventCount = 0
    }

    private companion object {
        /** An upstream with more waiting requests delays the first event by more than the prefill of the prompt. */
        const val MAXIMUM_WAITING = 1

        /** Several intervals of batched reads, and short enough that a slow upstream is noticed within a second. */
        val PART_DURATION = 150.milliseconds
        val MINIMUM_LAST_PART = 50.milliseconds
        val MAXIMUM_WRITE_DURATION = 20.milliseconds
    }
}
