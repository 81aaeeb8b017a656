/*
 * Measures the time to the first token and refused requests while operators take an availability zone out of service
 * and return it to service. The engines of the zone are cold when it returns.
 */
package org.primrosesill.experiment

private const val ZONE_OUT_AT_MILLIS = 120_000L
private const val ZONE_BACK_AT_MILLIS = 180_000L
private const val END_AT_MILLIS = 240_000L
private const val SETTLE_MILLIS = 60_000L

/**
 * Measurements of one policy in one pool. The p95 values are of the time to the first token, in milliseconds.
 *
 * @property steadyP95Millis before the outage
 * @property outageP95Millis while the zone is out of service
 * @property recoveryP95Millis after the return of the zone
 * @property lateStarts requests started in the zone more than 5 s after it was taken out of service
 * @property firstTokenSamples arrival time and time to the first token of each request, in milliseconds
 */
public data class ZoneOutageResult(
    val policy: String,
    val size: PoolSize,
    val steadyP95Millis: Double,
    val outageP95Millis: Double,
    val recoveryP95Millis: Double,
    val refusedRequests: Long,
    val lateStarts: Long,
    val firstTokenSamples: List<Pair<Long, Double>>,
) {
    /** Highest p95 during the outage or after it, as a multiple of the steady p95. */
    val relativeP95: Double get() = maxOf(outageP95Millis, recoveryP95Millis) / steadyP95Millis
}

internal fun zoneOutageSettings(seed: Long, size: PoolSize): RoutingTrialSettings =
    RoutingTrialSettings(
        seed,
        size.routers,
        size.engines,
        size.meanLoad,
        settleMillis = SETTLE_MILLIS,
        measureMillis = END_AT_MILLIS - SETTLE_MILLIS,
        coldConcurrencyLimit = 2,
        events =
            listOf(
                TrialEvent.ZonesOut(ZONE_OUT_AT_MILLIS, setOf(1)),
                TrialEvent.ZonesOut(ZONE_BACK_AT_MILLIS, emptySet()),
            ),
    )

internal fun measureZoneOutage(seed: Long, size: PoolSize, policy: TrialPolicy): ZoneOutageResult {
    val trial = runTrial(zoneOutageSettings(seed, size), policy)
    return ZoneOutageResult(
        policy = policy.label,
        size = size,
        steadyP95Millis = trial.firstTokenP95(SETTLE_MILLIS until ZONE_OUT_AT_MILLIS),
        outageP95Millis = trial.firstTokenP95(ZONE_OUT_AT_MILLIS until ZONE_BACK_AT_MILLIS),
        recoveryP95Millis = trial.firstTokenP95(ZONE_BACK_AT_MILLIS until END_AT_MILLIS),
        refusedRequests = trial.refusedRequests,
        lateStarts = trial.lateStarts,
        firstTokenSamples = trial.firstTokenSamples,
    )
}

/** Measures each policy with one of three zones out of service from 120 s to 180 s, and prints the results. */
public fun printZoneOutage(
    output: Appendable,
    seed: Long,
    sizes: List<PoolSize> = zonePoolSizes,
): List<ZoneOutageResult> {
    output.append("one of three zones out and back, seed $seed; p95 time to first token in ms\n")
    output.append("routers engines  mean  policy               steady      out     back  ratio  refused  too late\n")
    return sizes.flatMap { size ->
        TrialPolicy.entries.map { policy ->
            measureZoneOutage(seed, size, policy).also { output.append(zoneOutageRow(it)) }
        }
    }
}

/** Pool sizes with loads at which two of three zones have enough capacity. */
public val zonePoolSizes: List<PoolSize> =
    listOf(PoolSize(8, 8, 4.0), PoolSize(8, 13, 4.0), PoolSize(48, 128, 4.0), PoolSize(48, 128, 10.0))

private fun zoneOutageRow(result: ZoneOutageResult): String =
    "%7d %7d  %4.1f  %-18s %8.0f %8.0f %8.0f  %5.2f  %7d  %8d\n".format(
        result.size.routers,
        result.size.engines,
        result.size.meanLoad,
        result.policy,
        result.steadyP95Millis,
        result.outageP95Millis,
        result.recoveryP95Millis,
        result.relativeP95,
        result.refusedRequests,
        result.lateStarts,
    )
