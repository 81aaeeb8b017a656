/*
 * Selects the upstream of a small plain service that reports no load. Requests are distributed at random in proportion to the
 * slots of the upstreams and in inverse proportion to their response times, as all gateways together measure them.
 *
 * Load pattern: all gateways learn of the same loads 0.3 to 1.3 s late, and send hundreds of requests in that time. If they
 * preferred the upstream with the fewest requests, all would send to the same one until the next gossip round, and the load
 * would swing between full and idle upstreams. The response time of an upstream with free slots does not depend on the
 * number of its requests, so that a distribution by response times is stable; it grows if the upstream is slow or has a queue.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.load.ServiceLoad
import org.primrosesill.load.UpstreamUse
import java.util.Locale
import kotlin.math.exp
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.DurationUnit

/**
 * An upstream that may get the request.
 *
 * @property slowness time that work takes, relative to the usual time
 */
internal class ServiceCandidate(
    val upstream: KnownUpstream,
    val load: ServiceLoad,
    val slowness: Double,
    val isRemote: Boolean,
    val failureRate: Double,
)

/** Selects one of the candidates, which are not empty. */
internal fun interface ServiceSelection {
    fun select(candidates: List<ServiceCandidate>, random: Random): ServiceCandidate
}

/** Selects by response time. */
internal val responseTimeSelection =
    ServiceSelection { candidates, random ->
        val usual = usualSeconds(candidates.map { it.load.average })
        val weights = candidates.map { weight(it, usual) }
        var remaining = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight -> (remaining - weight).also { remaining = it } <= 0 }
        candidates[index.coerceAtLeast(0)]
    }

private fun weight(candidate: ServiceCandidate, usualSeconds: Double): Double {
    val load = candidate.load
    // Both measure the same, so they are not multiplied. Errors that take no time must not attract requests.
    val slowness = maxOf(1.0, responseSeconds(load.average, usualSeconds) / usualSeconds, candidate.slowness)
    return candidate.upstream.registration.slots *
        (if (candidate.isRemote) REMOTE_FACTOR else 1.0) *
        (1 - candidate.failureRate).pow(FAILURE_EXPONENT) *
        (1 - queueProbability(load)) /
        (slowness.pow(SLOWNESS_EXPONENT) * (1 + OWN_REQUEST_WEIGHT * load.own))
}

/** Returns how probable it is that an upstream that was full still has a queue. */
private fun queueProbability(load: ServiceLoad): Double {
    val sinceRejection = load.sinceRejection ?: return 0.0
    return FULL_PROBABILITY * exp(-sinceRejection.toDouble(DurationUnit.MILLISECONDS) / QUEUE_MILLIS)
}

/** Returns the mean time in seconds that a request to an upstream with [use] takes, by Little's law. */
private fun responseSeconds(use: UpstreamUse, usualSeconds: Double): Double =
    (use.inProgress + PRIOR_STARTS_PER_SECOND * usualSeconds) / (use.startsPerSecond + PRIOR_STARTS_PER_SECOND)

/** Fewer starts are the rest of an average that has decayed. */
private const val MINIMUM_STARTS_PER_SECOND = 0.01

/** Returns the median of the response times of the upstreams with [uses]. */
private fun usualSeconds(uses: List<UpstreamUse>): Double {
    val known = uses.filter { it.startsPerSecond > MINIMUM_STARTS_PER_SECOND && it.inProgress > 0 }
    if (known.isEmpty()) return 1.0
    return known.map { it.inProgress / it.startsPerSecond }.sorted()[(known.size - 1) / 2]
}

/** Returns the inputs of the decision for [chosen], for the event log. */
internal fun explanationOf(chosen: ServiceCandidate, candidates: List<ServiceCandidate>): String {
    val total = candidates.sumOf { it.load.own + it.load.others }
    return "${chosen.load.own} requests of this gateway and an estimated ${rounded(chosen.load.others)} of others " +
        "in progress on ${chosen.upstream.registration.slots} slots, slowness ${rounded(chosen.slowness)}, " +
        "${rounded(total)} on all ${candidates.size} candidates"
}

private fun rounded(value: Double): String = "%.1f".format(Locale.ROOT, value)

/** Requests of usual duration that count on top of the observed ones, so that an upstream without requests is tried again. */
private const val PRIOR_STARTS_PER_SECOND = 2.0

/** With 1.0, an upstream five times as slow gets a fifth of its share and its queue of requests shrinks only slowly. */
private const val SLOWNESS_EXPONENT = 2.0
private const val FAILURE_EXPONENT = 4

/** Response times differ by a few milliseconds between zones, and by far more between an idle and a busy upstream. */
private const val REMOTE_FACTOR = 0.1

/** Large enough that a free upstream of another zone is preferred over one with a request of this gateway. */
private const val OWN_REQUEST_WEIGHT = 16.0
private const val FULL_PROBABILITY = 0.9

/** Time constant with which a full queue is expected to drain. */
private const val QUEUE_MILLIS = 300.0
