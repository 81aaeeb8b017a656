/*
 * The attempts of one request: which upstream gets it, and whether it may be sent to another one after a failure.
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
    private val relay = AnswerRelay(dependencies)

    /** Sends [job] until an attempt answers it, and returns the failure if none did. */
    suspend fun run(job: ForwardingJob, answer: OutboundAnswer): Failure? {
        val progress = Progress(job, answer)
        while (true) {
            progress.whyNoFurtherAttempt()?.let { return progress.last.or(it) }
            val placement =
                when (val placed = place(job, progress.excluded)) {
                    is PlacementResult.Chosen -> placed
                    is PlacementResult.Refused ->
                        return progress.last.or(Failure.NoUpstream(job.pool, placed.reason, placed.retryAfter))
                }
            val upstream = placement.upstream.id
            dependencies.events.record(EventType.REQUEST_ROUTED, job.description.id, upstream, placement.basis)
            val started = TimeSource.Monotonic.markNow()
            val end = attempt(job, placement, answer)
            record(job, upstream, end, started.elapsedNow())
            when (end) {
                is AttemptEnd.Delivered -> return null
                is AttemptEnd.Cut -> return Failure.AnswerCut(upstream, end.reason)
                else -> progress.take(upstream, end)
            }
        }
    }

    /** What the attempts of one request have come to. */
    private inner class Progress(private val job: ForwardingJob, answer: OutboundAnswer) {
        val last = LastFailure(answer)
        val excluded = HashSet<UpstreamId>()
        private var arrivals = 0
        private var runs = 0
        private var lastRefusal: Failure? = null

        /** Returns why the request goes to no further upstream, or null when it may. */
        fun whyNoFurtherAttempt(): Failure? =
            when {
                !job.timeLeft().isPositive() -> Failure.NoUpstream(job.pool, "no time is left", RETRY_AFTER)
                runs > 0 && (!job.route.idempotent || runs >= job.route.maximumAttempts) ->
                    Failure.NoUpstream(job.pool, "no attempt is left", RETRY_AFTER)
                excluded.size >= MAXIMUM_UPSTREAMS -> lastRefusal
                // Only sends that reach an upstream load it, so that only these count against the budget.
                arrivals > 0 && !dependencies.retries.tryTake(job.pool) ->
                    Failure.NoUpstream(job.pool, "the retry budget is used up", RETRY_AFTER)
                else -> null
            }

        fun take(upstream: UpstreamId, end: AttemptEnd) {
            excluded += upstream
            if (end !is AttemptEnd.NotSent) arrivals++
            when (end) {
                is AttemptEnd.Failed -> last.take(end)
                is AttemptEnd.Unknown -> last.take(outcomeUnknown(job, upstream, end))
                is AttemptEnd.NotRun -> lastRefusal = Failure.UpstreamRefused(upstream, end.reason, RETRY_AFTER)
                else -> lastRefusal = Failure.UpstreamUnreachable(upstream, RETRY_AFTER)
            }
            if (end is AttemptEnd.Failed || end is AttemptEnd.Unknown) runs++
        }
    }

    private fun place(job: ForwardingJob, excluded: Set<UpstreamId>): PlacementResult {
        val request =
            PlacementRequest(
                job.pool,
                job.description.prompt,
                job.route.latencyTarget,
                job.request.body.size,
                excluded,
            )
        return dependencies.placement.choose(request, dependencies.view())
    }

    private suspend fun attempt(
        job: ForwardingJob,
        placement: PlacementResult.Chosen,
        answer: OutboundAnswer,
    ): AttemptEnd {
        val upstream = placement.upstream.id
        val activity = dependencies.activity
        val prompt = PromptInProgress(placement)
        activity.started(upstream, placement.readTokens)
        try {
            val call = callTo(job, placement)
            val result =
                dependencies.client.exchange(call) {
                    relay.deliver(job, placement.upstream, it, answer) { prompt.wasRead(job) }
                }
            if (result !is ExchangeResult.Answered) activity.failed(upstream)
            return when (result) {
                is ExchangeResult.Answered -> result.value
                is ExchangeResult.NotSent -> AttemptEnd.NotSent(result.reason)
                is ExchangeResult.Broken -> AttemptEnd.Unknown(result.reason)
                ExchangeResult.TimedOut -> AttemptEnd.Unknown("no answer within ${call.timeout}")
            }
        } finally {
            prompt.end()
            activity.ended(upstream)
        }
    }

    private fun callTo(job: ForwardingJob, placement: PlacementResult.Chosen): UpstreamCall {
        val upstream = placement.upstream
        val request = job.request
        val order =
            UpstreamOrder(
                upstream.id,
                job.account?.customer,
                job.timeLeft(),
                job.urgency,
                job.lastEventId,
                placement.prefixSource?.registration?.address,
            )
        return UpstreamCall(
            upstream = upstream.id,
            address = upstream.registration.address,
            method = request.method,
            path = request.target,
            requestId =
                job.description.id
                    ?.value
                    .orEmpty(),
            headers = dependencies.protocol.fieldsForUpstream(request, order),
            body = request.body.takeIf { it.isNotEmpty() || "Content-Length" in request.headers },
            timeout = patience(job),
            host = request.headers["Host"].orEmpty(),
            connection = if (job.route.idempotent) ConnectionUse.Kept(MAXIMUM_IDLE) else ConnectionUse.Fresh,
            isAnswer = { dependencies.protocol.belongsTo(job.description.id, it) },
        )
    }

    /** The prompt of one attempt, from the moment it is sent until the engine has read it. */
    private inner class PromptInProgress(private val placement: PlacementResult.Chosen) {
        private var reading = true

        /** The first event shows that the engine has read the prompt. */
        fun wasRead(job: ForwardingJob) {
            if (!reading) return
            end()
            job.description.prompt?.let { dependencies.index.learn(it.sharedParts, placement.upstream.id) }
        }

        fun end() {
            if (reading) dependencies.activity.read(placement.upstream.id, placement.readTokens)
            reading = false
        }
    }

    private fun outcomeUnknown(job: ForwardingJob, upstream: UpstreamId, end: AttemptEnd.Unknown): Failure =
        if (job.timeLeft().isPositive()) {
            Failure.OutcomeUnknown(upstream, end.reason)
        } else {
            Failure.DeadlineExceeded(upstream, job.route.timeout)
        }

    /** A request that may run again is not left with an upstream that is silent until its time is over. */
    private fun patience(job: ForwardingJob): Duration {
        val left = job.timeLeft().coerceAtLeast(1.milliseconds)
        return if (job.route.idempotent) minOf(left, answerPatience(job.route)) else left
    }

    private fun record(job: ForwardingJob, upstream: UpstreamId, end: AttemptEnd, duration: Duration) {
        val type =
            when (end) {
                is AttemptEnd.Delivered -> EventType.REQUEST_FINISHED
                is AttemptEnd.Cut -> EventType.ANSWER_CUT
                is AttemptEnd.Unknown -> EventType.OUTCOME_UNKNOWN
                else -> EventType.REQUEST_RETRIED
            }
        val cause = "${end.description}, after ${duration.inWholeMilliseconds} ms at the upstream"
        dependencies.events.record(type, job.description.id, upstream, cause)
        dependencies.metrics.attempted(job.pool, end.javaClass.simpleName)
    }

    private companion object {
        /** Upstreams that a request is offered to at the most. */
        const val MAXIMUM_UPSTREAMS = 4
        val MAXIMUM_IDLE = 4_000.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
