/*
 * Encodes the requests that gateways have in progress at small services: for each gateway its short code (four characters),
 * the age of its figures (one), the number of its upstreams (one), and for each of them the short code (four), the
 * average number of requests in progress (one) and the requests sent per second (one), both on a logarithmic scale.
 */
package org.primrosesill.gateway

import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.parseShortNumber
import org.primrosesill.exchange.shortCode
import org.primrosesill.exchange.shortNumber
import org.primrosesill.load.GatewayUse
import org.primrosesill.load.UpstreamUse
import org.primrosesill.model.UpstreamId
import kotlin.math.ceil
import kotlin.math.log2
import kotlin.math.pow
import kotlin.math.roundToInt

/** Returns the first [MAXIMUM_GATEWAYS] of [uses] as text. */
internal fun encodeServiceCounts(uses: List<GatewayUse>): String =
    uses.take(MAXIMUM_GATEWAYS).joinToString("") { use ->
        val upstreams = use.upstreams.entries.take(MAXIMUM_UPSTREAMS)
        // Rounded up, so that no copy of a figure seems newer than the figure.
        val age = ceil(use.ageMillis / AGE_UNIT_MILLIS).toLong().coerceIn(0, MAXIMUM_STEP)
        use.gateway + shortNumber(age, 1) + shortNumber(upstreams.size.toLong(), 1) +
            upstreams.joinToString("") { (upstream, use) ->
                shortCode(upstream.value) + encodeFigure(use.inProgress) + encodeFigure(use.startsPerSecond)
            }
    }

/** Returns the uses in [text] up to the first malformed one. Upstreams that are not in [upstreamsByCode] are ignored. */
internal fun decodeServiceCounts(text: String, upstreamsByCode: Map<String, UpstreamId>): List<GatewayUse> {
    val uses = mutableListOf<GatewayUse>()
    var index = 0
    while (index + HEAD_LENGTH <= text.length) {
        val age = parseShortNumber(text.substring(index + SHORT_CODE_LENGTH, index + SHORT_CODE_LENGTH + 1))
        val count = parseShortNumber(text.substring(index + SHORT_CODE_LENGTH + 1, index + HEAD_LENGTH))
        if (age == null || count == null) break
        val end = index + HEAD_LENGTH + count.toInt() * ENTRY_LENGTH
        if (count > MAXIMUM_UPSTREAMS || end > text.length) break
        val upstreams =
            text
                .substring(index + HEAD_LENGTH, end)
                .chunked(ENTRY_LENGTH)
                .mapNotNull { decodeUse(it, upstreamsByCode) }
                .toMap()
        val gateway = text.substring(index, index + SHORT_CODE_LENGTH)
        if (upstreams.isNotEmpty()) uses += GatewayUse(gateway, age * AGE_UNIT_MILLIS.toLong(), upstreams)
        index = end
    }
    return uses
}

private fun decodeUse(entry: String, upstreamsByCode: Map<String, UpstreamId>): Pair<UpstreamId, UpstreamUse>? {
    val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
    val inProgress = decodeFigure(entry[SHORT_CODE_LENGTH]) ?: return null
    val startsPerSecond = decodeFigure(entry[SHORT_CODE_LENGTH + 1]) ?: return null
    return upstream to UpstreamUse(inProgress, startsPerSecond)
}

private fun encodeFigure(figure: Double): String {
    if (figure < SMALLEST_FIGURE) return shortNumber(0, 1)
    val step = 1 + (STEPS_PER_DOUBLING * log2(figure / SMALLEST_FIGURE)).roundToInt()
    return shortNumber(step.toLong().coerceAtMost(MAXIMUM_STEP), 1)
}

private fun decodeFigure(character: Char): Double? {
    val step = parseShortNumber(character.toString()) ?: return null
    return if (step == 0L) 0.0 else SMALLEST_FIGURE * 2.0.pow((step - 1) / STEPS_PER_DOUBLING)
}

private const val HEAD_LENGTH = SHORT_CODE_LENGTH + 2
private const val ENTRY_LENGTH = SHORT_CODE_LENGTH + 2
private const val MAXIMUM_STEP = 63L
private const val AGE_UNIT_MILLIS = 100.0

/** Bounds the text at 40 x 54 = 2,160 characters for one service of eight upstreams. */
private const val MAXIMUM_GATEWAYS = 40

/** Two services of eight upstreams. */
private const val MAXIMUM_UPSTREAMS = 16

/** The scale ends at 281. A step is a sixth, which averages out over gateways. */
private const val SMALLEST_FIGURE = 0.02
private const val STEPS_PER_DOUBLING = 4.5
