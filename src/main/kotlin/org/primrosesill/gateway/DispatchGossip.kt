/*
 * Encodes the recent dispatches of a gateway, which others use to correct late load reports, in five characters for each
 * engine: its short code and the number of requests.
 */
package org.primrosesill.gateway

import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.parseShortNumber
import org.primrosesill.exchange.shortCode
import org.primrosesill.exchange.shortNumber
import org.primrosesill.model.UpstreamId

/** Returns [dispatches] as text. More than [MAXIMUM_ENTRIES] engines are cut to those with the most dispatches. */
internal fun encodeDispatches(dispatches: Map<UpstreamId, Int>): String =
    dispatches.entries
        .filter { it.value > 0 }
        .sortedByDescending { it.value }
        .take(MAXIMUM_ENTRIES)
        .joinToString("") { (upstream, count) ->
            shortCode(upstream.value) + shortNumber(count.coerceAtMost(MAXIMUM_COUNT).toLong(), COUNT_LENGTH)
        }

/** Returns the dispatches in [text]. Entries that are malformed, zero or of an unknown upstream are ignored. */
internal fun decodeDispatches(text: String, upstreamsByCode: Map<String, UpstreamId>): Map<UpstreamId, Int> =
    text
        .take(MAXIMUM_ENTRIES * ENTRY_LENGTH)
        .chunked(ENTRY_LENGTH)
        .mapNotNull { decode(it, upstreamsByCode) }
        .toMap()

private fun decode(entry: String, upstreamsByCode: Map<String, UpstreamId>): Pair<UpstreamId, Int>? {
    if (entry.length != ENTRY_LENGTH) return null
    val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
    val count = parseShortNumber(entry.drop(SHORT_CODE_LENGTH))?.toInt() ?: return null
    return if (count > 0) upstream to count else null
}

private const val COUNT_LENGTH = 1
private const val ENTRY_LENGTH = SHORT_CODE_LENGTH + COUNT_LENGTH

/** The largest number in one character. */
private const val MAXIMUM_COUNT = 63

/** Bounds the field to 640 bytes; a gateway of a large fleet dispatches to fewer engines in a second. */
private const val MAXIMUM_ENTRIES = 128
