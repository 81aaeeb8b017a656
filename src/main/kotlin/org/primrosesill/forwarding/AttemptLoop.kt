/*
 * The attempts of one request: selects the upstream of each, and decides whether a failed one is followed by another.
 */
package org.primrosesill.forwarding

import org.primrosesill.generated.EventType
import org.primrosesill.model.Failure
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

    /**
     * Sends the request of [context] to one upstream after another until an attempt succeeds or no further one is
     * allowed. Returns null when the caller has received a complete response, or else the failure to report.
     */
    suspend fun run(context: RequestContext, callerResponse: OutboundResponse): Failure? {
        val progress = Progress(context, callerResponse)
        while (true) {
            progress.failureIfExhausted()?.let { return progress.fallback.respondOr(it) }
            crashingPromptFailure(context)?.let { return progress.fallback.respondOr(it) }
            val placement =
                when (val result = place(context, progress.excluded)) {
                    is PlacementResult.Chosen -> result
                    is PlacementResult.Rejected ->
                        return progress.fallback.respondOr(
                            Failure.NoUpstream(context.pool, result.reason, result.retryAfter),
                        )
                }
            val upstream = placement.upstream.id
            dependencies.events.record(EventType.REQUEST_ROUTED, context.metadata.id, upstream, placement.explanation)
            val startedAt = TimeSource.Monotonic.markNow()
            val outcome = attempt(context, placement, callerResponse)
            recordOutcome(context, upstream, outcome, startedAt.elapsedNow())
            recordCrashEvidence(context, upstream, outcome)
            when (outcome) {
                is AttemptOutcome.Delivered -> return null
                is AttemptOutcome.Cut -> return Failure.AnswerCut(upstream, outcome.reason)
                else -> progress.record(upstream, outcome)
            }
        }
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

    /** The outcomes of the attempts of one request so far. */
    private inner class Progress(private val context: RequestContext, callerResponse: OutboundResponse) {
        val fallback = FallbackResponse(callerResponse)
        val excluded = HashSet<UpstreamId>()
        private var sentAttempts = 0
        private var possibleExecutions = 0
        private var lastRejection: Failure? = null

        /** Returns why the request is sent to no further upstream, or null when another attempt is allowed. */
        fun failureIfExhausted(): Failure? =
            when {
                !context.timeLeft().isPositive() ->
                    Failure.NoUpstream(context.pool, "the deadline passed", RETRY_AFTER)
                possibleExecutions > 0 &&
                    (!context.route.idempotent || possibleExecutions >= context.route.maximumAttempts) ->
                    Failure.NoUpstream(context.pool, "no further attempts are allowed", RETRY_AFTER)
                excluded.size >= MAXIMUM_UPSTREAMS -> lastRejection
                // Only attempts that reach an upstream load it, so only these count against the retry budget.
                sentAttempts > 0 && !dependencies.retryBudget.tryAcquire(context.pool) ->
                    Failure.NoUpstream(context.pool, "the retry budget is exhausted", RETRY_AFTER)
                else -> null
            }

        fun record(upstream: UpstreamId, outcome: AttemptOutcome) {
            excluded += upstream
            if (outcome !is AttemptOutcome.NotSent) sentAttempts++
            when (outcome) {
                is AttemptOutcome.Failed -> fallback.record(outcome)
                is AttemptOutcome.Unknown -> fallback.record(unknownOutcomeFailure(context, upstream, outcome))
                is AttemptOutcome.NotRun ->
                    lastRejection = Failure.UpstreamRefused(upstream, outcome.reason, RETRY_AFTER)
                else -> lastRejection = Failure.UpstreamUnreachable(upstream, RETRY_AFTER)
            }
            if (outcome is AttemptOutcome.Failed || outcome is AttemptOutcome.Unknown) possibleExecutions++
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
    ): AttemptOutcome {
        val upstream = placement.upstream.id
        val activity = dependencies.activity
        val prompt = PendingPrompt(placement)
        activity.recordStart(upstream, placement.prefillTokens)
        try {
            val call = upstreamCall(context, placement)
            val result =
                dependencies.client.exchange(call) {
                    relay.relay(context, placement.upstream, it, callerResponse) { prompt.markPrefilled(context) }
                }
            if (result !is ExchangeResult.Responded) activity.recordConnectionFailure(upstream)
            return when (result) {
                is ExchangeResult.Responded -> result.value
                is ExchangeResult.NotSent -> AttemptOutcome.NotSent(result.reason)
                is ExchangeResult.ConnectionFailed -> AttemptOutcome.Unknown(result.reason, connectionLost = true)
                ExchangeResult.TimedOut -> AttemptOutcome.Unknown("no response within ${call.timeout}")
            }
        } finally {
            prompt.release()
            activity.recordEnd(upstream)
        }
    }

    private fun upstreamCall(context: RequestContext, placement: PlacementResult.Chosen): UpstreamCall {
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
            timeout = attemptTimeout(context),
            host = request.headers["Host"].orEmpty(),
            connection =
                if (context.route.idempotent) {
                    ConnectionUse.Pooled(MAXIMUM_CONNECTION_IDLE)
                } else {
                    ConnectionUse.NewPersistent
                },
            matchHead = { dependencies.protocol.matchRequest(context.metadata.id, it) },
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

    /** Limits the attempt of a request that may be executed again, so that time is left for another upstream. */
    private fun attemptTimeout(context: RequestContext): Duration {
        val timeLeft = context.timeLeft().coerceAtLeast(1.milliseconds)
        return if (context.route.idempotent) minOf(timeLeft, responseTimeout(context.route)) else timeLeft
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
    }

    private companion object {
        /** Maximum number of upstreams that are tried for one request. */
        const val MAXIMUM_UPSTREAMS = 4
        val MAXIMUM_CONNECTION_IDLE = 4_000.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
