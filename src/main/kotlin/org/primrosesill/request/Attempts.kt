/*
 * The attempts of one request: chooses an upstream, claims a slot when it is cold, sends, and decides whether another
 * upstream may be tried. Whatever happens, the slot and the in-flight count are given back once.
 */
package org.primrosesill.request

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withContext
import org.primrosesill.answer.belongsTo
import org.primrosesill.answer.saysNotRun
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

/** Attempts after the first one. */
private const val MAXIMUM_RETRIES = 2

/** Upstreams that are asked for a slot or a place in one attempt, so that a request is not held back for long. */
private const val MAXIMUM_PLACES = 8

private val cancelTimeout = 1.seconds

/** Hands the answer of one upstream on. */
internal typealias Deliver = suspend (UpstreamView, UpstreamCall, UpstreamAnswer) -> Outcome

internal class Attempts(private val dependencies: RequestFlowDependencies, private val metrics: RequestMetrics) {
    private val suffixes = callSuffixes()

    /** Tries upstreams until one attempt ends the request. A result of "not run" holds for all attempts together. */
    suspend fun run(work: Work, deliver: Deliver): Outcome {
        dependencies.retryBudget.recordAttempt(work.contract.customer)
        val excluded = mutableSetOf<UpstreamId>()
        var unknown: Outcome.Unknown? = null
        var retries = 0
        while (true) {
            val outcome = attempt(work, excluded, deliver)
            if (outcome is Outcome.Unknown) unknown = outcome
            if (!mayRetry(work, outcome) || retries == MAXIMUM_RETRIES || !takeRetry(work)) {
                return if (outcome is Outcome.NotRun) unknown ?: outcome else outcome
            }
            retries++
            metrics.retried(work.pool)
            record(EventType.REQUEST_RETRIED, work, reasonOf(outcome))
        }
    }

    /** An attempt that found no upstream is final: a further one would find none either. */
    private fun mayRetry(work: Work, outcome: Outcome): Boolean =
        when (outcome) {
            is Outcome.NotRun -> outcome.failure !is Failure.NoUpstream
            is Outcome.Unknown -> work.repeatable
            else -> false
        }

    private fun takeRetry(work: Work): Boolean =
        work.timeLeft().isPositive() && dependencies.retryBudget.tryRetry(work.contract.customer)

    private suspend fun attempt(work: Work, excluded: MutableSet<UpstreamId>, deliver: Deliver): Outcome {
        val slotless = mutableSetOf<UpstreamId>()
        val full = mutableSetOf<UpstreamId>()
        repeat(MAXIMUM_PLACES) {
            val choice = choose(work, excluded + slotless + full).getOrNull() ?: return@repeat
            val outcome = attemptAt(work, choice, placeNeeded = true, deliver)
            if (outcome != null) {
                excluded += choice.upstream.id
                return outcome
            }
            (if (choice.slotNeeded) slotless else full) += choice.upstream.id
        }
        return attemptWithoutPlace(work, excluded, slotless, deliver)
    }

    /** Every upstream that was asked is at its bound. A queue at the one with most room beats a refusal. */
    private suspend fun attemptWithoutPlace(
        work: Work,
        excluded: MutableSet<UpstreamId>,
        slotless: Set<UpstreamId>,
        deliver: Deliver,
    ): Outcome {
        val choice = choose(work, excluded + slotless).fold({ return Outcome.NotRun(it) }, { it })
        excluded += choice.upstream.id
        return attemptAt(work, choice, placeNeeded = false, deliver)
            ?: Outcome.NotRun(Failure.NoUpstream(work.pool, "all slots of cold upstreams are taken"))
    }

    private fun choose(work: Work, excluded: Set<UpstreamId>): Either<Failure, UpstreamChoice> =
        dependencies.selector.choose(RoutingRequest(work.pool, work.affinityKey, excluded))

    /** Returns null when the upstream is cold and has no slot left, or is warm and has no place left. */
    private suspend fun attemptAt(
        work: Work,
        choice: UpstreamChoice,
        placeNeeded: Boolean,
        deliver: Deliver,
    ): Outcome? {
        var slot: SlotClaim? = null
        try {
            if (choice.slotNeeded) {
                // A claim that was granted must reach this function even if the caller leaves in the meantime.
                withContext(NonCancellable) { slot = claimSlot(work, choice.upstream) }
                if (slot == null) return null
            } else if (placeNeeded && isFull(work, choice.upstream)) {
                return null
            }
            return send(work, choice.upstream, deliver)
        } finally {
            slot?.release()
            dependencies.selector.finish(choice.upstream.id)
        }
    }

    /** Plain services have no load bound, so that only engines are asked for a place. */
    private suspend fun isFull(work: Work, upstream: UpstreamView): Boolean =
        work.kind == PoolKind.CHAT && dependencies.reservations.reserve(work.pool, upstream) == Reservation.FULL

    private suspend fun claimSlot(work: Work, upstream: UpstreamView): SlotClaim? {
        val until = dependencies.currentMillis() + work.timeLeft().inWholeMilliseconds
        return dependencies.slotClaims.claim(upstream.id, upstream.bears, until)
    }

    private suspend fun send(work: Work, upstream: UpstreamView, deliver: Deliver): Outcome {
        // The caller may have left while permits and slots were asked for.
        currentCoroutineContext().ensureActive()
        // The process may have been paused since the request arrived.
        if (work.timeLeft() < 1.milliseconds) {
            return Outcome.NotRun(Failure.NoUpstream(work.pool, "the deadline passed before the request was sent"))
        }
        val call = callFor(work, upstream, suffixes())
        record(EventType.REQUEST_ROUTED, work, "sent to ${upstream.address}", upstream.id)
        val outcome =
            try {
                dependencies.client.exchange(call) { answer -> receive(work, upstream, call, answer, deliver) }
            } catch (exception: CancellationException) {
                cancel(work, call)
                throw exception
            } catch (exception: CallerGoneException) {
                cancel(work, call)
                throw exception
            }
        return interpret(work, upstream, call, outcome)
    }

    private suspend fun interpret(
        work: Work,
        upstream: UpstreamView,
        call: UpstreamCall,
        result: ExchangeResult<Outcome>,
    ): Outcome =
        when (result) {
            is ExchangeResult.Answered -> {
                if (result.value is Outcome.Cut) cancel(work, call)
                result.value
            }
            is ExchangeResult.NotSent -> {
                dependencies.selector.recordConnection(upstream.id, succeeded = false)
                Outcome.NotRun(Failure.UpstreamUnreachable(upstream.id))
            }
            is ExchangeResult.Broken -> {
                dependencies.selector.recordConnection(upstream.id, succeeded = false)
                Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, result.reason))
            }
            ExchangeResult.TimedOut -> {
                cancel(work, call)
                Outcome.Unknown(Failure.DeadlineExceeded(upstream.id, deadlineOf(work)))
            }
        }

    private suspend fun receive(
        work: Work,
        upstream: UpstreamView,
        call: UpstreamCall,
        answer: UpstreamAnswer,
        deliver: Deliver,
    ): Outcome {
        dependencies.selector.recordConnection(upstream.id, succeeded = true)
        if (!belongsTo(call.requestId, answer.headers.all("x-request-id"))) {
            metrics.dropped(work.pool)
            record(EventType.ANSWER_DROPPED, work, "the answer carries another request id", upstream.id)
            return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, "the answer belongs to another request"))
        }
        if (answer.header("x-upstream-state") == "cold") {
            dependencies.selector.recordCold(upstream.id, answer.header("x-bears")?.toIntOrNull() ?: 1)
        }
        if (saysNotRun(answer.status, answer.header("x-not-run"))) {
            return Outcome.NotRun(Failure.UpstreamRefused(upstream.id, "it did not run the request"))
        }
        return deliver(upstream, call, answer)
    }

    /** Tells the engine to stop the stream. The result does not matter, because the connection is closed as well. */
    private suspend fun cancel(work: Work, call: UpstreamCall) {
        if (work.kind != PoolKind.CHAT) return
        withContext(NonCancellable) { dependencies.client.exchange(cancelCall(call, cancelTimeout)) { } }
    }

    private fun record(type: EventType, work: Work, cause: String, upstream: UpstreamId? = null) =
        dependencies.events.record(type, cause, EventSubject(work.id, upstream, work.contract.customer))
}

internal fun deadlineOf(work: Work) =
    (if (work.kind == PoolKind.CHAT) work.contract.chatDeadlineMillis else work.contract.serviceDeadlineMillis)
        .milliseconds

internal fun reasonOf(outcome: Outcome): String =
    when (outcome) {
        is Outcome.Delivered -> "answered with status ${outcome.status}"
        is Outcome.Buffered -> "answered with status ${outcome.answer.head.status}"
        is Outcome.NotRun -> outcome.failure.toString()
        is Outcome.Unknown -> outcome.failure.toString()
        is Outcome.Cut -> outcome.failure.toString()
    }
