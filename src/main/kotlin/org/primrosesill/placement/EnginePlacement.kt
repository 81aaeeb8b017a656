/*
 * Places prompts at the engine that can serve them with the least work, among those that do not carry far more than the
 * mean of their pool. A prompt of which no engine has read anything goes to the first engine in its ranking, which is the
 * same at all routers, so that the next one finds it there.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId

internal class EnginePlacement(
    private val zone: AvailabilityZoneId,
    private val activity: UpstreamActivity,
    private val index: PrefixIndex,
) {
    /** Returns where the prompt of [request] goes; [candidates] is not empty and holds what may get it. */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<KnownUpstream>,
        sources: List<KnownUpstream>,
        fleet: FleetLoad,
    ): PlacementResult.Chosen {
        val held = heldTokens(prompt)
        val engines = candidates.map { candidate(it, held, fleet) }
        val open = belowBound(engines)
        val chosen =
            if (isNew(
                    prompt,
                    held,
                )
            ) {
                firstRanked(prompt, open)
            } else {
                cheapest(request, prompt, open, held, sources)
            }
        val source = sourceFor(prompt, chosen, held, sources)
        val sourceTokens = source?.let { held[it.id] } ?: 0
        val read = (prompt.promptTokens - maxOf(chosen.heldTokens, sourceTokens)).coerceAtLeast(0)
        return PlacementResult.Chosen(chosen.upstream, source, read, basis(prompt, chosen, source, engines, held))
    }

    private fun basis(
        prompt: Prompt,
        chosen: EngineCandidate,
        source: KnownUpstream?,
        engines: List<EngineCandidate>,
        held: Map<UpstreamId, Int>,
    ): String =
        "holds ${chosen.heldTokens} of ${prompt.promptTokens} tokens, ${source?.id ?: "no other"} ${source?.let {
            held[it.id]
        } ?: 0}, " +
            "best ${held.values.maxOrNull() ?: 0}, prefix ${prompt.sharedPrefixes.lastOrNull()?.id?.value?.toString(
                36,
            )}; " +
            "${chosen.inFlight} in flight, mean ${engines.sumOf {
                it.inFlight
            } / engines.size}; ${engines.size} candidates"

    /** Whether no engine has read all that [prompt] shares with others. */
    private fun isNew(prompt: Prompt, held: Map<UpstreamId, Int>): Boolean {
        val longest = prompt.sharedPrefixes.lastOrNull() ?: return false
        return held.values.none { it >= longest.tokens }
    }

    /** Tokens of the longest beginning of [prompt] that each engine has read. */
    private fun heldTokens(prompt: Prompt): Map<UpstreamId, Int> {
        val held = HashMap<UpstreamId, Int>()
        for (prefix in prompt.sharedPrefixes) index.holdersOf(prefix.id).forEach { held[it] = prefix.tokens }
        return held
    }

    private fun candidate(upstream: KnownUpstream, held: Map<UpstreamId, Int>, fleet: FleetLoad) =
        EngineCandidate(
            upstream = upstream,
            inFlight = activity.inFlight(upstream.id) + (fleet.othersInFlight[upstream.id] ?: 0),
            heldTokens = held[upstream.id] ?: 0,
            unreadTokens = activity.unreadTokens(upstream.id),
            failureRate = activity.failureRate(upstream.id),
        )

    /** The engines that do not carry far more than the mean, or those that carry least. */
    private fun belowBound(engines: List<EngineCandidate>): List<EngineCandidate> {
        val mean = engines.sumOf { it.inFlight }.toDouble() / engines.size
        val bound = mean * LOAD_MULTIPLE + LOAD_SLACK
        return engines
            .filter { it.inFlight + 1 <= bound && it.inFlight < it.upstream.registration.slots }
            .ifEmpty { engines.sortedBy { it.inFlight }.take(LEAST_LOADED) }
    }

    private fun firstRanked(prompt: Prompt, engines: List<EngineCandidate>): EngineCandidate =
        engines.maxBy { rank(prompt, it.upstream.id) - if (it.failureRate > 0.1) Long.MAX_VALUE / 2 else 0 }

    private fun cheapest(
        request: PlacementRequest,
        prompt: Prompt,
        engines: List<EngineCandidate>,
        held: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): EngineCandidate {
        val best = sources.maxOfOrNull { held[it.id] ?: 0 } ?: 0
        val placed = PlacedPrompt(prompt.promptTokens, best, request.latencyTarget, request.bodyBytes, zone)
        return engines.minWith(compareBy({ engineCost(placed, it) }, { -rank(prompt, it.upstream.id) }))
    }

    /** An engine from which [chosen] can fetch what it lacks, rather one of its own zone. */
    private fun sourceFor(
        prompt: Prompt,
        chosen: EngineCandidate,
        held: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): KnownUpstream? {
        val others = sources.filter { it.id != chosen.upstream.id }
        val holders = others.filter { (held[it.id] ?: 0) > chosen.heldTokens }
        val zone = chosen.upstream.registration.availabilityZone
        return holders.maxWithOrNull(compareBy({ held[it.id] }, { it.registration.availabilityZone == zone }))
            ?: if (held.isEmpty()) others.maxByOrNull { rank(prompt, it.id) } else null
    }

    private fun rank(prompt: Prompt, upstream: UpstreamId): Long {
        val key =
            prompt.sharedPrefixes
                .lastOrNull()
                ?.id
                ?.value ?: 0
        return Hashing
            .komihash5_0()
            .hashStream()
            .putLong(key)
            .putString(upstream.value)
            .asLong ushr 2
    }

    private companion object {
        const val LOAD_MULTIPLE = 1.6
        const val LOAD_SLACK = 2.5
        const val LEAST_LOADED = 2
    }
}
