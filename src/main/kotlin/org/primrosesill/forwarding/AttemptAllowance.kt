/*
 * Whether a request may be sent to one more upstream, and what that takes: an attempt of its route, time until its deadline,
 * an upstream that can take it, and a retry of the budget. An attempt in progress is replaced only once all of it is acquired.
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

/** Whether a request is sent to a next upstream. */
internal sealed interface NextAttempt {
    class Allowed(val placement: PlacementResult.Chosen) : NextAttempt

    class Denied(val failure: Failure) : NextAttempt
}

/**
 * The attempts of one request. Confined to the traffic thread.
 *
 * @param timeLeft returns the time until the deadline of the request
 * @param canMeetDeadline returns whether an upstream other than the given ones may respond in time
 * @param choose selects an upstream other than the given ones
 */
internal class AttemptAllowance(
    private val route: Route,
    private val pool: PoolId,
    private val retries: RetryAllowance,
    private val timeLeft: () -> Duration,
    private val canMeetDeadline: (excluded: Set<UpstreamId>) -> Boolean,
    private val choose: (excluded: Set<UpstreamId>) -> PlacementResult,
) {
    private val excluded = HashSet<UpstreamId>()
    private var sentAttempts = 0
    private var possibleExecutions = 0
    private var lastRejection: Failure? = null
    private var reserved: PlacementResult.Chosen? = null

    /** Whether the route allows another attempt after one whose outcome is unknown. */
    val allowsReplacement: Boolean get() = allowsExecution(possibleExecutions + 1)

    /** Returns the upstream for the next attempt, or why the request is sent to no further one. */
    fun next(): NextAttempt {
        reserved?.let {
            reserved = null
            return NextAttempt.Allowed(it)
        }
        exhaustionFailure()?.let { return NextAttempt.Denied(it) }
        if (excluded.isNotEmpty() && !canMeetDeadline(excluded)) {
            return denied("a further attempt would miss the deadline", RETRY_AFTER)
        }
        val placement =
            when (val result = choose(excluded)) {
                is PlacementResult.Chosen -> result
                is PlacementResult.Rejected -> return denied(result.reason, result.retryAfter)
            }
        // Only attempts that reach an upstream load it, so only these count against the retry budget.
        if (sentAttempts > 0 && !retries.tryAcquire()) return denied("the retry budget is exhausted", RETRY_AFTER)
        return NextAttempt.Allowed(placement)
    }

    /**
     * Reserves the attempt that follows the one at [current], which has been sent and is to be given up. Returns false if there
     * is none, in which case [current] remains the best upstream for the request.
     */
    fun reserveAfter(current: UpstreamId): Boolean {
        if (!allowsReplacement || timeLeft() < minimumAttemptTime(route)) return false
        if (lastRejection != null && excluded.size + 1 >= MAXIMUM_UPSTREAMS) return false
        if (!canMeetDeadline(excluded + current)) return false
        releaseReserved()
        // The retry first, since a choice counts as a request to the upstream.
        if (!retries.tryAcquire()) return false
        reserved = choose(excluded + current) as? PlacementResult.Chosen
        if (reserved == null) retries.release()
        return reserved != null
    }

    /** Returns what was reserved and not used. */
    fun releaseReserved() {
        if (reserved == null) return
        reserved = null
        retries.release()
    }

    /** Records that the attempt at [upstream] ended with [outcome]. */
    fun record(upstream: UpstreamId, outcome: AttemptOutcome) {
        excluded += upstream
        if (outcome !is AttemptOutcome.NotSent) sentAttempts++
        when (outcome) {
            is AttemptOutcome.Failed, is AttemptOutcome.Unknown -> possibleExecutions++
            is AttemptOutcome.NotRun ->
                lastRejection = Failure.UpstreamRefused(upstream, outcome.reason, RETRY_AFTER)
            else -> lastRejection = Failure.UpstreamUnreachable(upstream, RETRY_AFTER)
        }
    }

    private fun exhaustionFailure(): Failure? =
        when {
            !timeLeft().isPositive() -> Failure.NoUpstream(pool, "the deadline passed", RETRY_AFTER)
            !allowsExecution(possibleExecutions) ->
                Failure.NoUpstream(pool, "no further attempts are allowed", RETRY_AFTER)
            excluded.size >= MAXIMUM_UPSTREAMS -> lastRejection
            else -> null
        }

    private fun allowsExecution(earlier: Int) = earlier == 0 || (route.idempotent && earlier < route.maximumAttempts)

    private fun denied(reason: String, retryAfter: Duration) =
        NextAttempt.Denied(Failure.NoUpstream(pool, reason, retryAfter))

    private companion object {
        /** Maximum number of upstreams that are tried for one request. */
        const val MAXIMUM_UPSTREAMS = 4
        val RETRY_AFTER = 300.milliseconds
    }
}
