/*
 * Compression of HTTP bodies between gateways. Configurations repeat the same words for each route, and the links of
 * gateways have a low bandwidth.
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

/** Name of the content coding in header fields. */
internal const val GZIP = "gzip"

/**
 * Compresses at the fastest level: a gateway runs on a fraction of a core, and this level brings most of the reduction.
 */
internal fun compress(bytes: ByteArray): ByteArray {
    val compressed = ByteArrayOutputStream()
    FastestGzipOutputStream(compressed).use { it.write(bytes) }
    return compressed.toByteArray()
}

/** Decompresses [bytes], or returns why that fails, for example because the result exceeds [maximumBytes]. */
internal fun decompress(bytes: ByteArray, maximumBytes: Int): Either<String, ByteArray> =
    try {
        val decompressed = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(maximumBytes + 1) }
        if (decompressed.size > maximumBytes) {
            "the decompressed body exceeds $maximumBytes bytes".left()
        } else {
            decompressed.right()
        }
    } catch (exception: IOException) {
        "the body is not valid $GZIP data: ${exception.message}".left()
    }

private class FastestGzipOutputStream(target: ByteArrayOutputStream) : GZIPOutputStream(target) {
    init {
        def.setLevel(Deflater.BEST_SPEED)
    }
}
