/*
 * Compression of what gateways send each other over HTTP. Configurations repeat the same words for each route, and links of
 * gateways are narrow.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** The name of the encoding in header fields. */
internal const val GZIP = "gzip"

/** Compresses for speed: a gateway has a part of a core, and most of the gain comes with the lowest level. */
internal fun compress(bytes: ByteArray): ByteArray {
    val compressed = ByteArrayOutputStream()
    FastGzip(compressed).use { it.write(bytes) }
    return compressed.toByteArray()
}

/** Returns what [bytes] hold, or why they cannot be read. More than [maximumBytes] are not unpacked. */
internal fun decompress(bytes: ByteArray, maximumBytes: Int): Either<String, ByteArray> =
    try {
        val unpacked = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(maximumBytes + 1) }
        if (unpacked.size > maximumBytes) "more than $maximumBytes bytes unpacked".left() else unpacked.right()
    } catch (exception: IOException) {
        "not $GZIP: ${exception.message}".left()
    }

private class FastGzip(target: ByteArrayOutputStream) : GZIPOutputStream(target) {
    init {
        def.setLevel(Deflater.BEST_SPEED)
    }
}
