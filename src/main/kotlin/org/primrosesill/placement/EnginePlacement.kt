/*
 * Places each prompt on an engine whose load is not far above the mean of its pool. How the engine is selected depends on
 * what this router knows of the loads: in a small fleet all requests in flight, in a large one only late reports.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.load.LoadBasis
import org.primrosesill.load.PoolLoads
import org.primrosesill.load.relativeSlowness
import org.primrosesill.model.UpstreamId
import java.util.Locale

internal class EnginePlacement(private val dependencies: PlacementDependencies) {
    private val activity = dependencies.activity
    private val loads = dependencies.loads
    private val index = dependencies.index
    private val popularity = PartPopularity(dependencies.nowMillis)

    /**
     * Returns the placement of [request].
     *
     * @param candidates engines that may get the request; not empty
     * @param sources engines from which the chosen one can fetch cached parts
     * @param pool all engines of the pool, over which the load bound is computed
     */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<KnownUpstream>,
        sources: List<KnownUpstream>,
        pool: List<KnownUpstream>,
    ): PlacementResult.Chosen {
        val cachedTokens = index.cachedTokens(prompt)
        val poolLoads = loads.estimates(pool.map { it.id })
        val slowness = dependencies.speeds.relativeSlowness(candidates.map { it.id })
        val engines = candidates.map { candidate(it, prompt, poolLoads, cachedTokens, slowness[it.id] ?: 1.0) }
        val bound = loadBound(poolLoads)
        val available = engines.filter { it.isBelow(bound) }.ifEmpty { lastResort(engines, poolLoads.basis) }
        val choice =
            EngineChoice(
                prompt,
                costInputs(request, prompt, cachedTokens, sources),
                available,
                meanLoad = engines.sumOf { it.averageLoad } / engines.size,
                isUncached = isUncached(prompt, cachedTokens),
                replicas = popularity.replicas(prompt, engines.size),
            )
        popularity.record(prompt)
        val chosen = selectionFor(poolLoads.basis).select(choice)
        loads.recordDispatch(chosen.upstream.id, poolLoads)
        if (chosen.load.inFlight + 1 > bound * HIGH_LOAD_FRACTION) dependencies.onHighLoad()
        val source = sourceFor(prompt, chosen, cachedTokens, sources)
        val sourceTokens = source?.let { cachedTokens[it.id] } ?: 0
        val prefillTokens = (prompt.promptTokens - maxOf(chosen.cachedTokens, sourceTokens)).coerceAtLeast(0)
        return PlacementResult.Chosen(
            chosen.upstream,
            source,
            prefillTokens,
            explanationOf(choice, chosen, source, engines, cachedTokens, bound),
        )
    }

    private fun explanationOf(
        choice: EngineChoice,
        chosen: EngineCandidate,
        source: KnownUpstream?,
        engines: List<EngineCandidate>,
        cachedTokens: Map<UpstreamId, Int>,
        bound: Double,
    ): String {
        val prompt = choice.prompt
        val sourceText = source?.let { ", ${it.id} can supply ${cachedTokens[it.id] ?: 0}" }.orEmpty()
        val below = engines.count { it.isBelow(bound) }
        val total = engines.sumOf { it.load.inFlight }
        return "has cached ${chosen.cachedTokens} of ${prompt.promptTokens} prompt tokens$sourceText, " +
            "highest on any engine ${cachedTokens.values.maxOrNull() ?: 0}, " +
            "last shared part ${prompt.sharedParts.lastOrNull()?.id}, replicas ${choice.replicas}; " +
            "${chosen.load.description}, load bound ${bound.toInt()}, " +
            "$below of ${engines.size} candidate engines below it, $total on all of them, " +
            "average ${rounded(chosen.averageLoad)}, mean of the candidates ${rounded(choice.meanLoad)}" +
            imbalanceText() +
            if (dependencies.isLoadAware()) speedText(choice, chosen) else ""
    }

    private fun speedText(choice: EngineChoice, chosen: EngineCandidate): String =
        ", ${rounded(chosen.slowness)} times as slow as the median, " +
            "prefill ${rounded(choice.costInputs.prefillTokensPerMillisecond)} tokens/ms"

    /** Returns whether [prompt] has shared parts and no engine has cached all of them. */
    private fun isUncached(prompt: Prompt, cachedTokens: Map<UpstreamId, Int>): Boolean =
        prompt.sharedTokens > 0 && cachedTokens.values.none { it >= prompt.sharedTokens }

    private fun candidate(
        upstream: KnownUpstream,
        prompt: Prompt,
        loads: PoolLoads,
        cachedTokens: Map<UpstreamId, Int>,
        slowness: Double,
    ) = EngineCandidate(
        upstream = upstream,
        load = loads[upstream.id],
        averageLoad = loads.averageOf(upstream.id),
        rank = rendezvousRank(prompt.sharedParts, upstream.id),
        cachedTokens = cachedTokens[upstream.id] ?: 0,
        pendingPrefillTokens = activity.pendingPrefillTokens(upstream.id),
        failureRate = activity.failureRate(upstream.id),
        slowness = slowness,
    )

    private fun costInputs(
        request: PlacementRequest,
        prompt: Prompt,
        cachedTokens: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): PromptCostInputs {
        val bestCachedTokens = sources.maxOfOrNull { cachedTokens[it.id] ?: 0 } ?: 0
        val bytes = request.bodyBytes + prompt.maximumOutputTokens * RESPONSE_BYTES_PER_TOKEN
        return PromptCostInputs(
            prompt.promptTokens,
            bestCachedTokens,
            request.latencyTarget,
            bytes,
            dependencies.zone,
            dependencies.speeds.prefillTokensPerMillisecond(request.pool),
        )
    }

    private fun selectionFor(basis: LoadBasis): EngineSelection =
        when (basis) {
            LoadBasis.EXCHANGED_COUNTS, LoadBasis.MISSING_COUNTS -> cheapestEngineSelection
            LoadBasis.REPORTS -> if (dependencies.isLoadAware()) loadAwareSelection else loadShareSelection
        }

    /**
     * Returns the load that no engine should exceed. The mean includes engines that get no new requests, so that when a few
     * engines carry all the work, they share it evenly. The bound is lower while counts are missing, since other routers
     * send requests to the cheapest engines between two reports.
     */
    private fun loadBound(loads: PoolLoads): Double =
        when (loads.basis) {
            LoadBasis.EXCHANGED_COUNTS, LoadBasis.REPORTS -> loads.mean * LOAD_MULTIPLE + LOAD_SLACK
            LoadBasis.MISSING_COUNTS -> loads.mean * MISSING_COUNTS_LOAD_MULTIPLE + MISSING_COUNTS_LOAD_SLACK
        }

    private fun EngineCandidate.isBelow(bound: Double) =
        load.inFlight + 1 <= bound && load.inFlight < upstream.registration.slots

    /**
     * Returns the engines for a prompt when all of them are over the bound. All routers of a large fleet would choose the same
     * one with the lowest reported load; with load-aware scheduling their shares decide among all.
     */
    private fun lastResort(engines: List<EngineCandidate>, basis: LoadBasis): List<EngineCandidate> =
        if (basis == LoadBasis.REPORTS && dependencies.isLoadAware()) engines else leastLoaded(engines)

    private fun leastLoaded(engines: List<EngineCandidate>): List<EngineCandidate> {
        val least = engines.minOf { it.load.inFlight }
        return engines.filter { it.load.inFlight == least }
    }

    /**
     * Returns the engine from which [chosen] can fetch the most tokens that it lacks, on a tie preferably in its own zone.
     * If the index has no entry for the prompt, returns the source with the highest rank. Returns null if there is none.
     */
    private fun sourceFor(
        prompt: Prompt,
        chosen: EngineCandidate,
        cachedTokens: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): KnownUpstream? {
        val others = sources.filter { it.id != chosen.upstream.id }
        val holders = others.filter { (cachedTokens[it.id] ?: 0) > chosen.cachedTokens }
        val zone = chosen.upstream.registration.availabilityZone
        return holders.maxWithOrNull(compareBy({ cachedTokens[it.id] }, { it.registration.availabilityZone == zone }))
            ?: if (cachedTokens.isEmpty()) others.maxByOrNull { rendezvousRank(prompt.sharedParts, it.id) } else null
    }

    /** Returns the part of the explanation on how even the load of the pool is, if that decides. */
    private fun imbalanceText(): String =
        if (dependencies.isLoadAware()) ", highest average ${rounded(loads.imbalance)} times the mean" else ""

    private fun rounded(load: Double): String = "%.1f".format(Locale.ROOT, load)

    private companion object {
        const val LOAD_MULTIPLE = 2.0
        const val LOAD_SLACK = 2.0
        const val MISSING_COUNTS_LOAD_MULTIPLE = 1.5
        const val MISSING_COUNTS_LOAD_SLACK = 1.0

        /** Fraction of the load bound above which routers send each other their request counts at once. */
        const val HIGH_LOAD_FRACTION = 0.7

        /** Bytes of an event stream for each output token, including the event framing. */
        const val RESPONSE_BYTES_PER_TOKEN = 16
    }
}
