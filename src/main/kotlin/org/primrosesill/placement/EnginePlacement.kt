/*
 * Places prompts at the engine that can serve them with the least work, among those that do not carry far more than the
 * mean of their pool. A prompt of which no engine has read anything goes to the first engine in its ranking, which is the
 * same at all routers, so that the next one finds it there.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.UpstreamId

internal class EnginePlacement(private val inputs: PlacementInputs) {
    private val activity = inputs.activity
    private val loads = inputs.loads
    private val index = inputs.index

    /** Returns where the prompt of [request] goes; [candidates] is not empty and holds what may get it. */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<KnownUpstream>,
        sources: List<KnownUpstream>,
        pool: List<KnownUpstream>,
    ): PlacementResult.Chosen {
        val held = index.heldTokens(prompt)
        val engines = candidates.map { candidate(it, held) }
        val bound = loadBound(pool)
        val open = engines.filter { it.isBelow(bound) }.ifEmpty { leastLoaded(engines) }
        val isNew = isNew(prompt, held)
        val chosen = if (isNew) firstRanked(prompt, open) else cheapest(request, prompt, open, held, sources)
        if (chosen.inFlight + 1 > bound * CROWDED_PART) inputs.crowded()
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
    ): String {
        val offered = source?.let { ", ${it.id} offers ${held[it.id] ?: 0}" }.orEmpty()
        val total = engines.sumOf { it.inFlight }
        return "holds ${chosen.heldTokens} of ${prompt.promptTokens} tokens$offered, " +
            "best ${held.values.maxOrNull() ?: 0}, part ${prompt.sharedParts.lastOrNull()?.id}; " +
            "${chosen.inFlight} in flight, $total at ${engines.size} engines"
    }

    /** Whether no engine has read all that [prompt] shares with others. */
    private fun isNew(prompt: Prompt, held: Map<UpstreamId, Int>): Boolean =
        prompt.sharedTokens > 0 && held.values.none { it >= prompt.sharedTokens }

    private fun candidate(upstream: KnownUpstream, held: Map<UpstreamId, Int>) =
        EngineCandidate(
            upstream = upstream,
            inFlight = loads.of(upstream.id),
            heldTokens = held[upstream.id] ?: 0,
            unreadTokens = activity.unreadTokens(upstream.id),
            failureRate = activity.failureRate(upstream.id),
        )

    /**
     * The load that no engine should exceed. Engines that get no new work count in the mean as well, so that a few that take
     * all of it share it evenly.
     */
    private fun loadBound(pool: List<KnownUpstream>): Double =
        pool.sumOf { loads.of(it.id) } * LOAD_MULTIPLE / pool.size + LOAD_SLACK

    private fun EngineCandidate.isBelow(bound: Double) = inFlight + 1 <= bound && inFlight < upstream.registration.slots

    private fun leastLoaded(engines: List<EngineCandidate>): List<EngineCandidate> {
        val least = engines.minOf { it.inFlight }
        return engines.filter { it.inFlight == least }
    }

    private fun firstRanked(prompt: Prompt, engines: List<EngineCandidate>): EngineCandidate =
        engines.maxWith(compareBy({ it.failureRate <= FAILING_RATE }, { rank(prompt, it.upstream.id) }))

    private fun cheapest(
        request: PlacementRequest,
        prompt: Prompt,
        engines: List<EngineCandidate>,
        held: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): EngineCandidate {
        val best = sources.maxOfOrNull { held[it.id] ?: 0 } ?: 0
        val bytes = request.bodyBytes + prompt.maximumAnswerTokens * ANSWER_BYTES_PER_TOKEN
        val placed = PlacedPrompt(prompt.promptTokens, best, request.latencyTarget, bytes, inputs.zone)
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
        val hash = Hashing.komihash5_0().hashStream()
        prompt.sharedParts.forEach { hash.putString(it.id.value) }
        return hash.putString(upstream.value).asLong ushr 2
    }

    private companion object {
        const val LOAD_MULTIPLE = 2.0
        const val LOAD_SLACK = 2.0

        /** Part of the bound from which on routers tell each other at once. */
        const val CROWDED_PART = 0.7

        /** Part of its answers that failed, above which an engine is not the first choice for a prompt that nobody holds. */
        const val FAILING_RATE = 0.1

        /** Bytes of an event stream for each token, with the text around it. */
        const val ANSWER_BYTES_PER_TOKEN = 16
    }
}
