/*
 * Decodes requests, and rejects those whose end another HTTP parser could place at a different byte.
 */
package org.primrosesill.transport

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpVersion

internal class StrictRequestDecoder(maximumHeaderBytes: Int) : HttpRequestDecoder(decoderConfig(maximumHeaderBytes)) {
    /** Netty would drop Content-Length here, but a proxy in front of this listener or an upstream may use it. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and chunked encoding")
}

/** Returns whether another HTTP parser could place the end of the request body at a different byte. */
internal fun hasAmbiguousFraming(head: HttpRequest): Boolean {
    val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
    val chunked = encodings.size == 1 && encodings[0].trim().equals("chunked", ignoreCase = true)
    return when {
        encodings.isNotEmpty() -> !chunked || head.protocolVersion() != HttpVersion.HTTP_1_1
        lengths.isEmpty() -> false
        else -> lengths.size > 1 || lengths[0].any { it !in '0'..'9' }
    }
}

/** Returns whether [target] is valid in the request line to an upstream, into which it is copied unchanged. */
internal fun isValidTarget(target: String): Boolean = target.startsWith('/') && target.all { it in '!'..'~' }
