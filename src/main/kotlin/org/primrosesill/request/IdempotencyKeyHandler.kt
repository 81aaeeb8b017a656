/*
 * Non-idempotent requests with an idempotency key. The claim of a key is settled exactly once: completed with the
 * response, released if nothing ran, or marked as of unknown outcome. Such a request continues after its caller
 * disconnects, because a repeated request needs its response.
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

internal class IdempotencyKeyHandler(
    private val dependencies: RequestFlowDependencies,
    private val upstreamAttempts: UpstreamAttempts,
    private val metrics: RequestMetrics,
) {
    suspend fun run(context: AcceptedRequest, key: String, callerResponse: CallerResponse): Outcome {
        val heldUntilMillis = dependencies.currentMillis() + context.timeLeft().inWholeMilliseconds
        val result =
            dependencies.keyClaims
                .claim(KeyedRequest(context.contract, key, context.requestDigest, heldUntilMillis))
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
            is KeyClaimResult.Replayed -> Outcome.Buffered(replay(context, result.response))
            is KeyClaimResult.Granted -> runWithClaim(context, result.claim, callerResponse)
        }
    }

    private fun outcomeOf(failure: Failure): Outcome =
        if (failure.ran == Ran.NOT_RUN) Outcome.NotRun(failure) else Outcome.Unknown(failure)

    private suspend fun runWithClaim(
        context: AcceptedRequest,
        claim: KeyClaim,
        callerResponse: CallerResponse,
    ): Outcome {
        var settled = false
        try {
            val outcome =
                upstreamAttempts.run(context) { upstream, _, response ->
                    bufferResponse(context, upstream, response, callerResponse)
                }
            settled = true
            settle(context, claim, outcome)
            return outcome
        } finally {
            if (!settled) claim.markOutcomeUnknown()
        }
    }

    private suspend fun settle(context: AcceptedRequest, claim: KeyClaim, outcome: Outcome) =
        when (outcome) {
            is Outcome.Buffered -> claim.complete(store(context, claim, outcome.response))
            is Outcome.NotRun -> claim.release()
            // Delivered: the request ran, but its response is too large to be stored for repeated requests.
            is Outcome.Delivered, is Outcome.Unknown, is Outcome.Truncated -> claim.markOutcomeUnknown()
        }

    private fun store(context: AcceptedRequest, claim: KeyClaim, response: BufferedResponse) =
        StoredAnswer(
            resource = claim.resource,
            status = response.head.status,
            contentType = response.head.headers["content-type"].orEmpty(),
            bodyBase64 = Base64.getEncoder().encodeToString(response.body),
            requestDigest = context.requestDigest,
            keepUntilMillis = dependencies.currentMillis() + context.contract.keyRetentionMillis,
        )

    private fun replay(context: AcceptedRequest, stored: StoredAnswer): BufferedResponse {
        metrics.replayed(context.pool)
        val subject = EventSubject(context.id, stored.upstream, context.contract.customer, stored.resource.value)
        dependencies.events.record(EventType.ANSWER_REPLAYED, "the idempotency key was used before", subject)
        val body = Base64.getDecoder().decode(stored.bodyBase64)
        val type =
            stored.contentType
                .takeIf { it.isNotEmpty() }
                ?.let { mapOf("content-type" to it) }
                .orEmpty()
        val headers = type + ("idempotency-replayed" to "true")
        return BufferedResponse(CallerResponseHead(stored.status, headers, body.size.toLong()), body)
    }
}
