/*
 * Routing measurements: each prints a table of the product beside the baselines and returns what it measured.
 */
package org.primrosesill.experiment

/** One pool of a measurement. [meanLoad] is the number of requests at an engine on average. */
public data class PoolSize(val routers: Int, val engines: Int, val meanLoad: Double)

/** Pools of the two sites today, and of one zone in two years. */
public val routingPoolSizes: List<PoolSize> =
    listOf(
        PoolSize(8, 8, 4.0),
        PoolSize(8, 13, 2.0),
        PoolSize(8, 13, 15.0),
        PoolSize(48, 13, 15.0),
        PoolSize(48, 128, 15.0),
        PoolSize(48, 557, 15.0),
    )

/** What [printSkew] and [printCacheReuse] measured of one policy in one pool. */
public data class SkewResult(
    val policy: String,
    val size: PoolSize,
    val worstRatio: Double,
    val meanRatio: Double,
    val windowRatio: Double,
    val overBoundPercent: Double,
    val reuse: Double,
    val reuseOfOracle: Double,
    val refused: Long,
    val overBears: Long,
)

internal fun steadySettings(seed: Long, size: PoolSize): RoutingTrialSettings =
    RoutingTrialSettings(seed, size.routers, size.engines, size.meanLoad)

/** Engines join, leave, flap and turn cold, and one customer surges with many requests of one affinity key. */
internal fun churnSettings(seed: Long, size: PoolSize): RoutingTrialSettings {
    val spare = maxOf(1, size.engines / 20)
    return steadySettings(seed, size).copy(
        spareEngines = spare,
        surgeFactor = 2.0,
        hotShare = 0.05,
        surgeMillis = 70_000L..85_000L,
        events = churn(size.engines, spare),
    )
}

private fun churn(engines: Int, spare: Int): List<TrialEvent> =
    (0 until spare).flatMap { index ->
        val later = index * 700L % 9_000
        listOf(
            TrialEvent.Join(62_000 + later, engines + index),
            TrialEvent.Leave(66_000 + later, index * 3),
            TrialEvent.TurnCold(80_000 + later, index * 3 + 2),
            TrialEvent.Crash(90_000 + later, index * 3 + 1),
            TrialEvent.Join(95_000 + later, index * 3 + 1),
            TrialEvent.Crash(100_000 + later, index * 3 + 1),
        )
    }

/** Measures load skew with and without churn, and prints it. */
public fun printSkew(output: Appendable, seed: Long, sizes: List<PoolSize> = routingPoolSizes): List<SkewResult> {
    output.append("load skew, seed $seed; 'over' is the part of engine samples over the bound for whole requests\n")
    output.append("routers engines  mean churn  policy              max/mean  average  10 s avg    over\n")
    return sizes.flatMap { size ->
        listOf(false, true).flatMap { churn -> measure(seed, size, churn).onEach { output.append(skewRow(it, churn)) } }
    }
}

private fun skewRow(result: SkewResult, churn: Boolean): String =
    "%s  %-5s  %-18s  %8.2f %8.2f  %8.2f  %5.2f%%\n".format(
        sizeColumns(result.size),
        if (churn) "yes" else "no",
        result.policy,
        result.worstRatio,
        result.meanRatio,
        result.windowRatio,
        result.overBoundPercent,
    )

/** Measures prompt cache reuse with churn, and prints it. */
public fun printCacheReuse(output: Appendable, seed: Long, sizes: List<PoolSize> = routingPoolSizes): List<SkewResult> {
    output.append("prompt cache reuse under churn, seed $seed\n")
    output.append(
        "routers engines  mean  policy               reuse  of oracle  max/mean  10 s avg  refused  over bears\n",
    )
    return sizes.flatMap { size -> measure(seed, size, churn = true).onEach { output.append(reuseRow(it)) } }
}

private fun reuseRow(result: SkewResult): String =
    "%s  %-18s  %5.1f%%     %5.1f%%  %8.2f  %8.2f  %7d  %10d\n".format(
        sizeColumns(result.size),
        result.policy,
        100 * result.reuse,
        100 * result.reuseOfOracle,
        result.worstRatio,
        result.windowRatio,
        result.refused,
        result.overBears,
    )

private fun sizeColumns(size: PoolSize): String = "%7d %7d  %4.1f".format(size.routers, size.engines, size.meanLoad)

internal fun measure(
    seed: Long,
    size: PoolSize,
    churn: Boolean,
    policies: List<TrialPolicy> = TrialPolicy.entries,
): List<SkewResult> {
    val settings = if (churn) churnSettings(seed, size) else steadySettings(seed, size)
    val oracle = runTrial(settings, TrialPolicy.ORACLE)
    return policies.map { policy ->
        val trial = if (policy == TrialPolicy.ORACLE) oracle else runTrial(settings, policy)
        SkewResult(
            policy = policy.label,
            size = size,
            worstRatio = trial.worstRatio,
            meanRatio = trial.meanRatio,
            windowRatio = trial.worstWindowRatio,
            overBoundPercent = 100 * trial.overShare,
            reuse = trial.reuse,
            reuseOfOracle = trial.reuse / oracle.reuse,
            refused = trial.refused,
            overBears = trial.overBears,
        )
    }
}
