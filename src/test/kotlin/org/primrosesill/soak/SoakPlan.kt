/*
 * The schedule of the faults that a soak test injects. The same seed results in the same schedule.
 */
package org.primrosesill.soak

import org.primrosesill.platform.StoreMode
import org.primrosesill.platform.UpstreamMode
import kotlin.random.Random

/** A fault that begins [startMillis] after the start of the test and lasts for [durationMillis]. Faults may overlap. */
internal data class ScheduledFault(val startMillis: Long, val durationMillis: Long, val fault: Fault)

internal sealed interface Fault {
    /** SIGTERM to a gateway, which is restarted after it has exited. */
    data class GracefulStop(val gateway: Int) : Fault

    /** SIGKILL to a gateway, which is restarted at the end of the fault. */
    data class Kill(val gateway: Int) : Fault

    /** SIGSTOP to a gateway, and SIGCONT at the end of the fault. */
    data class Pause(val gateway: Int) : Fault

    /** SIGHUP to a gateway, with a settings file that is [valid] or truncated. */
    data class Reload(val gateway: Int, val valid: Boolean) : Fault

    data class Store(val mode: StoreMode) : Fault

    /**
     * The store comes back at the end of the fault from a copy made at its start. What it has lost is written again a moment
     * later.
     */
    data object Restoration : Fault

    data class Upstream(val upstream: Int, val mode: UpstreamMode) : Fault

    /** Fault [mode] of the connections through the proxy with index [proxy], to the store or to an upstream. */
    data class Network(val proxy: Int, val mode: ProxyMode) : Fault

    /** An upstream is registered as draining, and as ready again at the end of the fault. */
    data class Leaving(val upstream: Int) : Fault

    /** A new version of the configuration is published. */
    data object NewConfiguration : Fault
}

/** Returns the faults of a soak test of [seconds], ordered by start. */
internal fun planFaults(seed: Long, seconds: Int, gateways: Int, upstreams: Int, proxies: Int): List<ScheduledFault> {
    val random = Random(seed)
    val endMillis = seconds * 1_000L - RECOVERY_MILLIS
    return generateSequence(FIRST_FAULT_MILLIS) { it + random.nextLong(MINIMUM_GAP_MILLIS, MAXIMUM_GAP_MILLIS) }
        .takeWhile { it < endMillis }
        .map { ScheduledFault(it, random.nextLong(300, 2_500), randomFault(random, gateways, upstreams, proxies)) }
        .toList()
}

/** Returns the restorations of the store in a soak test of [seconds], which leave the other faults of a seed as they are. */
internal fun planRestorations(seed: Long, seconds: Int): List<ScheduledFault> {
    val random = Random(seed xor RESTORATION_SEED)
    val endMillis = seconds * 1_000L - RECOVERY_MILLIS - MAXIMUM_RESTORATION_MILLIS
    return List(seconds / SECONDS_PER_RESTORATION) {
        val duration = random.nextLong(300, MAXIMUM_RESTORATION_MILLIS)
        ScheduledFault(random.nextLong(FIRST_FAULT_MILLIS, endMillis), duration, Fault.Restoration)
    }
}

private fun randomFault(random: Random, gateways: Int, upstreams: Int, proxies: Int): Fault {
    val gateway = random.nextInt(gateways)
    val upstream = random.nextInt(upstreams)
    return when (random.nextInt(13)) {
        0, 1 -> Fault.GracefulStop(gateway)
        2 -> Fault.Kill(gateway)
        3 -> Fault.Pause(gateway)
        4 -> Fault.Reload(gateway, valid = random.nextBoolean())
        5 -> Fault.Store(if (random.nextBoolean()) StoreMode.UNAVAILABLE else StoreMode.UNRESPONSIVE)
        6, 7 -> Fault.Upstream(upstream, upstreamFaults[random.nextInt(upstreamFaults.size)])
        8 -> Fault.Leaving(upstream)
        9, 10, 11 -> Fault.Network(random.nextInt(proxies), proxyFaults[random.nextInt(proxyFaults.size)])
        else -> Fault.NewConfiguration
    }
}

private val proxyFaults = ProxyMode.entries - ProxyMode.NORMAL
private val upstreamFaults = UpstreamMode.entries - UpstreamMode.NORMAL
private const val FIRST_FAULT_MILLIS = 500L
private const val RESTORATION_SEED = 0x5deece66dL
private const val SECONDS_PER_RESTORATION = 7
private const val MAXIMUM_RESTORATION_MILLIS = 3_000L
private const val MINIMUM_GAP_MILLIS = 200L
private const val MAXIMUM_GAP_MILLIS = 1_200L

/** No fault starts in this time before the end of a soak test, which then checks that all gateways have recovered. */
private const val RECOVERY_MILLIS = 3_000L
