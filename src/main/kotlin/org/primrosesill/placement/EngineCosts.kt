/*
 * Estimates the cost of serving a prompt on an engine. The unit is the prompt token: a cost of n equals the work of
 * prefilling n tokens.
 *
 * Load patterns: most requests share a few long prompt prefixes, so that prefilling these again on each engine takes more
 * work than the requests themselves; one prefix gets much of the traffic for some seconds, so that its engine falls behind;
 * engines fail some of their requests; some engines work several
 * times as slowly as the others for some seconds.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.load.DEFAULT_PREFILL_TOKENS_PER_MILLISECOND
import org.primrosesill.load.LoadEstimate
import org.primrosesill.model.AvailabilityZoneId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * An engine that may serve one given prompt.
 *
 * @property load requests in flight from all routers
 * @property averageLoad recent average of [load]
 * @property rank rendezvous hash for the shared parts of the prompt; the same on all routers
 * @property cachedTokens tokens at the beginning of the prompt that the engine has prefilled before
 * @property pendingPrefillTokens prompt tokens of other requests that the engine has yet to prefill
 * @property slowness time that work takes at the engine at present, relative to the median of the engines
 */
internal class EngineCandidate(
    val upstream: KnownUpstream,
    val load: LoadEstimate,
    val averageLoad: Double,
    val rank: Long,
    val cachedTokens: Int,
    val pendingPrefillTokens: Int,
    val failureRate: Double,
    val slowness: Double = 1.0,
) {
    /** Returns this engine as it will be once it has fetched all shared parts that any engine has cached. */
    fun withAllCached(prompt: PromptCostInputs) =
        EngineCandidate(
            upstream,
            load,
            averageLoad,
            rank,
            maxOf(cachedTokens, prompt.bestCachedTokens),
            pendingPrefillTokens,
            failureRate,
            slowness,
        )
}

/**
 * The inputs of the cost estimate that are the same for all engines.
 *
 * @property bestCachedTokens largest number of tokens cached by any engine from which others can fetch
 * @property bytes bytes of the request plus an estimate for its response
 * @property prefillTokensPerMillisecond prompt tokens that an engine prefills in a millisecond
 */
internal class PromptCostInputs(
    val promptTokens: Int,
    val bestCachedTokens: Int,
    val latencyTarget: Duration,
    val bytes: Int,
    val zone: AvailabilityZoneId,
    val prefillTokensPerMillisecond: Double = DEFAULT_PREFILL_TOKENS_PER_MILLISECOND,
)

/** Returns the cost of serving [prompt] on [candidate], in prompt tokens. */
internal fun engineCost(prompt: PromptCostInputs, candidate: EngineCandidate): Double {
    val fetchedTokens = (prompt.bestCachedTokens - candidate.cachedTokens).coerceAtLeast(0)
    val prefillTokens = (prompt.promptTokens - candidate.cachedTokens - fetchedTokens).coerceAtLeast(0)
    return prefillTokens * candidate.slowness +
        fetchedTokens * FETCHED_TOKEN_COST +
        candidate.load.inFlight * IN_FLIGHT_COST * candidate.slowness +
        latenessCost(prompt, (candidate.pendingPrefillTokens + prefillTokens) * candidate.slowness) +
        candidate.failureRate * FAILURE_COST +
        crossZoneCost(prompt, candidate)
}

/** Returns 0 for a wait of up to half of the latency target; a longer wait costs more, as the response is likelier late. */
private fun latenessCost(prompt: PromptCostInputs, queuedTokens: Double): Double {
    val waitMillis = queuedTokens / prompt.prefillTokensPerMillisecond
    val fractionOfTarget = waitMillis / prompt.latencyTarget.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
    return (fractionOfTarget - FREE_FRACTION_OF_TARGET).coerceAtLeast(0.0) * LATENESS_COST
}

private fun crossZoneCost(prompt: PromptCostInputs, candidate: EngineCandidate): Double =
    if (candidate.upstream.registration.availabilityZone == prompt.zone) {
        0.0
    } else {
        CROSS_ZONE_COST + prompt.bytes / CROSS_ZONE_BYTES_PER_TOKEN
    }

/** Cost of fetching the KV cache of one token from another engine, relative to prefilling the token. */
private const val FETCHED_TOKEN_COST = 0.18

/** Cost of each request in flight, which slightly slows down the other requests on its engine. */
private const val IN_FLIGHT_COST = 6.0

private const val FREE_FRACTION_OF_TARGET = 0.5
private const val LATENESS_COST = 8_000.0

/** High, since a failed request leaves the caller without a response. */
private const val FAILURE_COST = 8_000.0

/** A request to another zone takes longer and fails if the zones are partitioned. */
private const val CROSS_ZONE_COST = 30.0
private const val CROSS_ZONE_BYTES_PER_TOKEN = 90.0
