/*
 * Places each prompt on the engine with the lowest serving cost, among the engines whose load is not far above the mean of
 * their pool. A prompt whose shared parts no engine has cached in full goes to the first engine of its rendezvous hashing
 * order, which is the same on all routers, so that the next request with these parts is placed where they are cached.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.UpstreamId

internal class EnginePlacement(private val dependencies: PlacementDependencies) {
    private val activity = dependencies.activity
    private val loads = dependencies.loads
    private val index = dependencies.index

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
        val engines = candidates.map { candidate(it, poolLoads[it.id], cachedTokens) }
        val bound = loadBound(poolLoads)
        val available = engines.filter { it.isBelow(bound) }.ifEmpty { leastLoaded(engines) }
        val isUncached = isUncached(prompt, cachedTokens)
        val chosen =
            if (isUncached) {
                highestRanked(prompt, available)
            } else {
                cheapest(request, prompt, available, cachedTokens, sources)
            }
        if (chosen.load.inFlight + 1 > bound * HIGH_LOAD_FRACTION) dependencies.onHighLoad()
        val source = sourceFor(prompt, chosen, cachedTokens, sources)
        val sourceTokens = source?.let { cachedTokens[it.id] } ?: 0
        val prefillTokens = (prompt.promptTokens - maxOf(chosen.cachedTokens, sourceTokens)).coerceAtLeast(0)
        return PlacementResult.Chosen(
            chosen.upstream,
            source,
            prefillTokens,
            explanationOf(prompt, chosen, source, engines, cachedTokens, bound),
        )
    }

    private fun explanationOf(
        prompt: Prompt,
        chosen: EngineCandidate,
        source: KnownUpstream?,
        engines: List<EngineCandidate>,
        cachedTokens: Map<UpstreamId, Int>,
        bound: Double,
    ): String {
        val sourceText = source?.let { ", ${it.id} can supply ${cachedTokens[it.id] ?: 0}" }.orEmpty()
        val total = engines.sumOf { it.load.inFlight }
        return "has cached ${chosen.cachedTokens} of ${prompt.promptTokens} prompt tokens$sourceText, " +
            "highest on any engine ${cachedTokens.values.maxOrNull() ?: 0}, " +
            "last shared part ${prompt.sharedParts.lastOrNull()?.id}; " +
            "${chosen.load.description}, load bound ${bound.toInt()}, " +
            "${engines.count {
                it.isBelow(
                    bound,
                )
            }} of ${engines.size} candidate engines below it, $total on all of them"
    }

    /** Returns whether [prompt] has shared parts and no engine has cached all of them. */
    private fun isUncached(prompt: Prompt, cachedTokens: Map<UpstreamId, Int>): Boolean =
        prompt.sharedTokens > 0 && cachedTokens.values.none { it >= prompt.sharedTokens }

    private fun candidate(upstream: KnownUpstream, load: LoadEstimate, cachedTokens: Map<UpstreamId, Int>) =
        EngineCandidate(
            upstream = upstream,
            load = load,
            cachedTokens = cachedTokens[upstream.id] ?: 0,
            pendingPrefillTokens = activity.pendingPrefillTokens(upstream.id),
            failureRate = activity.failureRate(upstream.id),
        )

    /**
     * Returns the load that no engine should exceed. The mean includes engines that get no new requests, so that when a few
     * engines carry all the work, they share it evenly. The bound is lower for estimates from reports, since other routers
     * send requests between two reports.
     */
    private fun loadBound(loads: PoolLoads): Double =
        if (loads.areExact) {
            loads.mean * EXACT_LOAD_MULTIPLE + EXACT_LOAD_SLACK
        } else {
            loads.mean * REPORTED_LOAD_MULTIPLE + REPORTED_LOAD_SLACK
        }

    private fun EngineCandidate.isBelow(bound: Double) =
        load.inFlight + 1 <= bound && load.inFlight < upstream.registration.slots

    private fun leastLoaded(engines: List<EngineCandidate>): List<EngineCandidate> {
        val least = engines.minOf { it.load.inFlight }
        return engines.filter { it.load.inFlight == least }
    }

    private fun highestRanked(prompt: Prompt, engines: List<EngineCandidate>): EngineCandidate =
        engines.maxWith(compareBy({ it.failureRate <= FAILURE_RATE_THRESHOLD }, { rank(prompt, it.upstream.id) }))

    private fun cheapest(
        request: PlacementRequest,
        prompt: Prompt,
        engines: List<EngineCandidate>,
        cachedTokens: Map<UpstreamId, Int>,
        sources: List<KnownUpstream>,
    ): EngineCandidate {
        val bestCachedTokens = sources.maxOfOrNull { cachedTokens[it.id] ?: 0 } ?: 0
        val bytes = request.bodyBytes + prompt.maximumOutputTokens * RESPONSE_BYTES_PER_TOKEN
        val inputs =
            PromptCostInputs(prompt.promptTokens, bestCachedTokens, request.latencyTarget, bytes, dependencies.zone)
        return engines.minWith(compareBy({ engineCost(inputs, it) }, { -rank(prompt, it.upstream.id) }))
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
            ?: if (cachedTokens.isEmpty()) others.maxByOrNull { rank(prompt, it.id) } else null
    }

    /** Returns the rendezvous hash of [upstream] for the shared parts of [prompt]. */
    private fun rank(prompt: Prompt, upstream: UpstreamId): Long {
        val hash = Hashing.komihash5_0().hashStream()
        prompt.sharedParts.forEach { hash.putString(it.id.value) }
        return hash.putString(upstream.value).asLong ushr 2
    }

    private companion object {
        const val EXACT_LOAD_MULTIPLE = 2.0
        const val EXACT_LOAD_SLACK = 2.0
        const val REPORTED_LOAD_MULTIPLE = 1.5
        const val REPORTED_LOAD_SLACK = 1.0

        /** Fraction of the load bound above which routers send each other their request counts at once. */
        const val HIGH_LOAD_FRACTION = 0.7

        /** Failure rate above which an engine is not the first choice for an uncached prompt. */
        const val FAILURE_RATE_THRESHOLD = 0.1

        /** Bytes of an event stream for each output token, including the event framing. */
        const val RESPONSE_BYTES_PER_TOKEN = 16
    }
}
