/*
 * Relays the response stream of an upstream to the caller. Only complete events are relayed, each of which follows the last
 * one, so that the stream can be resumed at another upstream.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.StreamEvent
import org.primrosesill.load.ReportedLoad
import org.primrosesill.request.UpstreamResponse
import kotlin.time.Duration.Companion.milliseconds

/**
 * The relay of one response.
 *
 * @param callerResponse has been started if the stream is resumed
 * @param report the load that the upstream reported with [response], or null
 */
internal class StreamRelay(
    private val dependencies: ForwarderDependencies,
    private val context: RequestContext,
    private val attempt: AttemptInProgress,
    private val response: UpstreamResponse,
    private val callerResponse: OutboundResponse,
    report: ReportedLoad?,
) {
    private val upstream = attempt.upstream
    private val reader = EventStreamReader(response.body, dependencies.buffers)
    private val resumed = callerResponse.started
    private val speed = StreamSpeedMeasurement(dependencies, context, attempt, report)
    private var eventCount = 0

    /** Time from the start of the attempt to the head of its response and, once there is one, to its first event. */
    private var startupTime = attempt.startedWith - context.timeLeft()

    suspend fun relay(): AttemptOutcome =
        try {
            relayParts()
        } finally {
            reader.release()
        }

    private suspend fun relayParts(): AttemptOutcome {
        while (true) {
            when (val part = nextPart()) {
                is StreamPart.Events -> relayEvents(part)?.let { return it }
                is StreamPart.Interrupted -> return interrupted(part)
                is StreamPart.End -> return end(part)
            }
        }
    }

    /**
     * Relays the events of [part]. Returns the outcome of the attempt if the stream cannot be continued: an event cannot
     * follow the last one, or the caller does not read.
     */
    private suspend fun relayEvents(part: StreamPart.Events): AttemptOutcome? {
        dependencies.activity.recordData(upstream.id)
        // Before the claim: an upstream that repeats events makes no progress.
        context.orderViolation(part.events.first())?.let { return interrupted(StreamPart.Interrupted(it)) }
        attempt.claim.acquire()
        if (eventCount == 0) {
            attempt.onPromptPrefilled()
            startupTime = attempt.startedWith - context.timeLeft()
            speed.recordFirstEvents(startupTime)
        } else {
            speed.recordEvents(part.events.size)
        }
        if (!callerResponse.started) {
            dependencies.metrics.responseStarted(context.pool, context.request.arrivedAt.elapsedNow())
        }
        startResponse()
        var interruption: StreamPart.Interrupted? = null
        val writtenFrom = context.timeLeft()
        withTimeoutOrNull(writtenFrom) { interruption = writeEvents(part.events) }
            ?: return AttemptOutcome.Cut("the caller did not read before the deadline", connectionLost = false)
        speed.recordWritten(writtenFrom - context.timeLeft())
        interruption?.let { return interrupted(it) }
        // The first event is forwarded at once, because the caller waits for it; later ones may be batched.
        response.body.allowBatching()
        return null
    }

    /** Writes [events] up to the first one that cannot follow the last, which interrupts the stream. */
    private suspend fun writeEvents(events: List<StreamEvent>): StreamPart.Interrupted? {
        for (event in events) {
            context.orderViolation(event)?.let { return StreamPart.Interrupted(it) }
            event.id?.let { context.lastEventId = it }
            eventCount++
            callerResponse.write(event.bytes)
        }
        return null
    }

    private suspend fun startResponse() {
        if (!callerResponse.started) callerResponse.start(dependencies.protocol.callerResponseHead(response))
    }

    private suspend fun end(part: StreamPart.End): AttemptOutcome {
        // Before the check for truncation, whose delay is none of the upstream.
        speed.recordEnd()
        truncationReason()?.let { return interrupted(StreamPart.Interrupted(it, response.closeDelimited)) }
        attempt.claim.acquire()
        startResponse()
        if (part.comments.isNotEmpty()) withTimeoutOrNull(context.timeLeft()) { callerResponse.write(part.comments) }
        callerResponse.finish()
        dependencies.activity.recordSuccess(upstream.id)
        return AttemptOutcome.Delivered(response.status, ResponseEnd(response.closeDelimited, eventCount))
    }

    /** Returns why a stream whose response has ended without an error is truncated nevertheless, or null if it is whole. */
    private suspend fun truncationReason(): String? {
        // An upstream that resumes a stream and adds nothing to it may not hold the rest of it.
        if (eventCount == 0 && (response.closeDelimited || resumed)) return "the response ended before its first event"
        if (!response.closeDelimited) return null
        delay(CRASH_EVIDENCE_DELAY)
        val crashed = dependencies.activity.seemsCrashed(upstream.id)
        return if (crashed) "the connection was closed together with others to the upstream" else null
    }

    private fun interrupted(part: StreamPart.Interrupted): AttemptOutcome {
        dependencies.activity.recordConnectionFailure(upstream.id)
        return if (callerResponse.started && !context.route.resumable) {
            AttemptOutcome.Cut(part.reason, part.connectionLost)
        } else {
            AttemptOutcome.Unknown(part.reason, part.connectionLost)
        }
    }

    /** Returns the next part. The wait for it is watched if another attempt may follow. */
    private suspend fun nextPart(): StreamPart {
        val limit = if (eventCount > 0) streamIdleTimeout(context.route) else responseTimeout(context.route)
        attempt.watch?.begin(UpstreamWait(limit, startupTime, reader::hasIncompleteData))
        return reader.next(context.timeLeft()).also { attempt.watch?.end() }
    }

    private companion object {
        /** Longer than the interval of batched reads, after which the end of every other connection has been noticed. */
        val CRASH_EVIDENCE_DELAY = 80.milliseconds
    }
}
