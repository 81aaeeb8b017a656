/*
 * The attempts of one request: sends it to one upstream after another and reports the outcomes.
 */
package org.primrosesill.forwarding

import org.primrosesill.generated.EventType
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PlacementRequest
import org.primrosesill.placement.PlacementResult
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class AttemptLoop(private val dependencies: ForwarderDependencies) {
    private val relay = ResponseRelay(dependencies)
    private val admission = AttemptAdmission(dependencies)

    /**
     * Sends the request of [context] to one upstream after another until an attempt succeeds or no further one is
     * allowed. Returns null when the caller has received a complete response, or else the failure to report.
     */
    suspend fun run(context: RequestContext, callerResponse: OutboundResponse): Failure? {
        val allowance = allowanceFor(context)
        try {
            return run(context, callerResponse, allowance)
        } finally {
            allowance.releaseReserved()
        }
    }

    private suspend fun run(
        context: RequestContext,
        callerResponse: OutboundResponse,
        allowance: AttemptAllowance,
    ): Failure? {
        val fallback = FallbackResponse(callerResponse)
        var isFirst = true
        while (true) {
            crashingPromptFailure(context)?.let { return fallback.respondOr(it) }
            if (isFirst) admission.refusal(context)?.let { return it }
            isFirst = false
            val placement =
                when (val next = allowance.next()) {
                    is NextAttempt.Allowed -> next.placement
                    is NextAttempt.Denied -> return fallback.respondOr(next.failure)
                }
            val upstream = placement.upstream.id
            dependencies.events.record(EventType.REQUEST_ROUTED, context.metadata.id, upstream, placement.explanation)
            val startedAt = TimeSource.Monotonic.markNow()
            val outcome = attempt(context, placement, callerResponse, allowance)
            recordOutcome(context, upstream, outcome, startedAt.elapsedNow())
            recordCrashEvidence(context, upstream, outcome)
            when (outcome) {
                is AttemptOutcome.Delivered -> return null
                is AttemptOutcome.Cut -> return Failure.AnswerCut(upstream, outcome.reason)
                is AttemptOutcome.Failed -> fallback.record(outcome)
                is AttemptOutcome.Unknown -> fallback.record(unknownOutcomeFailure(context, upstream, outcome))
                else -> Unit
            }
            allowance.record(upstream, outcome)
        }
    }

    private fun allowanceFor(context: RequestContext) =
        AttemptAllowance(
            context.route,
            context.pool,
            retriesOf(context.pool),
            context::timeLeft,
            { excluded -> admission.canMeetDeadline(context, excluded) },
        ) { excluded -> place(context, excluded) }

    private fun retriesOf(pool: PoolId) =
        object : RetryAllowance {
            override fun tryAcquire() = dependencies.retryBudget.tryAcquire(pool)

            override fun release() = dependencies.retryBudget.release(pool)
        }

    private fun crashingPromptFailure(context: RequestContext): Failure? =
        context.metadata.prompt
            ?.let(dependencies.crashingParts::blockedPart)
            ?.let { Failure.CrashingPrompt(it.id.value) }

    private fun recordCrashEvidence(context: RequestContext, upstream: UpstreamId, outcome: AttemptOutcome) {
        if (outcome.connectionLost) dependencies.activity.recordConnectionLost(upstream)
        val prompt = context.metadata.prompt ?: return
        if (outcome.connectionLost) {
            dependencies.crashingParts.recordCrash(prompt, upstream)
            dependencies.onCrashEvidence()
        } else if (outcome is AttemptOutcome.Delivered && outcome.status in 200..299) {
            dependencies.crashingParts.recordCompleted(prompt)
        }
    }

    private fun place(context: RequestContext, excluded: Set<UpstreamId>): PlacementResult {
        val request =
            PlacementRequest(
                context.pool,
                context.metadata.prompt,
                context.route.latencyTarget,
                context.request.body.size,
                excluded,
            )
        return dependencies.placement.choose(request, dependencies.view())
    }

    private suspend fun attempt(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        callerResponse: OutboundResponse,
        allowance: AttemptAllowance,
    ): AttemptOutcome {
        val upstream = placement.upstream.id
        val activity = dependencies.activity
        val prompt = PendingPrompt(placement)
        activity.recordStart(upstream, placement.prefillTokens)
        dependencies.services.recordStart(upstream)
        try {
            val attempt =
                AttemptInProgress(
                    placement.upstream,
                    { prompt.markPrefilled(context) },
                    context.timeLeft(),
                    replacement(context, placement.upstream.id, allowance),
                    placement.prefillTokens,
                )
            val result = exchange(context, placement, attempt, callerResponse)
            if (result !is ExchangeResult.Responded) activity.recordConnectionFailure(upstream)
            return when (result) {
                is ExchangeResult.Responded -> result.value
                is ExchangeResult.NotSent -> AttemptOutcome.NotSent(result.reason)
                is ExchangeResult.MalformedResponse -> AttemptOutcome.Malformed(result.defect)
                is ExchangeResult.ConnectionFailed -> AttemptOutcome.Unknown(result.reason, connectionLost = true)
                ExchangeResult.TimedOut -> AttemptOutcome.Unknown("no response before the deadline")
                null -> AttemptOutcome.Unknown("no response within ${responseTimeout(context.route)}")
            }
        } finally {
            prompt.release()
            activity.recordEnd(upstream)
            dependencies.services.recordEnd(upstream)
        }
    }

    /** Returns what reserves the attempt that replaces the one at [upstream], or null if none may follow it. */
    private fun replacement(
        context: RequestContext,
        upstream: UpstreamId,
        allowance: AttemptAllowance,
    ): AttemptReplacement? {
        if (!allowance.allowsReplacement) return null
        return AttemptReplacement { limit, waited, startupTime, hasIncompleteData ->
            val pool = dependencies.view().upstreams[context.pool].orEmpty()
            val isStalled =
                hasIncompleteData ||
                    dependencies.activity.isSilentUnlikeOthers(upstream, pool.map { it.id }, waited)
            StalledWait(limit, waited, context.timeLeft(), startupTime, isStalled).shouldLeave() &&
                crashingPromptFailure(context) == null &&
                allowance.reserveAfter(upstream)
        }
    }

    /** Returns the result of the call, or null if it was given up before its response began. */
    private suspend fun exchange(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        attempt: AttemptInProgress,
        callerResponse: OutboundResponse,
    ): ExchangeResult<AttemptOutcome>? {
        val replacement =
            attempt.replacement ?: return dependencies.client.exchange(upstreamCall(context, placement)) {
                relay.relay(context, attempt, it, callerResponse)
            }
        val limit = responseTimeout(context.route)
        var sentWith = context.timeLeft()
        val stallLimit =
            StallLimit(limit) { replacement.reserve(limit, sentWith - context.timeLeft(), Duration.ZERO, false) }
        return awaitUnlessStalled(stallLimit, measuresAtOnce = false) { timer ->
            val onSent = {
                sentWith = context.timeLeft()
                timer.start()
            }
            dependencies.client.exchange(upstreamCall(context, placement, onSent)) {
                timer.stop()
                relay.relay(context, attempt, it, callerResponse)
            }
        }
    }

    private fun upstreamCall(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        onSent: () -> Unit = {},
    ): UpstreamCall {
        val upstream = placement.upstream
        val request = context.request
        val metadata =
            UpstreamRequestMetadata(
                upstream.id,
                context.account?.customer,
                context.timeLeft(),
                context.priority,
                context.lastEventId,
                placement.prefixSource?.registration?.address,
            )
        return UpstreamCall(
            upstream = upstream.id,
            address = upstream.registration.address,
            method = request.method,
            path = request.target,
            requestId =
                context.metadata.id
                    ?.value
                    .orEmpty(),
            headers = dependencies.protocol.upstreamRequestHeaders(request, metadata),
            body = request.body.takeIf { it.isNotEmpty() || "Content-Length" in request.headers },
            timeout = context.timeLeft().coerceAtLeast(1.milliseconds),
            host = request.headers["Host"].orEmpty(),
            connection =
                if (context.route.idempotent) {
                    ConnectionUse.Pooled(MAXIMUM_CONNECTION_IDLE)
                } else {
                    ConnectionUse.NewPersistent
                },
            matchHead = { dependencies.protocol.matchRequest(context.metadata.id, it) },
            onSent = onSent,
        )
    }

    /** The prompt tokens of one attempt that the engine has yet to prefill. Pending from its start to its first event. */
    private inner class PendingPrompt(private val placement: PlacementResult.Chosen) {
        private var pending = true

        /** Called on the first event of the stream, which shows that the engine has prefilled the prompt. */
        fun markPrefilled(context: RequestContext) {
            if (!pending) return
            release()
            context.metadata.prompt?.let { dependencies.index.recordCached(it.sharedParts, placement.upstream.id) }
        }

        fun release() {
            if (pending) dependencies.activity.recordPrefillEnd(placement.upstream.id, placement.prefillTokens)
            pending = false
        }
    }

    private fun unknownOutcomeFailure(
        context: RequestContext,
        upstream: UpstreamId,
        outcome: AttemptOutcome.Unknown,
    ): Failure =
        if (context.timeLeft().isPositive()) {
            Failure.OutcomeUnknown(upstream, outcome.reason)
        } else {
            Failure.DeadlineExceeded(upstream, context.route.timeout)
        }

    private fun recordOutcome(
        context: RequestContext,
        upstream: UpstreamId,
        outcome: AttemptOutcome,
        duration: Duration,
    ) {
        val type =
            when (outcome) {
                is AttemptOutcome.Delivered -> EventType.REQUEST_FINISHED
                is AttemptOutcome.Cut -> EventType.ANSWER_CUT
                is AttemptOutcome.Unknown -> EventType.OUTCOME_UNKNOWN
                else -> EventType.REQUEST_RETRIED
            }
        val cause = "${outcome.description}, attempt took ${duration.inWholeMilliseconds} ms"
        dependencies.events.record(type, context.metadata.id, upstream, cause)
        dependencies.metrics.attempted(context.pool, outcome.javaClass.simpleName)
        if (outcome is AttemptOutcome.Delivered) dependencies.services.recordCompleted(upstream, duration)
        if (outcome is AttemptOutcome.NotRun) dependencies.services.recordNotRun(upstream, outcome.isFull)
    }

    private companion object {
        val MAXIMUM_CONNECTION_IDLE = 4_000.milliseconds
    }
}
