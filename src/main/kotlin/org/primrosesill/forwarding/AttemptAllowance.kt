/*
 * Whether a request may be sent to one more upstream, and what that takes: an attempt of its route, time until its deadline,
 * an upstream that can take it, and a retry of the budget. Another attempt begins after the previous one has ended or, while
 * an upstream is silent, beside it.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PlacementResult
import org.primrosesill.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The retries that a request may spend. */
internal interface RetryAllowance {
    /** Withdraws one retry, or returns false if none is left. */
    fun tryAcquire(): Boolean

    /** Returns a retry that was withdrawn and not used. */
    fun release()
}

/** The upstreams among which the one for the next attempt is selected. */
internal interface AttemptCandidates {
    /** Returns upstreams that have just rejected requests as they were full. */
    fun fullUpstreams(): Set<UpstreamId>

    /** Returns whether an upstream that is not [excluded] may respond before the deadline. */
    fun canMeetDeadline(excluded: Set<UpstreamId>): Boolean

    /** Selects an upstream that is not [excluded], and that is one of [candidates] unless these are null. */
    fun choose(excluded: Set<UpstreamId>, candidates: Set<UpstreamId>?): PlacementResult
}

/** Whether a request is sent to a next upstream. */
internal sealed interface NextAttempt {
    class Allowed(val placement: PlacementResult.Chosen) : NextAttempt

    class Denied(val failure: Failure) : NextAttempt
}

/**
 * The attempts of one request. Confined to the traffic thread.
 *
 * @param timeLeft returns the time until the deadline of the request
 */
internal class AttemptAllowance(
    private val route: Route,
    private val pool: PoolId,
    private val retries: RetryAllowance,
    private val timeLeft: () -> Duration,
    private val upstreams: AttemptCandidates,
) {
    /** The upstreams of the attempts in flight, and whether a retry was withdrawn for each. */
    private val inFlight = HashMap<UpstreamId, Boolean>()

    /** Upstreams that get no further attempt of this request. */
    private val excluded = HashSet<UpstreamId>()

    /** Upstreams that were silent until another one made progress. They are asked again only after that one has failed. */
    private val stalled = HashSet<UpstreamId>()

    /** Upstreams that have rejected the request as they were full. They may have room again later. */
    private val rejecting = HashSet<UpstreamId>()

    /** Upstreams that may have run the request. The route limits their number. */
    private val executedAt = HashSet<UpstreamId>()
    private var startedAttempts = 0
    private var sentAttempts = 0
    private var lastRejection: Failure? = null

    /** Whether no attempt has been made. */
    val isFirst: Boolean get() = startedAttempts == 0

    /** Whether the route allows another attempt while those in flight may be running the request. */
    val allowsConcurrentAttempt: Boolean get() = allowsAttemptAfter(executedAt + inFlight.keys)

    /** Returns the upstream for the next attempt when none is in flight, or why the request is sent to no further one. */
    fun next(): NextAttempt {
        exhaustionFailure()?.let { return NextAttempt.Denied(it) }
        val unavailable = excluded + rejecting
        if (unavailable.isNotEmpty() && !upstreams.canMeetDeadline(unavailable)) {
            return denied("a further attempt would miss the deadline", RETRY_AFTER)
        }
        val placement =
            when (val result = upstreams.choose(unavailable, candidatesAfter(executedAt))) {
                is PlacementResult.Chosen -> result
                is PlacementResult.Rejected -> return denied(result.reason, result.retryAfter)
            }
        // Only attempts that reach an upstream load it, so only these count against the retry budget.
        val isRetry = sentAttempts > 0
        if (isRetry && !retries.tryAcquire()) return denied("the retry budget is exhausted", RETRY_AFTER)
        recordStart(placement, isRetry)
        return NextAttempt.Allowed(placement)
    }

    /**
     * Returns the upstream for an attempt beside those in flight, whose upstreams are silent. Returns null if there is none that
     * is better for the request than to wait on: upstreams that are known to be full are left out.
     */
    fun nextBeside(): PlacementResult.Chosen? {
        if (!allowsConcurrentAttempt || timeLeft() < minimumAttemptTime(route)) return null
        if (startedAttempts >= maxOf(MAXIMUM_ATTEMPTS, route.maximumAttempts)) return null
        val unavailable = excluded + stalled + inFlight.keys + upstreams.fullUpstreams()
        if (!upstreams.canMeetDeadline(unavailable)) return null
        // The retry first, since a choice counts as a request to the upstream.
        if (!retries.tryAcquire()) return null
        val candidates = candidatesAfter(executedAt + inFlight.keys)
        val placement = upstreams.choose(unavailable, candidates) as? PlacementResult.Chosen
        if (placement == null) {
            retries.release()
            return null
        }
        recordStart(placement, isRetry = true)
        return placement
    }

    /** Records that the attempt at [upstream] ended with [outcome]. */
    fun record(upstream: UpstreamId, outcome: AttemptOutcome) {
        val isRetry = inFlight.remove(upstream) ?: false
        if (outcome.wasSent) {
            sentAttempts++
        } else if (isRetry) {
            retries.release()
        }
        when (outcome) {
            is AttemptOutcome.NotSent -> lastRejection = Failure.UpstreamUnreachable(upstream, RETRY_AFTER)
            is AttemptOutcome.NotRun ->
                lastRejection = Failure.UpstreamRefused(upstream, outcome.reason, RETRY_AFTER)
            else -> if (outcome.wasSent) executedAt += upstream
        }
        when {
            outcome is AttemptOutcome.NotRun && outcome.isFull -> rejecting += upstream
            // That another one was faster does not show that this one cannot run the request.
            outcome is AttemptOutcome.Superseded -> if (outcome.hadStalled) stalled += upstream
            else -> excluded += upstream
        }
    }

    private fun recordStart(placement: PlacementResult.Chosen, isRetry: Boolean) {
        inFlight[placement.upstream.id] = isRetry
        startedAttempts++
    }

    private fun exhaustionFailure(): Failure? =
        when {
            !timeLeft().isPositive() -> Failure.NoUpstream(pool, "the deadline passed", RETRY_AFTER)
            !allowsAttemptAfter(executedAt) ->
                Failure.NoUpstream(pool, "no further attempts are allowed", RETRY_AFTER)
            startedAttempts >= MAXIMUM_ATTEMPTS -> lastRejection
            else -> null
        }

    private fun allowsAttemptAfter(executions: Set<UpstreamId>): Boolean =
        candidatesAfter(executions)?.any { it !in excluded && it !in inFlight } ?: true

    /** Returns the upstreams that may run the request after [executions], or null if all may. */
    private fun candidatesAfter(executions: Set<UpstreamId>): Set<UpstreamId>? =
        when {
            executions.isEmpty() -> null
            !route.idempotent -> emptySet()
            executions.size < route.maximumAttempts -> null
            else -> executedAt
        }

    private fun denied(reason: String, retryAfter: Duration) =
        NextAttempt.Denied(Failure.NoUpstream(pool, reason, retryAfter))

    private companion object {
        /** Maximum number of attempts of one request, those included that upstreams reject. */
        const val MAXIMUM_ATTEMPTS = 4
        val RETRY_AFTER = 300.milliseconds
    }
}
