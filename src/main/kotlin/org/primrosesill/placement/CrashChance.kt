/*
 * How likely a prompt part was in flight at crashed engines by chance.
 *
 * An engine that crashes ends all its requests, so each of their parts is in flight at a crash, whatever caused it. Where many
 * engines crash within seconds, some parts are in flight at several of them. A part counts as the cause if nearly no other engine
 * crashed meanwhile, or if it was in flight at more of the crashed engines than is expected of a part with its share of the
 * requests.
 *
 * Load pattern: a quarter of the engines crash at one moment or one after another within seconds, under traffic with a few popular
 * parts and many others.
 */
package org.primrosesill.placement

import kotlin.math.pow

/**
 * The crashes since the first one with a part in flight, those of the second before it included.
 *
 * @property moments times, apart from each other, at which engines crashed with the part in flight
 * @property enginesWithPart engines that crashed with the part in flight
 * @property engines all engines that crashed
 * @property presence probability that the part is in flight at an engine, if it crashes none
 */
internal class CrashesOfPart(val moments: Int, val enginesWithPart: Int, val engines: Int, val presence: Double)

/** Returns whether chance does not explain [crashes], so that the part counts as their cause. */
internal fun isBeyondChance(crashes: CrashesOfPart): Boolean {
    val others = crashes.engines - crashes.enginesWithPart
    if (others <= crashes.enginesWithPart * OTHERS_PER_ENGINE_WITH_PART) return true
    return crashes.moments >= MINIMUM_MOMENTS &&
        probabilityOfAtLeast(crashes.enginesWithPart, crashes.engines, crashes.presence) <= MAXIMUM_CHANCE
}

/** Returns the probability of at least [successes] in [trials] that succeed with [probability] each (binomial distribution). */
internal fun probabilityOfAtLeast(successes: Int, trials: Int, probability: Double): Double {
    if (successes <= 0) return 1.0
    if (probability >= 1.0) return if (successes <= trials) 1.0 else 0.0
    var term = (1 - probability).pow(trials)
    var below = 0.0
    for (count in 0 until minOf(successes, trials + 1)) {
        below += term
        term *= (trials - count) / (count + 1.0) * probability / (1 - probability)
    }
    return (1 - below).coerceIn(0.0, 1.0)
}

/** Other engines that crash by chance meanwhile; one for three engines with the part still counts as crashes of the part alone. */
private const val OTHERS_PER_ENGINE_WITH_PART = 1.0 / 3

/** Engines that crash at one moment are one event; two events happen by chance to each part that is in flight at many engines. */
private const val MINIMUM_MOMENTS = 3

/** Hundreds of parts are in flight at the engines of a burst, but few of them at three engines and at three moments. */
private const val MAXIMUM_CHANCE = 0.01
