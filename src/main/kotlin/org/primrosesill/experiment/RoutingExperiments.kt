/*
 * Routing experiments. Each one prints a table of the product and the baselines, and returns the measurements.
 */
package org.primrosesill.experiment

/** Size of one pool in an experiment. [meanLoad] is the mean number of concurrent requests at an engine. */
public data class PoolSize(val routers: Int, val engines: Int, val meanLoad: Double)

/** Pool sizes of the two sites today, and of one availability zone as planned in two years. */
public val routingPoolSizes: List<PoolSize> =
    listOf(
        PoolSize(8, 8, 4.0),
        PoolSize(8, 13, 2.0),
        PoolSize(8, 13, 15.0),
        PoolSize(48, 13, 15.0),
        PoolSize(48, 128, 15.0),
        PoolSize(48, 557, 15.0),
    )

/**
 * Measurements of one policy in one pool. The skew of a sample is the highest load of an engine divided by the mean.
 *
 * @property highestSkew highest skew of all samples
 * @property meanSkew mean skew of all samples
 * @property highestWindowSkew highest skew of loads that are averaged over 10 s
 * @property overBoundPercent percentage of engine samples above the load bound
 * @property cacheReuse fraction of prompt tokens that were in the cache of the engine
 * @property relativeCacheReuse cache reuse divided by that of the oracle
 * @property refusedRequests number of requests that no engine accepted
 * @property overColdLimit number of times that a cold engine at its concurrency limit refused a request
 */
public data class RoutingResult(
    val policy: String,
    val size: PoolSize,
    val highestSkew: Double,
    val meanSkew: Double,
    val highestWindowSkew: Double,
    val overBoundPercent: Double,
    val cacheReuse: Double,
    val relativeCacheReuse: Double,
    val refusedRequests: Long,
    val overColdLimit: Long,
)

internal fun steadySettings(seed: Long, size: PoolSize): RoutingTrialSettings =
    RoutingTrialSettings(seed, size.routers, size.engines, size.meanLoad)

/** Engines join, leave, crash repeatedly and turn cold, and a surge has many requests with one affinity key. */
internal fun churnSettings(seed: Long, size: PoolSize): RoutingTrialSettings {
    val spareEngines = maxOf(1, size.engines / 20)
    return steadySettings(seed, size).copy(
        spareEngines = spareEngines,
        surgeFactor = 2.0,
        hotChatFraction = 0.05,
        surgeMillis = 70_000L..85_000L,
        events = churn(size.engines, spareEngines),
    )
}

private fun churn(engines: Int, spareEngines: Int): List<TrialEvent> =
    (0 until spareEngines).flatMap { index ->
        val delayMillis = index * 700L % 9_000
        listOf(
            TrialEvent.Join(62_000 + delayMillis, engines + index),
            TrialEvent.Leave(66_000 + delayMillis, index * 3),
            TrialEvent.TurnCold(80_000 + delayMillis, index * 3 + 2),
            TrialEvent.Crash(90_000 + delayMillis, index * 3 + 1),
            TrialEvent.Join(95_000 + delayMillis, index * 3 + 1),
            TrialEvent.Crash(100_000 + delayMillis, index * 3 + 1),
        )
    }

/** Measures load skew with and without churn, and prints it. */
public fun printSkew(output: Appendable, seed: Long, sizes: List<PoolSize> = routingPoolSizes): List<RoutingResult> {
    output.append("load skew, seed $seed; 'over' is the fraction of engine samples above the load bound\n")
    output.append("routers engines  mean churn  policy              max/mean  average  10 s avg    over\n")
    return sizes.flatMap { size ->
        listOf(false, true).flatMap { churn ->
            measurePolicies(seed, size, churn).onEach { output.append(skewRow(it, churn)) }
        }
    }
}

private fun skewRow(result: RoutingResult, churn: Boolean): String =
    "%s  %-5s  %-18s  %8.2f %8.2f  %8.2f  %5.2f%%\n".format(
        sizeColumns(result.size),
        if (churn) "yes" else "no",
        result.policy,
        result.highestSkew,
        result.meanSkew,
        result.highestWindowSkew,
        result.overBoundPercent,
    )

/** Measures prompt cache reuse with churn, and prints it. */
public fun printCacheReuse(
    output: Appendable,
    seed: Long,
    sizes: List<PoolSize> = routingPoolSizes,
): List<RoutingResult> {
    output.append("prompt cache reuse under churn, seed $seed\n")
    output.append(
        "routers engines  mean  policy               reuse  of oracle  max/mean  10 s avg  refused  over limit\n",
    )
    return sizes.flatMap { size ->
        measurePolicies(seed, size, churn = true).onEach { output.append(cacheReuseRow(it)) }
    }
}

private fun cacheReuseRow(result: RoutingResult): String =
    "%s  %-18s  %5.1f%%     %5.1f%%  %8.2f  %8.2f  %7d  %10d\n".format(
        sizeColumns(result.size),
        result.policy,
        100 * result.cacheReuse,
        100 * result.relativeCacheReuse,
        result.highestSkew,
        result.highestWindowSkew,
        result.refusedRequests,
        result.overColdLimit,
    )

private fun sizeColumns(size: PoolSize): String = "%7d %7d  %4.1f".format(size.routers, size.engines, size.meanLoad)

internal fun measurePolicies(
    seed: Long,
    size: PoolSize,
    churn: Boolean,
    policies: List<TrialPolicy> = TrialPolicy.entries,
): List<RoutingResult> {
    val settings = if (churn) churnSettings(seed, size) else steadySettings(seed, size)
    val oracle = runTrial(settings, TrialPolicy.ORACLE)
    return policies.map { policy ->
        val trial = if (policy == TrialPolicy.ORACLE) oracle else runTrial(settings, policy)
        RoutingResult(
            policy = policy.label,
            size = size,
            highestSkew = trial.highestSkew,
            meanSkew = trial.meanSkew,
            highestWindowSkew = trial.highestWindowSkew,
            overBoundPercent = 100 * trial.overBoundFraction,
            cacheReuse = trial.cacheReuse,
            relativeCacheReuse = trial.cacheReuse / oracle.cacheReuse,
            refusedRequests = trial.refusedRequests,
            overColdLimit = trial.overColdLimit,
        )
    }
}
