/*
 * Reads bodies whose size an external process controls, up to a limit.
 */
package org.primrosesill.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.io.ByteArrayOutputStream

private const val BUFFER_BYTES = 8 * 1024

/** Reads the whole body, or returns null as soon as it exceeds [limitBytes]. */
internal suspend fun ByteReadChannel.readBounded(limitBytes: Int): ByteArray? {
    val body = ByteArrayOutputStream()
    val buffer = ByteArray(BUFFER_BYTES)
    while (true) {
        val count = readAvailable(buffer, 0, buffer.size)
        if (count < 0) return body.toByteArray()
        if (body.size() + count > limitBytes) return null
        body.write(buffer, 0, count)
    }
}
