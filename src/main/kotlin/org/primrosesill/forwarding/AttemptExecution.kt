/*
 * One attempt: sends a request to an upstream, relays its response and counts the request in flight there.
 */
package org.primrosesill.forwarding

import org.primrosesill.placement.PlacementResult
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import kotlin.time.Duration.Companion.milliseconds

/**
 * What an attempt needs from the request that it belongs to.
 *
 * @property claim must be acquired before anything is written to the caller
 * @property watch measures the waits for the upstream; null if no other attempt may follow
 * @property onSent called when the request is sent, after a connection was established
 */
internal class AttemptControl(val claim: ResponseClaim, val watch: StallWatch?, val onSent: () -> Unit)

internal class AttemptExecution(private val dependencies: ForwarderDependencies) {
    private val relay = ResponseRelay(dependencies)

    /**
     * Sends the request of [context] to the upstream of [placement] and relays its response. What is counted for the attempt is
     * released when this function returns or is cancelled.
     */
    suspend fun execute(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        callerResponse: OutboundResponse,
        control: AttemptControl,
    ): AttemptOutcome {
        val upstream = placement.upstream.id
        val activity = dependencies.activity
        val prompt = PendingPrompt(placement)
        activity.recordStart(upstream, placement.prefillTokens)
        dependencies.services.recordStart(upstream)
        try {
            val attempt =
                AttemptInProgress(
                    placement.upstream,
                    { prompt.markPrefilled(context) },
                    context.timeLeft(),
                    control.claim,
                    control.watch,
                    placement.prefillTokens,
                )
            val result = exchange(context, placement, attempt, callerResponse, control)
            if (result !is ExchangeResult.Responded) activity.recordConnectionFailure(upstream)
            return when (result) {
                is ExchangeResult.Responded -> result.value
                is ExchangeResult.NotSent -> AttemptOutcome.NotSent(result.reason)
                is ExchangeResult.MalformedResponse -> AttemptOutcome.Malformed(result.defect)
                is ExchangeResult.ConnectionFailed -> AttemptOutcome.Unknown(result.reason, connectionLost = true)
                ExchangeResult.TimedOut -> AttemptOutcome.Unknown("no response before the deadline")
            }
        } finally {
            control.watch?.stop()
            prompt.release()
            activity.recordEnd(upstream)
            dependencies.services.recordEnd(upstream)
        }
    }

    private suspend fun exchange(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        attempt: AttemptInProgress,
        callerResponse: OutboundResponse,
        control: AttemptControl,
    ): ExchangeResult<AttemptOutcome> {
        val onSent = {
            control.onSent()
            control.watch?.begin(UpstreamWait(responseTimeout(context.route)))
            Unit
        }
        return dependencies.client.exchange(upstreamCall(context, placement, onSent)) { response ->
            control.watch?.end()
            relay.relay(context, attempt, response, callerResponse)
        }
    }

    private fun upstreamCall(
        context: RequestContext,
        placement: PlacementResult.Chosen,
        onSent: () -> Unit,
    ): UpstreamCall {
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
            timeout = context.timeLeft().coerceAtLeast(1.milliseconds),
            host = request.headers["Host"].orEmpty(),
            connection =
                if (context.route.idempotent) {
                    ConnectionUse.Pooled(MAXIMUM_CONNECTION_IDLE)
                } else {
                    ConnectionUse.NewPersistent
                },
            matchHead = { dependencies.protocol.matchRequest(context.metadata.id, it) },
            onSent = onSent,
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

    private companion object {
        val MAXIMUM_CONNECTION_IDLE = 4_000.milliseconds
    }
}
