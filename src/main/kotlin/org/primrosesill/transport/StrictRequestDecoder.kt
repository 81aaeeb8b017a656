/*
 * Decodes requests, and rejects those whose end another HTTP parser could place at a different byte.
 */
package org.primrosesill.transport

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

internal class StrictRequestDecoder(maximumHeaderBytes: Int) : HttpRequestDecoder(decoderConfig(maximumHeaderBytes)) {
    /** Netty would drop Content-Length here, but a proxy in front of this listener or an upstream may use it. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and chunked encoding")
}

/** Returns whether [target] is valid in the request line to an upstream, into which it is copied unchanged. */
internal fun isValidTarget(target: String): Boolean = target.startsWith('/') && target.all { it in '!'..'~' }
