/*
 * Service while operators take a zone out and bring it back. The engines of the zone come back cold.
 */
package org.primrosesill.experiment

private const val OUT_MILLIS = 120_000L
private const val BACK_MILLIS = 180_000L
private const val END_MILLIS = 240_000L
private const val SETTLE_MILLIS = 60_000L

/** What [printZoneOutage] measured of one policy in one pool. Times to the first token are p95 in milliseconds. */
public data class ZoneResult(
    val policy: String,
    val size: PoolSize,
    val steadyMillis: Double,
    val outMillis: Double,
    val backMillis: Double,
    val refused: Long,
    val startedTooLate: Long,
    val firstTokens: List<Pair<Long, Double>>,
) {
    /** The highest p95 while the zone leaves and returns, as a multiple of the steady one. */
    val ratio: Double get() = maxOf(outMillis, backMillis) / steadyMillis
}

internal fun zoneSettings(seed: Long, size: PoolSize): RoutingTrialSettings =
    RoutingTrialSettings(
        seed,
        size.routers,
        size.engines,
        size.meanLoad,
        settleMillis = SETTLE_MILLIS,
        measureMillis = END_MILLIS - SETTLE_MILLIS,
        bears = 2,
        events = listOf(TrialEvent.ZonesOut(OUT_MILLIS, setOf(1)), TrialEvent.ZonesOut(BACK_MILLIS, emptySet())),
    )

internal fun measureZone(seed: Long, size: PoolSize, policy: TrialPolicy): ZoneResult {
    val trial = runTrial(zoneSettings(seed, size), policy)
    return ZoneResult(
        policy = policy.label,
        size = size,
        steadyMillis = trial.firstTokenP95(SETTLE_MILLIS until OUT_MILLIS),
        outMillis = trial.firstTokenP95(OUT_MILLIS until BACK_MILLIS),
        backMillis = trial.firstTokenP95(BACK_MILLIS until END_MILLIS),
        refused = trial.refused,
        startedTooLate = trial.startedTooLate,
        firstTokens = trial.firstTokenByTime,
    )
}

/** Measures service while one of three zones is out from 120 s to 180 s, and prints it. */
public fun printZoneOutage(output: Appendable, seed: Long, sizes: List<PoolSize> = zonePoolSizes): List<ZoneResult> {
    output.append("one of three zones out and back, seed $seed; p95 time to first token in ms\n")
    output.append("routers engines  mean  policy               steady      out     back  ratio  refused  too late\n")
    return sizes.flatMap { size ->
        TrialPolicy.entries.map { policy -> measureZone(seed, size, policy).also { output.append(zoneRow(it)) } }
    }
}

/** Loads at which two of three zones have enough capacity. */
public val zonePoolSizes: List<PoolSize> =
    listOf(PoolSize(8, 8, 4.0), PoolSize(8, 13, 4.0), PoolSize(48, 128, 4.0), PoolSize(48, 128, 10.0))

private fun zoneRow(result: ZoneResult): String =
    "%7d %7d  %4.1f  %-18s %8.0f %8.0f %8.0f  %5.2f  %7d  %8d\n".format(
        result.size.routers,
        result.size.engines,
        result.size.meanLoad,
        result.policy,
        result.steadyMillis,
        result.outMillis,
        result.backMillis,
        result.ratio,
        result.refused,
        result.startedTooLate,
    )
