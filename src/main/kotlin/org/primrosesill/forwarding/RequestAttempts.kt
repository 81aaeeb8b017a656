/*
 * The attempts of one request. A next attempt begins when the previous one has failed, or beside it when its upstream has been
 * silent for too long. All attempts in flight remain open until one of them makes progress: it has the next event of the
 * stream, or a response. This one goes on alone, and the connections of the others are closed at once.
 *
 * Load patterns: upstreams that hang while others respond, so that waiting is in vain; sound upstreams that pause, while those
 * that are asked in their place are full, fail or pause as well, so that giving up is.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.primrosesill.model.Failure
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PlacementRequest
import org.primrosesill.placement.PlacementResult
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The parts of the forwarder that the attempts of all requests share. */
internal class AttemptComponents(val dependencies: ForwarderDependencies) {
    val admission = AttemptAdmission(dependencies)
    val execution = AttemptExecution(dependencies)
    val recorder = AttemptRecorder(dependencies)
}

/** Confined to the traffic thread. The attempts are cancelled with [scope]. */
internal class RequestAttempts(
    private val components: AttemptComponents,
    private val context: RequestContext,
    private val callerResponse: OutboundResponse,
    private val scope: CoroutineScope,
) {
    private val dependencies = components.dependencies
    private val recorder = components.recorder
    private val allowance =
        AttemptAllowance(context.route, context.pool, PoolRetries(), context::timeLeft, PoolUpstreams())
    private val fallback = FallbackResponse(callerResponse)

    /** The attempts in flight, the oldest first. */
    private val inFlight = ArrayList<RunningAttempt>()
    private val ended = Channel<EndedAttempt>(Channel.UNLIMITED)

    /**
     * Sends the request to one upstream after another until an attempt succeeds or no further one is allowed. Returns null when
     * the caller has received a complete response, or else the failure to report.
     */
    suspend fun run(): Failure? {
        while (true) {
            if (inFlight.isEmpty()) {
                when (val next = nextAttempt()) {
                    is NextAttempt.Allowed -> start(next.placement)
                    is NextAttempt.Denied -> return fallback.respondOr(next.failure)
                }
            }
            val attempt = ended.receive()
            when (val outcome = attempt.outcome) {
                is AttemptOutcome.Delivered -> return null
                is AttemptOutcome.Cut -> return Failure.AnswerCut(attempt.upstream, outcome.reason)
                is AttemptOutcome.Failed -> fallback.record(outcome)
                is AttemptOutcome.Unknown -> fallback.record(unknownOutcomeFailure(attempt.upstream, outcome))
                else -> Unit
            }
            // An upstream that is still silent need not wait for its next check.
            inFlight.lastOrNull()?.checkWait()
        }
    }

    private fun nextAttempt(): NextAttempt {
        val refusal = crashingPromptFailure() ?: if (allowance.isFirst) components.admission.refusal(context) else null
        return refusal?.let { NextAttempt.Denied(it) } ?: allowance.next()
    }

    private fun crashingPromptFailure(): Failure? =
        context.metadata.prompt
            ?.let(dependencies.crashingParts::blockedPart)
            ?.let { Failure.CrashingPrompt(it.id.value) }

    private suspend fun start(placement: PlacementResult.Chosen) {
        if (allowance.allowsConcurrentAttempt) {
            launch(placement)
        } else {
            execute(RunningAttempt(placement, isWatched = false))
        }
    }

    private fun launch(placement: PlacementResult.Chosen, isProbe: Boolean = false) {
        val attempt = RunningAttempt(placement, isWatched = true, isProbe)
        attempt.job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    execute(attempt)
                } catch (exception: CancellationException) {
                    // Nobody else reports an attempt that ends by a cancellation of its own.
                    if (isActive) ended.close(exception)
                    throw exception
                }
            }
    }

    private suspend fun execute(attempt: RunningAttempt) {
        inFlight += attempt
        recorder.recordRouted(context, attempt.placement)
        val outcome = components.execution.execute(context, attempt.placement, callerResponse, attempt.control)
        if (!inFlight.remove(attempt)) return
        record(attempt, outcome)
        ended.trySend(EndedAttempt(attempt.upstream, outcome))
    }

    private fun record(attempt: RunningAttempt, outcome: AttemptOutcome) {
        recorder.recordOutcome(context, attempt.upstream, outcome, attempt.startedAt.elapsedNow())
        allowance.record(attempt.upstream, outcome)
    }

    /** Begins another attempt beside [attempt], whose upstream has been silent for [waited], if it is worth its cost. */
    private fun beginBeside(attempt: RunningAttempt, wait: UpstreamWait, waited: Duration) {
        val isLatest = attempt === inFlight.lastOrNull()
        if (!isLatest || !shouldLeave(attempt, wait, waited) || crashingPromptFailure() != null) return
        val placement = allowance.nextBeside() ?: return
        attempt.hasStalled = true
        recorder.recordStalled(context, attempt.upstream, wait, waited)
        launch(placement, isProbe = dependencies.notices.recordProbe(placement.upstream.id))
    }

    private fun shouldLeave(attempt: RunningAttempt, wait: UpstreamWait, waited: Duration): Boolean {
        val pool = dependencies.view().upstreams[context.pool].orEmpty()
        val isStalled =
            wait.hasIncompleteData() ||
                dependencies.activity.isSilentUnlikeOthers(attempt.upstream, pool.map { it.id }, waited)
        return StalledWait(wait.limit, waited, context.timeLeft(), wait.startupTime, isStalled).shouldLeave()
    }

    /** Ends all attempts but [winner], which has made progress. */
    private fun endOthers(winner: RunningAttempt) {
        if (winner.hasStalled) recorder.recordContinued(context, winner.upstream)
        winner.hasStalled = false
        if (winner.isProbe) dependencies.notices.recordAccepted(winner.upstream)
        winner.isProbe = false
        if (inFlight.size == 1) return
        for (other in inFlight.filter { it !== winner }) {
            inFlight.remove(other)
            other.job?.cancel()
            record(other, AttemptOutcome.Superseded(winner.upstream, other.wasSent, other.hasStalled))
        }
    }

    private fun unknownOutcomeFailure(upstream: UpstreamId, outcome: AttemptOutcome.Unknown): Failure =
        if (context.timeLeft().isPositive()) {
            Failure.OutcomeUnknown(upstream, outcome.reason)
        } else {
            Failure.DeadlineExceeded(upstream, context.route.timeout)
        }

    private class EndedAttempt(val upstream: UpstreamId, val outcome: AttemptOutcome)

    /**
     * @param isWatched whether another attempt may begin beside this one, now or after others have ended
     * @property isProbe whether the upstream was full before, so that the progress of this attempt shows that it no longer is
     */
    private inner class RunningAttempt(
        val placement: PlacementResult.Chosen,
        isWatched: Boolean,
        var isProbe: Boolean = false,
    ) {
        val upstream get() = placement.upstream.id
        val startedAt = TimeSource.Monotonic.markNow()
        var job: Job? = null
        var wasSent = false

        /** Whether another attempt has begun since this one last made progress. */
        var hasStalled = false

        val control =
            AttemptControl(
                claim = { endOthers(this) },
                watch = if (isWatched) stallWatch() else null,
                onSent = { wasSent = true },
            )

        fun checkWait() = control.watch?.check()

        private fun stallWatch() =
            StallWatch(scope, context::timeLeft) { wait, waited -> beginBeside(this, wait, waited) }
    }

    private inner class PoolRetries : RetryAllowance {
        override fun tryAcquire() = dependencies.retryBudget.tryAcquire(context.pool)

        override fun release() = dependencies.retryBudget.release(context.pool)
    }

    private inner class PoolUpstreams : AttemptCandidates {
        override fun fullUpstreams() = dependencies.notices.fullUpstreams()

        override fun canMeetDeadline(excluded: Set<UpstreamId>) =
            components.admission.canMeetDeadline(context, excluded)

        override fun choose(excluded: Set<UpstreamId>, candidates: Set<UpstreamId>?): PlacementResult {
            val request =
                PlacementRequest(
                    context.pool,
                    context.metadata.prompt,
                    context.route.latencyTarget,
                    context.request.body.size,
                    excluded,
                    candidates,
                )
            return dependencies.placement.choose(request, dependencies.view())
        }
    }
}
