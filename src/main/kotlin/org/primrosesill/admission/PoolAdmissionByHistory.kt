/*
 * Decides which requests a pool of engines gets, by the expected time until their first event. Nothing is refused while an
 * engine is known to have free capacity, or nothing recent is known of one.
 *
 * Load pattern: a pool under 2.5 times its capacity with urgent short prompts and less urgent long ones.
 */
package org.primrosesill.admission

import org.primrosesill.model.PoolId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

internal class PoolAdmissionByHistory : PoolAdmission {
    private val pools = HashMap<PoolId, PoolHistory>()

    override fun decide(request: AdmissionRequest): AdmissionDecision {
        val history = pools.getOrPut(request.pool) { PoolHistory() }
        history.recordOffered(request)
        val queues = history.queues(request.candidates)
        val isFree = queues.hasFree || request.candidates.isEmpty()
        val queueMillis = if (isFree) 0.0 else queueMillis(history, queues, request)
        val maximum = history.classes().size - 1
        val change = history.level.update(queueMillis, urgentTargetMillis(history), maximum, request.nowMillis)
        val decision =
            when {
                isFree -> AdmissionDecision(AdmissionResult.FREE_CAPACITY, shortage = change)
                request.resumesStream -> AdmissionDecision(AdmissionResult.RESUMED, shortage = change)
                else -> decideWithoutFree(history, queues, request, queueMillis, change)
            }
        history.recordDecision(request, decision.result.isAdmitted)
        return decision
    }

    override fun canMeetDeadline(request: AdmissionRequest): Boolean {
        val queues = PoolQueues(request.candidates)
        if (queues.hasFree || request.candidates.isEmpty() || request.resumesStream) return true
        val history = pools[request.pool] ?: return true
        return expectedMillis(history, queues, request) <= request.timeLeft.millis * CERTAINTY
    }

    private fun decideWithoutFree(
        history: PoolHistory,
        queues: PoolQueues,
        request: AdmissionRequest,
        queueMillis: Double,
        change: Boolean?,
    ): AdmissionDecision {
        val expected = expectedMillis(history, queues, request)
        val missesDeadline = expected > request.timeLeft.millis * CERTAINTY
        val admittedFraction = if (missesDeadline) MINIMUM_FRACTION else fractionOf(history, request)
        val keepsMinimum =
            request.draw < MINIMUM_FRACTION || history.refusedInRow(request) >= MAXIMUM_REFUSED_IN_ROW
        val result =
            when {
                !missesDeadline && request.draw < admittedFraction -> AdmissionResult.WITHIN_SHARE
                keepsMinimum -> AdmissionResult.MINIMUM_SHARE
                missesDeadline -> AdmissionResult.REFUSED_DEADLINE
                else -> AdmissionResult.REFUSED_SHORTAGE
            }
        val wait = if (missesDeadline) expected - request.timeLeft.millis * CERTAINTY else queueMillis
        val explanation = explanationOf(result, request, expected, queueMillis, admittedFraction)
        val retryAfter = if (result.isAdmitted) Duration.ZERO else retryAfter(history, request, wait)
        return AdmissionDecision(result, retryAfter, explanation, change)
    }

    private fun explanationOf(
        result: AdmissionResult,
        request: AdmissionRequest,
        expectedMillis: Double,
        queueMillis: Double,
        admittedFraction: Double,
    ): String =
        "${result.text}: first event expected in ${expectedMillis.toInt()} ms at the best of " +
            "${request.candidates.size} engines, ${request.timeLeft.inWholeMilliseconds} ms left, " +
            "${request.prefillTokens} tokens to prefill, queue of ${queueMillis.toInt()} ms at the median engine, " +
            "${(admittedFraction * 100).toInt()}% admitted"

    private fun expectedMillis(history: PoolHistory, queues: PoolQueues, request: AdmissionRequest): Double {
        val perWaiting = history.tokensPerWaiting(request.priority, request.nowMillis)
        return queues.leastMillis(perWaiting, request.prefillTokens, request.prefillTokensPerMillisecond)
    }

    /**
     * Returns the expected time in the queue of the median engine. Counts all waiting requests, since reports don't tell
     * priorities.
     */
    private fun queueMillis(history: PoolHistory, queues: PoolQueues, request: AdmissionRequest): Double {
        val perWaiting = history.tokensPerWaiting(Int.MAX_VALUE, request.nowMillis)
        return queues.medianWaiting * perWaiting / request.prefillTokensPerMillisecond
    }

    private fun urgentTargetMillis(history: PoolHistory): Double =
        history
            .classes()
            .first()
            .second.latencyTarget.millis
            .coerceAtLeast(1.0)

    /**
     * Returns the fraction of the requests like [request] to admit. The least urgent class is reduced first, and the most
     * urgent one not at all.
     */
    private fun fractionOf(history: PoolHistory, request: AdmissionRequest): Double {
        val classes = history.classes()
        val rank = classes.indexOfFirst { it.first == request.priority }
        val level = history.level.value
        if (level <= 0 || rank == 0) return 1.0
        val ownFraction = 1 - (level - (classes.size - 1 - rank))
        val moreUrgent = classes.take(rank).minOf { admittedFraction(it.second, request.nowMillis) }
        val classFraction = minOf(ownFraction, moreUrgent).coerceIn(MINIMUM_FRACTION, 1.0)
        if (classFraction == 1.0) return 1.0
        return classes[rank]
            .second
            .accountFraction(request.account, classFraction, request.nowMillis)
            .coerceAtLeast(MINIMUM_FRACTION)
    }

    /** Returns the fraction that was admitted; one more request counts, so that a single refusal does not weigh fully. */
    private fun admittedFraction(history: ClassHistory, nowMillis: Long): Double =
        (history.admitted.at(nowMillis) + 1) / (history.offered.at(nowMillis) + 1)

    /** Less urgent classes wait longer, so that they don't return before more urgent ones. */
    private fun retryAfter(history: PoolHistory, request: AdmissionRequest, waitMillis: Double): Duration {
        val rank = history.classes().indexOfFirst { it.first == request.priority }
        val millis = waitMillis.coerceIn(MINIMUM_RETRY_MILLIS * (rank + 1), MAXIMUM_RETRY_MILLIS)
        return (millis * (1 + request.jitter * JITTER)).milliseconds
    }

    private val Duration.millis get() = toDouble(DurationUnit.MILLISECONDS)

    private companion object {
        /** How much longer than the time left an expected time must be, as reports are up to 2.4 s old. */
        const val CERTAINTY = 1.5

        /** Fraction of its rate that each class, account and session keeps, so that an error shows in its responses. */
        const val MINIMUM_FRACTION = 0.1
        const val MAXIMUM_REFUSED_IN_ROW = 9
        const val JITTER = 0.5

        /** About the age of the newest gossiped load: nothing new is known earlier. */
        const val MINIMUM_RETRY_MILLIS = 300.0
        const val MAXIMUM_RETRY_MILLIS = 10_000.0
    }
}
