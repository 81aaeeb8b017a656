/*
 * Records what happens to the attempts of requests: in the event log, in the metrics, and as evidence on upstreams.
 */
package org.primrosesill.forwarding

import org.primrosesill.generated.EventType
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PlacementResult
import kotlin.time.Duration

/** Confined to the traffic thread. */
internal class AttemptRecorder(private val dependencies: ForwarderDependencies) {
    /** Records that the request is sent as [placement] says. */
    fun recordRouted(context: RequestContext, placement: PlacementResult.Chosen) =
        record(EventType.REQUEST_ROUTED, context, placement.upstream.id, placement.explanation)

    /** Records that another attempt begins, as [upstream] has sent nothing for [waited]. That counts as a failure of [upstream]. */
    fun recordStalled(context: RequestContext, upstream: UpstreamId, wait: UpstreamWait, waited: Duration) {
        dependencies.activity.recordConnectionFailure(upstream)
        val sent = if (wait.hasIncompleteData()) "only incomplete data" else "nothing"
        val cause =
            "received $sent for ${waited.inWholeMilliseconds} ms, ${wait.limit.inWholeMilliseconds} ms allowed; " +
                "the attempt stays open beside the next one"
        record(EventType.REQUEST_STALLED, context, upstream, cause)
    }

    /** Records that the attempt at [upstream], beside which others had begun, has made progress. */
    fun recordContinued(context: RequestContext, upstream: UpstreamId) =
        record(EventType.REQUEST_CONTINUED, context, upstream, "made progress after others had been asked")

    /** Records the [outcome] of an attempt at [upstream] that took [duration]. */
    fun recordOutcome(context: RequestContext, upstream: UpstreamId, outcome: AttemptOutcome, duration: Duration) {
        val cause = "${outcome.description}, attempt took ${duration.inWholeMilliseconds} ms"
        record(eventTypeOf(outcome), context, upstream, cause)
        dependencies.metrics.attempted(context.pool, outcome.javaClass.simpleName)
        if (outcome is AttemptOutcome.Delivered) dependencies.services.recordCompleted(upstream, duration)
        if (outcome is AttemptOutcome.NotRun) dependencies.services.recordNotRun(upstream, outcome.isFull)
        recordCrashEvidence(context, upstream, outcome)
    }

    private fun eventTypeOf(outcome: AttemptOutcome): EventType =
        when (outcome) {
            is AttemptOutcome.Delivered -> EventType.REQUEST_FINISHED
            is AttemptOutcome.Cut -> EventType.ANSWER_CUT
            is AttemptOutcome.Unknown -> EventType.OUTCOME_UNKNOWN
            is AttemptOutcome.Superseded -> EventType.ATTEMPT_SUPERSEDED
            else -> EventType.REQUEST_RETRIED
        }

    private fun recordCrashEvidence(context: RequestContext, upstream: UpstreamId, outcome: AttemptOutcome) {
        if (outcome.connectionLost) dependencies.activity.recordConnectionLost(upstream)
        val prompt = context.metadata.prompt ?: return
        if (outcome.connectionLost) {
            dependencies.crashingParts.recordCrash(prompt, upstream)
            dependencies.onCrashEvidence()
        } else if (outcome is AttemptOutcome.Delivered && outcome.status in 200..299) {
            dependencies.crashingParts.recordCompleted(prompt)
        }
    }

    private fun record(type: EventType, context: RequestContext, upstream: UpstreamId, cause: String) =
        dependencies.events.record(type, context.metadata.id, upstream, cause)
}
