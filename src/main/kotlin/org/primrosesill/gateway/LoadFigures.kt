/*
 * Encodes the figures of load reports in one character each. A figure that is unknown has a character of its own; where all
 * figures of a message are unknown, the field is empty.
 */
package org.primrosesill.gateway

import org.primrosesill.exchange.parseShortNumber
import org.primrosesill.exchange.shortNumber
import org.primrosesill.load.LoadObservation
import kotlin.math.log2
import kotlin.math.pow
import kotlin.math.roundToInt

/** Returns the slowness of each of [observations], in their order. */
internal fun encodeSlowness(observations: List<LoadObservation>): String =
    encode(observations, UNKNOWN_SLOWNESS) { it.slowness?.let(::slownessStep) }

/** Returns the slowness in entry [index] of [text], or null if it is unknown. */
internal fun decodeSlowness(text: String, index: Int): Double? =
    decode(text, index)
        ?.takeIf { it != UNKNOWN_SLOWNESS }
        ?.let { MINIMUM_SLOWNESS * 2.0.pow((it - 1) / STEPS_PER_DOUBLING) }

/** Returns the waiting requests of each of [observations], in their order. */
internal fun encodeWaiting(observations: List<LoadObservation>): String =
    encode(observations, UNKNOWN_WAITING) { observation -> observation.waiting?.coerceIn(0, MAXIMUM_WAITING) }

/** Returns the waiting requests in entry [index] of [text], or null if they are unknown. */
internal fun decodeWaiting(text: String, index: Int): Int? = decode(text, index)?.takeIf { it != UNKNOWN_WAITING }

private fun encode(observations: List<LoadObservation>, unknown: Int, figure: (LoadObservation) -> Int?): String {
    val figures = observations.map(figure)
    if (figures.all { it == null }) return ""
    return figures.joinToString("") { shortNumber((it ?: unknown).toLong(), length = 1) }
}

private fun decode(text: String, index: Int): Int? =
    text.getOrNull(index)?.let { parseShortNumber(it.toString()) }?.toInt()

private fun slownessStep(slowness: Double): Int =
    (
        1 + STEPS_PER_DOUBLING *
            log2(
                slowness.coerceIn(MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS) / MINIMUM_SLOWNESS,
            )
    ).roundToInt()

private const val UNKNOWN_SLOWNESS = 0
private const val MINIMUM_SLOWNESS = 0.5
private const val MAXIMUM_SLOWNESS = 16.0

/** The five doublings of the range take 61 of the 64 characters. */
private const val STEPS_PER_DOUBLING = 12.0
private const val UNKNOWN_WAITING = 63
private const val MAXIMUM_WAITING = 62
