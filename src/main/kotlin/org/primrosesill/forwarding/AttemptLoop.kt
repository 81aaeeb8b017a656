/*
 * The attempts of one request: which upstream gets it, and whether it may be sent to another one after a failure.
 */
package org.primrosesill.forwarding

import org.primrosesill.discovery.KnownUpstream
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

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    /** The caller has its whole answer. */
    class Delivered(val status: Int) : AttemptEnd

    /** The upstream did not run the request. */
    class NotRun(val reason: String) : AttemptEnd

    /** The upstream answered with a failure of its own, and the request may run again. */
    class Failed(val head: OutboundHead, val body: ByteArray) : AttemptEnd

    /** The upstream may have run the request, and the caller has nothing, or a stream that may go on elsewhere. */
    class Unknown(val reason: String) : AttemptEnd

    /** The caller has a part of an answer that cannot be completed. */
    class Cut(val reason: String) : AttemptEnd
}

/** What the caller gets if no later attempt succeeds: the answer of an upstream rather than a failure of this router. */
private class LastFailure(private val answer: OutboundAnswer) {
    private var failed: AttemptEnd.Failed? = null
    private var unknown: Failure? = null

    fun take(end: AttemptEnd.Failed) {
        failed = end
    }

    fun take(failure: Failure) {
        unknown = failure
    }

    /** Answers with what an upstream said, or returns the failure that is known, or else [failure]. */
    suspend fun or(failure: Failure): Failure? {
        val end = failed
        if (end == null || answer.started) return unknown ?: failure
        answer.respond(end.head, end.body)
        return null
    }
}

internal class AttemptLoop(private val dependencies: ForwarderDependencies) {
    private val relay = AnswerRelay(dependencies)

    /** Sends [job] until an attempt answers it, and returns the failure if none did. */
    suspend fun run(job: ForwardingJob, answer: OutboundAnswer): Failure? {
        val excluded = HashSet<UpstreamId>()
        var runs = 0
        var sends = 0
        val last = LastFailure(answer)
        while (true) {
            if (!job.timeLeft().isPositive()) return last.or(Failure.NoUpstream(job.pool, "no time is left"))
            if (sends > 0 && !dependencies.retries.tryTake(job.pool)) return last.or(overRetryBudget(job))
            val placement =
                when (val placed = place(job, excluded)) {
                    is PlacementResult.Chosen -> placed
                    is PlacementResult.Refused ->
                        return last.or(Failure.NoUpstream(job.pool, placed.reason, placed.retryAfter))
                }
            val upstream = placement.upstream
            dependencies.events.record(EventType.REQUEST_ROUTED, job.description.id, upstream.id, placement.basis)
            excluded += upstream.id
            val end = attempt(job, placement, answer)
            record(job, upstream, end)
            when (end) {
                is AttemptEnd.Delivered -> return null
                is AttemptEnd.Cut -> return Failure.AnswerCut(upstream.id, end.reason)
                is AttemptEnd.NotRun -> if (++sends >= MAXIMUM_SENDS) return last.or(refused(upstream, end))
                is AttemptEnd.Failed -> last.take(end)
                is AttemptEnd.Unknown -> last.take(outcomeUnknown(job, upstream, end))
            }
            if (end is AttemptEnd.Failed || end is AttemptEnd.Unknown) {
                sends++
                runs++
                if (!job.route.idempotent || runs >= job.route.maximumAttempts) return last.or(overRetryBudget(job))
            }
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
        val upstream = placement.upstream
        val activity = dependencies.activity
        val prompt = PromptInProgress(placement)
        activity.started(upstream.id, placement.readTokens)
        try {
            val call = callTo(job, placement)
            val result =
                dependencies.client.exchange(call) { relay.deliver(job, upstream, it, answer) { prompt.wasRead(job) } }
            return when (result) {
                is ExchangeResult.Answered -> result.value
                is ExchangeResult.NotSent -> AttemptEnd.NotRun(result.reason).also { activity.failed(upstream.id) }
                is ExchangeResult.Broken -> AttemptEnd.Unknown(result.reason).also { activity.failed(upstream.id) }
                ExchangeResult.TimedOut -> AttemptEnd.Unknown("no answer in time").also { activity.failed(upstream.id) }
            }
        } finally {
            prompt.end()
            activity.ended(upstream.id)
        }
    }

    private fun callTo(job: ForwardingJob, placement: PlacementResult.Chosen): UpstreamCall {
        val upstream = placement.upstream
        val order =
            UpstreamOrder(
                upstream.id,
                job.account?.customer,
                job.timeLeft(),
                job.urgency,
                job.lastEventId,
                placement.prefixSource?.registration?.address,
            )
        val request = job.request
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

    private fun outcomeUnknown(job: ForwardingJob, upstream: KnownUpstream, end: AttemptEnd.Unknown): Failure =
        if (job.timeLeft().isPositive()) {
            Failure.OutcomeUnknown(upstream.id, end.reason)
        } else {
            Failure.DeadlineExceeded(upstream.id, job.route.timeout)
        }

    private fun refused(upstream: KnownUpstream, end: AttemptEnd.NotRun) =
        Failure.UpstreamRefused(upstream.id, end.reason, RETRY_AFTER)

    /** A request that may run again is not left with an upstream that is silent until its time is over. */
    private fun patience(job: ForwardingJob): Duration {
        val left = job.timeLeft().coerceAtLeast(1.milliseconds)
        return if (job.route.idempotent) minOf(left, answerPatience(job.route)) else left
    }

    private fun overRetryBudget(job: ForwardingJob) =
        Failure.NoUpstream(job.pool, "the retry budget is used up", RETRY_AFTER)

    private fun record(job: ForwardingJob, upstream: KnownUpstream, end: AttemptEnd) {
        val id = job.description.id
        when (end) {
            is AttemptEnd.Delivered ->
                dependencies.events.record(EventType.REQUEST_FINISHED, id, upstream.id, "status ${end.status}")
            is AttemptEnd.NotRun ->
                dependencies.events.record(EventType.REQUEST_RETRIED, id, upstream.id, "not run: ${end.reason}")
            is AttemptEnd.Failed ->
                dependencies.events.record(EventType.REQUEST_RETRIED, id, upstream.id, "status ${end.head.status}")
            is AttemptEnd.Unknown ->
                dependencies.events.record(EventType.OUTCOME_UNKNOWN, id, upstream.id, end.reason)
            is AttemptEnd.Cut -> dependencies.events.record(EventType.ANSWER_CUT, id, upstream.id, end.reason)
        }
    }

    private companion object {
        /** Sends of one request that upstreams refused to run. */
        const val MAXIMUM_SENDS = 3
        val MAXIMUM_IDLE = 4_000.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
