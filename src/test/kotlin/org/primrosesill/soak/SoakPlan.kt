/*
 * Which faults strike during a soak, and when. The same seed gives the same plan.
 */
package org.primrosesill.soak

import org.primrosesill.platform.StoreMode
import org.primrosesill.platform.UpstreamMode
import kotlin.random.Random

/** A fault that begins [atMillis] after the start and lasts [forMillis]. Faults overlap. */
internal data class PlannedFault(val atMillis: Long, val forMillis: Long, val fault: Fault)

internal sealed interface Fault {
    /** SIGTERM to a gateway, which starts again when it has ended. */
    data class PlannedStop(val gateway: Int) : Fault

    /** SIGKILL to a gateway, which starts again at the end of the fault. */
    data class Kill(val gateway: Int) : Fault

    /** SIGSTOP, and SIGCONT at the end. */
    data class Pause(val gateway: Int) : Fault

    /** SIGHUP, with a file that is sound or not. */
    data class Reload(val gateway: Int, val sound: Boolean) : Fault

    data class Store(val mode: StoreMode) : Fault

    data class Upstream(val upstream: Int, val mode: UpstreamMode) : Fault

    /** The connections to one upstream, or to the store, are harmed. */
    data class Link(val number: Int, val mode: LinkMode) : Fault

    /** An upstream says that it is leaving, and is ready again at the end. */
    data class Leaving(val upstream: Int) : Fault

    /** A newer version of the configuration. */
    data object NewConfiguration : Fault
}

/** Returns the faults of one soak over [seconds], in order. */
internal fun planSoak(seed: Long, seconds: Int, gateways: Int, upstreams: Int, links: Int): List<PlannedFault> {
    val random = Random(seed)
    val end = seconds * 1_000L - QUIET_END_MILLIS
    return generateSequence(FIRST_FAULT_MILLIS) { it + random.nextLong(MINIMUM_GAP_MILLIS, MAXIMUM_GAP_MILLIS) }
        .takeWhile { it < end }
        .map { PlannedFault(it, random.nextLong(300, 2_500), drawFault(random, gateways, upstreams, links)) }
        .toList()
}

private fun drawFault(random: Random, gateways: Int, upstreams: Int, links: Int): Fault {
    val gateway = random.nextInt(gateways)
    val upstream = random.nextInt(upstreams)
    return when (random.nextInt(13)) {
        0, 1 -> Fault.PlannedStop(gateway)
        2 -> Fault.Kill(gateway)
        3 -> Fault.Pause(gateway)
        4 -> Fault.Reload(gateway, sound = random.nextBoolean())
        5 -> Fault.Store(if (random.nextBoolean()) StoreMode.UNAVAILABLE else StoreMode.UNRESPONSIVE)
        6, 7 -> Fault.Upstream(upstream, failingModes[random.nextInt(failingModes.size)])
        8 -> Fault.Leaving(upstream)
        9, 10, 11 -> Fault.Link(random.nextInt(links), harmfulModes[random.nextInt(harmfulModes.size)])
        else -> Fault.NewConfiguration
    }
}

private val harmfulModes = LinkMode.entries - LinkMode.GOOD
private val failingModes = UpstreamMode.entries - UpstreamMode.NORMAL
private const val FIRST_FAULT_MILLIS = 500L
private const val MINIMUM_GAP_MILLIS = 200L
private const val MAXIMUM_GAP_MILLIS = 1_200L

/** Faults have ended by then, so that the end of a soak shows whether all is well again. */
private const val QUIET_END_MILLIS = 3_000L
