/*
 * Short texts for ids and numbers, so that messages about many routers and upstreams stay small.
 */
package org.primrosesill.exchange

import com.dynatrace.hash4j.hashing.Hashing

internal const val SHORT_CODE_ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

/** Characters of a code: 24 bits. With 330 ids two of them share a code once in about 300 sets. */
public const val SHORT_CODE_LENGTH: Int = 4

private const val BITS = 6
private const val MASK = 63L

/** Returns the code of an id in [length] characters of 6 bits each. */
public fun shortCode(id: String, length: Int = SHORT_CODE_LENGTH): String =
    shortNumber(
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(id)
            .asLong,
        length,
    )

/** Returns the lowest bits of [number] in [length] characters. */
public fun shortNumber(number: Long, length: Int): String =
    String(CharArray(length) { SHORT_CODE_ALPHABET[((number ushr (BITS * it)) and MASK).toInt()] })

/** Returns the number that [text] stands for, or null when it has other characters. */
public fun parseShortNumber(text: String): Long? {
    var number = 0L
    for ((index, character) in text.withIndex()) {
        val digit = SHORT_CODE_ALPHABET.indexOf(character)
        if (digit < 0) return null
        number = number or (digit.toLong() shl (BITS * index))
    }
    return number
}
