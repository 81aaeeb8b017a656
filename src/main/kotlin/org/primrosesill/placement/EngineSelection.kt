/*
 * Selects the engine for a prompt among the engines that may get it.
 */
package org.primrosesill.placement

/**
 * The engines among which one is selected, and what the selection depends on.
 *
 * @property engines engines below the load bound; not empty
 * @property meanLoad mean of the average loads of all engines that may get the request, those over the bound included
 * @property isUncached whether the prompt has shared parts and no engine has cached all of them
 * @property replicas number of engines over which the prompts with these shared parts are spread
 */
internal class EngineChoice(
    val prompt: Prompt,
    val costInputs: PromptCostInputs,
    val engines: List<EngineCandidate>,
    val meanLoad: Double,
    val isUncached: Boolean,
    val replicas: Int,
) {
    /** Mean slowness of [engines]. */
    val usualSlowness: Double get() = engines.sumOf { it.slowness } / engines.size
}

internal fun interface EngineSelection {
    fun select(choice: EngineChoice): EngineCandidate
}

/** Failure rate above which an engine is not the first choice of its rendezvous hashing order. */
internal const val FAILURE_RATE_THRESHOLD = 0.1

/**
 * Selects the engine with the lowest serving cost. A prompt whose shared parts no engine has cached in full goes to the first
 * engine of its rendezvous hashing order, so that the next request with these parts is placed where they are cached.
 *
 * Load pattern: a small fleet, whose routers know all requests in flight.
 */
internal val cheapestEngineSelection =
    EngineSelection { choice ->
        if (choice.isUncached) {
            choice.engines.minWith(rendezvousOrder)
        } else {
            choice.engines.minWith(compareBy({ engineCost(choice.costInputs, it) }, { -it.rank }))
        }
    }

/**
 * Selects the first engine of the rendezvous hashing order that accepts the prompt. An engine with an average load above the
 * mean accepts a fraction of the prompts that come to it, and the others go on along the order. Loads are known late, and all
 * routers know the same: so a low load attracts nothing, and a high one moves as many prompts away as its excess requires. An
 * engine that joins is at once the first choice for its share of the prompts, although others have cached their parts.
 *
 * The prompts with a popular part start at different places of the order, so that its first replicas share them evenly. For
 * other prompts, the first engine in the zone of this router is preferred if fetching the parts that it lacks costs less than
 * the traffic to another zone.
 *
 * Load pattern: hundreds of routers place a thousand requests a second on a pool that grows or shrinks within seconds.
 */
internal val loadShareSelection = EngineSelection { choice -> selectByShare(choice, usualShare) }

/**
 * Selects as [loadShareSelection] does, by the loads that are expected at present. An engine that works more slowly than the
 * others accepts the fewer prompts the slower it is, since each of them occupies it the longer. In a busy pool an engine passes
 * on prompts at a smaller excess over the mean. A pool that is not busy keeps prompts with their caches instead, as requests
 * hardly delay each other there.
 *
 * Load pattern: dozens of routers with the same late reports select engines for requests that are in flight for seconds, while
 * engines slow down or disappear.
 */
internal val evenLoadSelection =
    EngineSelection { choice ->
        val share = if (isBusy(choice.engines)) busyShare else usualShare
        val usualSlowness = choice.usualSlowness
        selectByShare(choice) { engine, meanLoad ->
            share.acceptedBy(engine, meanLoad) * speedShare(engine.slowness / usualSlowness)
        }
    }

/** The fraction of the prompts that come to an engine that it accepts. */
private fun interface PromptShare {
    fun acceptedBy(engine: EngineCandidate, meanLoad: Double): Double
}

private val usualShare = PromptShare { engine, meanLoad -> acceptedFraction(engine.averageLoad, meanLoad) }

private val busyShare =
    PromptShare { engine, meanLoad ->
        val none = meanLoad * BUSY_NO_SHARE_MULTIPLE + BUSY_NO_SHARE_SLACK
        ((none - engine.averageLoad) / (none - meanLoad)).coerceIn(0.0, 1.0)
    }

/** Returns the fraction of its prompts that an engine accepts because of its [slowness] relative to the others. */
internal fun speedShare(slowness: Double): Double = if (slowness < SLOWNESS_THRESHOLD) 1.0 else 1 / slowness

private fun isBusy(engines: List<EngineCandidate>): Boolean =
    engines.sumOf { it.load.inFlight } >= engines.sumOf { it.upstream.registration.slots } * BUSY_FRACTION_OF_SLOTS ||
        engines.sumOf { it.load.waiting ?: 0 } >= engines.size * BUSY_WAITING

private fun selectByShare(choice: EngineChoice, share: PromptShare): EngineCandidate {
    val order = choice.engines.sortedWith(rendezvousOrder)
    val first = firstAccepting(choice, order, share)
    return if (choice.isUncached || choice.replicas > 1) first else nearestOf(choice, first, order, share)
}

private fun firstAccepting(choice: EngineChoice, order: List<EngineCandidate>, share: PromptShare): EngineCandidate {
    val start = (promptFraction(choice.prompt.parts) * minOf(choice.replicas, order.size)).toInt()
    val fromStart = order.subList(start, order.size) + order.subList(0, start)
    return fromStart.firstOrNull { it.accepts(choice, share) } ?: fromStart.first()
}

private val rendezvousOrder: Comparator<EngineCandidate> =
    compareBy({ it.failureRate > FAILURE_RATE_THRESHOLD }, { -it.rank })

private fun nearestOf(
    choice: EngineChoice,
    first: EngineCandidate,
    order: List<EngineCandidate>,
    share: PromptShare,
): EngineCandidate {
    val inputs = choice.costInputs
    val near = order.firstOrNull { it.upstream.registration.availabilityZone == inputs.zone }
    if (near == null || !near.accepts(choice, share)) return first
    return if (engineCost(inputs, near) < engineCost(inputs, first.withAllCached(inputs))) near else first
}

/** Returns whether this engine accepts the prompt. The own part decides, so that the requests of a session stay together. */
private fun EngineCandidate.accepts(choice: EngineChoice, share: PromptShare): Boolean =
    rendezvousFraction(choice.prompt.parts, upstream.id) < share.acceptedBy(this, choice.meanLoad)

/** Returns the fraction of the prompts that an engine accepts: 1 up to about the mean load, and 0 well below twice as much. */
internal fun acceptedFraction(averageLoad: Double, meanLoad: Double): Double {
    val full = meanLoad * FULL_SHARE_MULTIPLE + FULL_SHARE_SLACK
    val none = meanLoad * NO_SHARE_MULTIPLE + NO_SHARE_SLACK
    return ((none - averageLoad) / (none - full)).coerceIn(0.0, 1.0)
}

private const val FULL_SHARE_MULTIPLE = 1.0
private const val FULL_SHARE_SLACK = 0.5
private const val NO_SHARE_MULTIPLE = 1.5
private const val NO_SHARE_SLACK = 1.5

/** Tighter bounds moved more prompts away from their caches and made the load no more even in a replay (even-load.md). */
private const val BUSY_NO_SHARE_MULTIPLE = 1.25
private const val BUSY_NO_SHARE_SLACK = 1.0

/** An eighth of the slots in use, or a request waiting at each engine on average, so that prompts wait for each other. */
private const val BUSY_FRACTION_OF_SLOTS = 0.125
private const val BUSY_WAITING = 1

/** Smaller differences in speed do not outweigh the caches that a moved prompt leaves. */
private const val SLOWNESS_THRESHOLD = 1.25
