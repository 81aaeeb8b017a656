/*
 * The attempts of one request: selects an upstream, claims a slot if it is cold, sends the request, and decides whether
 * to retry at another upstream. The slot and the in-flight count are released exactly once, also on errors.
 */
package org.primrosesill.request

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withContext
import org.primrosesill.answer.isNotExecuted
import org.primrosesill.answer.matchesRequestId
import org.primrosesill.claim.SlotClaim
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.Failure
import org.primrosesill.model.UpstreamId
import org.primrosesill.routing.Reservation
import org.primrosesill.routing.RoutingRequest
import org.primrosesill.routing.UpstreamChoice
import org.primrosesill.routing.UpstreamView
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Maximum number of attempts after the first one. */
private const val MAXIMUM_RETRIES = 2

/** Maximum number of upstreams from which one attempt requests a slot or a reservation, which bounds its delay. */
private const val MAXIMUM_CANDIDATES = 8

private val cancelTimeout = 1.seconds

/** Relays or buffers the response of one upstream. */
internal typealias ResponseHandler = suspend (UpstreamView, UpstreamCall, UpstreamResponse) -> Outcome

internal class UpstreamAttempts(
    private val dependencies: RequestFlowDependencies,
    private val metrics: RequestMetrics,
) {
    private val nextCallIdSuffix = callIdSuffixes()

    /**
     * Tries upstreams until an attempt is final. [Outcome.NotRun] is returned only if no attempt ran the request: after
     * an attempt with an unknown outcome, the outcome of the request is unknown as well.
     */
    suspend fun run(context: AcceptedRequest, handleResponse: ResponseHandler): Outcome {
        dependencies.retryBudget.recordAttempt(context.contract.customer)
        val excluded = mutableSetOf<UpstreamId>()
        var unknownOutcome: Outcome.Unknown? = null
        var retries = 0
        while (true) {
            val outcome = attempt(context, excluded, handleResponse)
            if (outcome is Outcome.Unknown) unknownOutcome = outcome
            if (!mayRetry(context, outcome) || retries == MAXIMUM_RETRIES || !tryAcquireRetry(context)) {
                return if (outcome is Outcome.NotRun) unknownOutcome ?: outcome else outcome
            }
            retries++
            metrics.retried(context.pool)
            recordEvent(EventType.REQUEST_RETRIED, context, describeOutcome(outcome))
        }
    }

    /** An attempt without an available upstream is not retried, because a retry would not have one either. */
    private fun mayRetry(context: AcceptedRequest, outcome: Outcome): Boolean =
        when (outcome) {
            is Outcome.NotRun -> outcome.failure !is Failure.NoUpstream
            is Outcome.Unknown -> context.repeatable
            else -> false
        }

    private fun tryAcquireRetry(context: AcceptedRequest): Boolean =
        context.timeLeft().isPositive() && dependencies.retryBudget.tryRetry(context.contract.customer)

    private suspend fun attempt(
        context: AcceptedRequest,
        excluded: MutableSet<UpstreamId>,
        handleResponse: ResponseHandler,
    ): Outcome {
        val withoutSlot = mutableSetOf<UpstreamId>()
        val fullUpstreams = mutableSetOf<UpstreamId>()
        repeat(MAXIMUM_CANDIDATES) {
            val choice = choose(context, excluded + withoutSlot + fullUpstreams).getOrNull() ?: return@repeat
            val outcome = attemptAt(context, choice, reservationNeeded = true, handleResponse)
            if (outcome != null) {
                excluded += choice.upstream.id
                return outcome
            }
            (if (choice.requiresSlot) withoutSlot else fullUpstreams) += choice.upstream.id
        }
        return attemptWithoutReservation(context, excluded, withoutSlot, handleResponse)
    }

    /**
     * Sends the request without a reservation, because all candidates are at their bound. Queueing at the least loaded
     * upstream is better than rejecting the request.
     */
    private suspend fun attemptWithoutReservation(
        context: AcceptedRequest,
        excluded: MutableSet<UpstreamId>,
        withoutSlot: Set<UpstreamId>,
        handleResponse: ResponseHandler,
    ): Outcome {
        val choice = choose(context, excluded + withoutSlot).fold({ return Outcome.NotRun(it) }, { it })
        excluded += choice.upstream.id
        return attemptAt(context, choice, reservationNeeded = false, handleResponse)
            ?: Outcome.NotRun(Failure.NoUpstream(context.pool, "all slots of cold upstreams are in use"))
    }

    private fun choose(context: AcceptedRequest, excluded: Set<UpstreamId>): Either<Failure, UpstreamChoice> =
        dependencies.selector.choose(RoutingRequest(context.pool, context.affinityKey, excluded))

    /** Returns null if the upstream is cold without a free slot, or is warm and denied the reservation. */
    private suspend fun attemptAt(
        context: AcceptedRequest,
        choice: UpstreamChoice,
        reservationNeeded: Boolean,
        handleResponse: ResponseHandler,
    ): Outcome? {
        var slot: SlotClaim? = null
        try {
            if (choice.requiresSlot) {
                // Not cancellable: a claim granted after the caller disconnected must still be released here.
                withContext(NonCancellable) { slot = claimSlot(context, choice.upstream) }
                if (slot == null) return null
            } else if (reservationNeeded && isReservationDenied(context, choice.upstream)) {
                return null
            }
            return send(context, choice.upstream, handleResponse)
        } finally {
            slot?.release()
            dependencies.selector.finish(choice.upstream.id)
        }
    }

    /** Requests a reservation from engines only, as plain services have no load bound. */
    private suspend fun isReservationDenied(context: AcceptedRequest, upstream: UpstreamView): Boolean =
        context.kind == PoolKind.CHAT && dependencies.reservations.reserve(context.pool, upstream) == Reservation.FULL

    private suspend fun claimSlot(context: AcceptedRequest, upstream: UpstreamView): SlotClaim? {
        val heldUntilMillis = dependencies.currentMillis() + context.timeLeft().inWholeMilliseconds
        return dependencies.slotClaims.claim(upstream.id, upstream.coldConcurrencyLimit, heldUntilMillis)
    }

    private suspend fun send(
        context: AcceptedRequest,
        upstream: UpstreamView,
        handleResponse: ResponseHandler,
    ): Outcome {
        // The caller may have disconnected while permits and slots were requested.
        currentCoroutineContext().ensureActive()
        // The process may have been paused since the request arrived.
        if (context.timeLeft() < 1.milliseconds) {
            return Outcome.NotRun(Failure.NoUpstream(context.pool, "the deadline passed before the request was sent"))
        }
        val call = callFor(context, upstream, nextCallIdSuffix())
        recordEvent(EventType.REQUEST_ROUTED, context, "sent to ${upstream.address}", upstream.id)
        val outcome =
            try {
                dependencies.client.exchange(call) { response ->
                    processResponse(context, upstream, call, response, handleResponse)
                }
            } catch (exception: CancellationException) {
                cancelStream(context, call)
                throw exception
            } catch (exception: CallerDisconnectedException) {
                cancelStream(context, call)
                throw exception
            }
        return interpret(context, upstream, call, outcome)
    }

    private suspend fun interpret(
        context: AcceptedRequest,
        upstream: UpstreamView,
        call: UpstreamCall,
        result: ExchangeResult<Outcome>,
    ): Outcome =
        when (result) {
            is ExchangeResult.Responded -> {
                if (result.value is Outcome.Truncated) cancelStream(context, call)
                result.value
            }
            is ExchangeResult.NotSent -> {
                dependencies.selector.recordConnection(upstream.id, succeeded = false)
                Outcome.NotRun(Failure.UpstreamUnreachable(upstream.id))
            }
            is ExchangeResult.ConnectionFailed -> {
                dependencies.selector.recordConnection(upstream.id, succeeded = false)
                Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, result.reason))
            }
            ExchangeResult.TimedOut -> {
                cancelStream(context, call)
                Outcome.Unknown(Failure.DeadlineExceeded(upstream.id, timeoutOf(context)))
            }
        }

    private suspend fun processResponse(
        context: AcceptedRequest,
        upstream: UpstreamView,
        call: UpstreamCall,
        response: UpstreamResponse,
        handleResponse: ResponseHandler,
    ): Outcome {
        dependencies.selector.recordConnection(upstream.id, succeeded = true)
        if (!matchesRequestId(call.requestId, response.headers.all("x-request-id"))) {
            metrics.dropped(context.pool)
            recordEvent(EventType.ANSWER_DROPPED, context, "the response has another request id", upstream.id)
            return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, "the response belongs to another request"))
        }
        if (response.header("x-upstream-state") == "cold") {
            dependencies.selector.recordCold(upstream.id, response.header("x-bears")?.toIntOrNull() ?: 1)
        }
        if (isNotExecuted(response.status, response.header("x-not-run"))) {
            return Outcome.NotRun(Failure.UpstreamRefused(upstream.id, "the upstream did not run the request"))
        }
        return handleResponse(upstream, call, response)
    }

    /**
     * Requests that the engine stop the stream. The result is ignored, because the connection is closed as well. Does
     * nothing for plain services.
     */
    private suspend fun cancelStream(context: AcceptedRequest, call: UpstreamCall) {
        if (context.kind != PoolKind.CHAT) return
        withContext(NonCancellable) { dependencies.client.exchange(cancelCall(call, cancelTimeout)) { } }
    }

    private fun recordEvent(type: EventType, context: AcceptedRequest, cause: String, upstream: UpstreamId? = null) =
        dependencies.events.record(type, cause, EventSubject(context.id, upstream, context.contract.customer))
}

internal fun timeoutOf(context: AcceptedRequest) =
    (if (context.kind == PoolKind.CHAT) context.contract.chatDeadlineMillis else context.contract.serviceDeadlineMillis)
        .milliseconds

internal fun describeOutcome(outcome: Outcome): String =
    when (outcome) {
        is Outcome.Delivered -> "response with status ${outcome.status}"
        is Outcome.Buffered -> "response with status ${outcome.response.head.status}"
        is Outcome.NotRun -> outcome.failure.toString()
        is Outcome.Unknown -> outcome.failure.toString()
        is Outcome.Truncated -> outcome.failure.toString()
    }
