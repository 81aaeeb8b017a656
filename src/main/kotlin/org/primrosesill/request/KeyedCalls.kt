/*
 * Non-idempotent calls with an idempotency key. The claim of a key is settled exactly once: completed with the answer,
 * released when nothing ran, or kept. The caller leaving does not stop such a call, because a repeat needs its answer.
 */
package org.primrosesill.request

import org.primrosesill.claim.KeyClaim
import org.primrosesill.claim.KeyClaimResult
import org.primrosesill.claim.KeyedRequest
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.Ran
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.Failure
import java.util.Base64

internal class KeyedCalls(
    private val dependencies: RequestFlowDependencies,
    private val attempts: Attempts,
    private val metrics: RequestMetrics,
) {
    suspend fun run(work: Work, key: String, caller: CallerAnswer): Outcome {
        val until = dependencies.currentMillis() + work.timeLeft().inWholeMilliseconds
        val result =
            dependencies.keyClaims
                .claim(KeyedRequest(work.contract, key, work.digest, until))
                .fold({
                    return if (it.ran ==
                        org.primrosesill.generated.Ran.NOT_RUN
                    ) {
                        Outcome.NotRun(it)
                    } else {
                        Outcome.Unknown(it)
                    }
                }, { it })
        return when (result) {
            is KeyClaimResult.Repeated -> Outcome.Buffered(replay(work, result.answer))
            is KeyClaimResult.Granted -> runClaimed(work, result.claim, caller)
        }
    }

    private fun refused(failure: Failure): Outcome =
        if (failure.ran == Ran.NOT_RUN) Outcome.NotRun(failure) else Outcome.Unknown(failure)

    private suspend fun runClaimed(work: Work, claim: KeyClaim, caller: CallerAnswer): Outcome {
        var settled = false
        try {
            val outcome = attempts.run(work) { upstream, _, answer -> keepWhole(work, upstream, answer, caller) }
            settled = true
            settle(work, claim, outcome)
            return outcome
        } finally {
            if (!settled) claim.keep()
        }
    }

    private suspend fun settle(work: Work, claim: KeyClaim, outcome: Outcome) =
        when (outcome) {
            is Outcome.Buffered -> claim.complete(store(work, claim, outcome.answer))
            is Outcome.NotRun -> claim.release()
            // An answer that is too large to be stored ran, but a repeat cannot be given it.
            is Outcome.Delivered, is Outcome.Unknown, is Outcome.Cut -> claim.keep()
        }

    private fun store(work: Work, claim: KeyClaim, answer: PlainAnswer) =
        StoredAnswer(
            resource = claim.resource,
            status = answer.head.status,
            contentType = answer.head.headers["content-type"].orEmpty(),
            bodyBase64 = Base64.getEncoder().encodeToString(answer.body),
            requestDigest = work.digest,
            keepUntilMillis = dependencies.currentMillis() + work.contract.keyRetentionMillis,
        )

    private fun replay(work: Work, stored: StoredAnswer): PlainAnswer {
        metrics.replayed(work.pool)
        val subject = EventSubject(work.id, stored.upstream, work.contract.customer, stored.resource.value)
        dependencies.events.record(EventType.ANSWER_REPLAYED, "the idempotency key was used before", subject)
        val body = Base64.getDecoder().decode(stored.bodyBase64)
        val type =
            stored.contentType
                .takeIf { it.isNotEmpty() }
                ?.let { mapOf("content-type" to it) }
                .orEmpty()
        val headers = type + ("idempotency-replayed" to "true")
        return PlainAnswer(AnswerHead(stored.status, headers, body.size.toLong()), body)
    }
}
