/*
 * Asks the admission of a pool of engines before the attempts of a request, with what this gateway knows of the engines, and
 * reports what was decided. Without load-aware scheduling, and for plain services, every request is admitted.
 *
 * Load pattern: a pool of engines under more than its capacity, see [org.primrosesill.admission.PoolAdmission].
 */
package org.primrosesill.forwarding

import org.primrosesill.admission.AdmissionCandidate
import org.primrosesill.admission.AdmissionDecision
import org.primrosesill.admission.AdmissionRequest
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.generated.EventType
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.LoadSource
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.Prompt

/** Confined to the traffic thread. */
internal class AttemptAdmission(private val dependencies: ForwarderDependencies) {
    private val known = HashMap<PoolId, KnownCandidates>()

    /** Returns the failure to report if the request of [context] is not admitted, otherwise null. */
    fun refusal(context: RequestContext): Failure? {
        val prompt = context.metadata.prompt ?: return null
        if (!dependencies.isLoadAware()) return null
        val decision = dependencies.poolAdmission.decide(requestOf(context, prompt, candidates(context.pool)))
        record(context, decision)
        return if (decision.result.isAdmitted) {
            null
        } else {
            Failure.Overloaded(context.priority, decision.retryAfter, "in '${context.pool}': ${decision.explanation}")
        }
    }

    /** Returns whether a further attempt of [context] at an upstream other than [excluded] may still meet the deadline. */
    fun canMeetDeadline(context: RequestContext, excluded: Set<UpstreamId>): Boolean {
        val prompt = context.metadata.prompt ?: return true
        if (!dependencies.isLoadAware()) return true
        val upstreams = acceptingUpstreams(context.pool).filter { it.id !in excluded }
        return dependencies.poolAdmission.canMeetDeadline(requestOf(context, prompt, candidatesOf(upstreams)))
    }

    private fun record(context: RequestContext, decision: AdmissionDecision) {
        dependencies.metrics.admissionDecided(context.pool, context.priority, decision.result.text)
        val isShort = decision.shortage ?: return
        val state = if (isShort) "short of capacity" else "no longer short of capacity"
        val cause = "pool '${context.pool}' is $state; ${decision.explanation.ifEmpty { decision.result.text }}"
        dependencies.events.record(EventType.ADMISSION_CHANGED, null, null, cause)
    }

    private fun requestOf(
        context: RequestContext,
        prompt: Prompt,
        candidates: List<AdmissionCandidate>,
    ): AdmissionRequest {
        val cachedTokens =
            dependencies.index
                .cachedTokens(prompt)
                .values
                .maxOrNull() ?: 0
        return AdmissionRequest(
            pool = context.pool,
            priority = context.priority,
            latencyTarget = context.route.latencyTarget,
            timeLeft = context.timeLeft(),
            prefillTokens = (prompt.promptTokens - cachedTokens).coerceAtLeast(0),
            account = context.account?.customer,
            session =
                prompt.parts
                    .lastOrNull()
                    ?.id
                    ?.value,
            resumesStream = context.metadata.lastEventId != null || context.lastEventId != null,
            prefillTokensPerMillisecond = dependencies.speeds.prefillTokensPerMillisecond(context.pool),
            candidates = candidates,
            nowMillis = dependencies.nowMillis(),
            draw = dependencies.random.nextDouble(),
            jitter = dependencies.random.nextDouble(),
        )
    }

    private fun candidates(pool: PoolId): List<AdmissionCandidate> {
        val now = dependencies.nowMillis()
        val view = dependencies.view()
        known[pool]?.takeIf { it.view === view && now - it.atMillis < CANDIDATES_EXPIRY_MILLIS }?.let { return it.list }
        val list = candidatesOf(acceptingUpstreams(pool))
        known[pool] = KnownCandidates(list, view, now)
        return list
    }

    private fun acceptingUpstreams(pool: PoolId): List<KnownUpstream> {
        val accepting = dependencies.notices.accepting(dependencies.view().eligible(pool))
        return accepting.filterNot { dependencies.activity.isSuspect(it.id) }.ifEmpty { accepting }
    }

    private fun candidatesOf(upstreams: List<KnownUpstream>): List<AdmissionCandidate> {
        val loads = dependencies.loads.estimates(upstreams.map { it.id })
        return upstreams.map { upstream ->
            candidate(loads[upstream.id], upstream.registration.slots, dependencies.speeds.slowness(upstream.id))
        }
    }

    /** Where the waiting requests are unknown, those beyond the slots are waiting. */
    private fun candidate(load: LoadEstimate, slots: Int, slowness: Double): AdmissionCandidate {
        val waiting = load.waiting ?: (load.inFlight - slots).coerceAtLeast(0)
        val running = (load.inFlight - waiting).coerceAtLeast(0).takeIf { load.source != LoadSource.NO_REPORT }
        return AdmissionCandidate(running, waiting, slots, slowness)
    }

    private class KnownCandidates(val list: List<AdmissionCandidate>, val view: DirectoryView, val atMillis: Long)

    private companion object {
        /** Short beside the age of gossiped loads; bounds the cost of a decision in a pool of hundreds of engines. */
        const val CANDIDATES_EXPIRY_MILLIS = 50L
    }
}
