/*
 * Selects an engine that has cached the shared parts of a prompt, as long as its load is not far above the mean. Prefilling or
 * copying the parts elsewhere is many times the work of prefilling the rest of the prompt, and a copy evicts other parts, so
 * that under high load each prompt that is diverted adds to the load.
 *
 * Load pattern: bursts of long prompts at a pool that has lost a part of its engines, whose loads are known late.
 */
package org.primrosesill.placement

/**
 * Selects the first engine in rendezvous order that has cached all shared parts of the prompt and accepts it, preferably in
 * the zone of this router, or else the engine that [fallback] selects. The first engine of the order that lacks the parts,
 * such as one that has joined, gets a fraction of the prompts that falls from 1 if it is idle to 0 at
 * [FREE_SHARE_MULTIPLE] of the mean load, so that it does not stay idle because others have cached everything.
 */
internal fun cachedEngineSelection(fallback: EngineSelection): EngineSelection =
    EngineSelection { choice -> selectCached(choice) ?: fallback.select(choice) }

/** The selection in a large fleet whose scheduling is load-aware. */
internal val loadAwareSelection: EngineSelection = cachedEngineSelection(evenLoadSelection)

private fun selectCached(choice: EngineChoice): EngineCandidate? {
    val sharedTokens = choice.prompt.sharedTokens
    // A popular part is spread over its replicas by the fallback, before the load of any one of them shows it.
    if (sharedTokens == 0 || choice.replicas > 1) return null
    val holders = choice.engines.filter { it.cachedTokens >= sharedTokens }
    if (holders.isEmpty()) return null
    val usualSlowness = choice.usualSlowness
    val first = choice.engines.maxBy { it.rank }
    val firstShare = freeShare(first.averageLoad, choice.meanLoad) * speedShare(first.slowness / usualSlowness)
    if (first.cachedTokens < sharedTokens && first.accepts(choice, firstShare)) return first
    val (near, far) = holders.partition { it.upstream.registration.availabilityZone == choice.costInputs.zone }
    return firstAccepting(near, choice, usualSlowness) ?: firstAccepting(far, choice, usualSlowness)
}

private fun firstAccepting(
    holders: List<EngineCandidate>,
    choice: EngineChoice,
    usualSlowness: Double,
): EngineCandidate? =
    holders.sortedByDescending { it.rank }.firstOrNull { engine ->
        val share = cachedShare(engine.averageLoad, choice.meanLoad) * speedShare(engine.slowness / usualSlowness)
        engine.accepts(choice, share)
    }

private fun EngineCandidate.accepts(choice: EngineChoice, share: Double): Boolean =
    failureRate <= FAILURE_RATE_THRESHOLD && rendezvousFraction(choice.prompt.parts, upstream.id) < share

/**
 * Returns the fraction of the prompts with cached parts that an engine accepts. It is 1 up to a higher load than for other
 * prompts, as these are little work, and 0 below the load bound.
 */
internal fun cachedShare(averageLoad: Double, meanLoad: Double): Double {
    val full = meanLoad * FULL_SHARE_MULTIPLE + FULL_SHARE_SLACK
    val none = meanLoad * NO_SHARE_MULTIPLE + NO_SHARE_SLACK
    return ((none - averageLoad) / (none - full)).coerceIn(0.0, 1.0)
}

/** Returns the fraction of the prompts that the first engine of the order gets although it lacks their parts. */
internal fun freeShare(averageLoad: Double, meanLoad: Double): Double =
    1 - averageLoad / (meanLoad * FREE_SHARE_MULTIPLE).coerceAtLeast(MINIMUM_FREE_LOAD)

private const val FULL_SHARE_MULTIPLE = 1.1
private const val FULL_SHARE_SLACK = 0.5
private const val NO_SHARE_MULTIPLE = 1.45
private const val NO_SHARE_SLACK = 1.0
private const val FREE_SHARE_MULTIPLE = 0.75

/** Engines of an idle pool have no free share that would be worth another copy of the parts. */
private const val MINIMUM_FREE_LOAD = 0.5
