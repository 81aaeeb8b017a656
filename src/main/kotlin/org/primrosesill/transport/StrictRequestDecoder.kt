/*
 * Reads requests, and refuses those whose end two readers could see in different places.
 */
package org.primrosesill.transport

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpVersion

internal class StrictRequestDecoder(maximumHeaderBytes: Int) : HttpRequestDecoder(decoderConfig(maximumHeaderBytes)) {
    /** The library would drop the length; an upstream or a proxy before this listener may go by it. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("a request with a length and chunks")
}

/** Returns whether the framing of a request is in doubt. */
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

/** Returns whether [target] holds only what a request line can carry, since it is passed on as it is. */
internal fun hasPlainTarget(target: String): Boolean = target.startsWith('/') && target.all { it in '!'..'~' }
