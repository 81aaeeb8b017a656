/*
 * A caller on a raw socket, which distinguishes a complete response from a truncated one as HTTP defines it: by the
 * length, by the final chunk or, without both, by an orderly close of the connection.
 */
package org.primrosesill.transport

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket

/**
 * A response as a raw caller received it. A status of 0 means that no response arrived.
 *
 * @property complete whether the framing of the response says that it is whole
 */
data class RawResponse(val status: Int, val body: String, val complete: Boolean)

/**
 * Sends one request with [method] and [body] to the listener at local [port] and reads the response in pauses of
 * [readPauseMillis].
 */
class RawCaller(
    private val port: Int,
    private val version: String = "HTTP/1.1",
    private val readPauseMillis: Long = 0,
    private val method: String = "POST",
    private val body: ByteArray = ByteArray(0),
) {
    fun send(target: String, headers: Map<String, String> = emptyMap()): RawResponse =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            val fields = headers.entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
            val head = "$method $target $version\r\n${fields}Content-Length: ${body.size}\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray() + body)
            readResponse(socket.getInputStream())
        }

    private fun readResponse(input: InputStream): RawResponse {
        val received = ByteArrayOutputStream()
        val closedInOrder = readToEnd(input, received)
        val text = received.toString(Charsets.ISO_8859_1)
        if ("\r\n\r\n" !in text) return RawResponse(0, text, complete = false)
        val head = text.substringBefore("\r\n\r\n")
        val status = head.split(' ')[1].toInt()
        return decodeBody(status, head, text.substringAfter("\r\n\r\n"), closedInOrder)
    }

    /** Returns whether the connection ended by an orderly close rather than a reset. */
    private fun readToEnd(input: InputStream, received: ByteArrayOutputStream): Boolean {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count =
                try {
                    input.read(buffer)
                } catch (_: IOException) {
                    return false
                }
            if (count < 0) return true
            received.write(buffer, 0, count)
            if (readPauseMillis > 0) Thread.sleep(readPauseMillis)
        }
    }

    private fun decodeBody(status: Int, head: String, body: String, closedInOrder: Boolean): RawResponse {
        val length = headerOf(head, "content-length")?.toInt()
        return when {
            method == "HEAD" -> RawResponse(status, body, body.isEmpty() && closedInOrder)
            headerOf(head, "transfer-encoding") == "chunked" -> decodeChunks(status, body)
            length != null -> RawResponse(status, body, body.length == length)
            else -> RawResponse(status, body, closedInOrder)
        }
    }

    private fun decodeChunks(status: Int, encoded: String): RawResponse {
        val body = StringBuilder()
        var rest = encoded
        while (true) {
            if ("\r\n" !in rest) return RawResponse(status, body.toString(), complete = false)
            val size = rest.substringBefore("\r\n").toInt(radix = 16)
            if (size == 0) return RawResponse(status, body.toString(), complete = true)
            val chunk = rest.substringAfter("\r\n")
            body.append(chunk.take(size))
            if (chunk.length < size + 2) return RawResponse(status, body.toString(), complete = false)
            rest = chunk.drop(size + 2)
        }
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 4_000
        const val BUFFER_BYTES = 16 * 1024
    }
}
