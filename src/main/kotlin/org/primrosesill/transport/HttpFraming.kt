/*
 * Limits of the HTTP parsers, the check of a message's framing, and conversion between Netty's header fields and
 * [HeaderFields]. Names, values and order of the fields are preserved.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpVersion
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields

/** Limit for the request line, in bytes. */
internal const val MAXIMUM_REQUEST_LINE_BYTES = 8 * 1024

/** Limit for the header fields of a response, in bytes. Upstreams are expected to stay far below it. */
internal const val MAXIMUM_RESPONSE_HEADER_BYTES = 64 * 1024

/** Limit for one chunk of a body as passed on by the parsers, in bytes. */
internal const val MAXIMUM_CHUNK_BYTES = 16 * 1024

internal fun decoderConfig(maximumHeaderBytes: Int): HttpDecoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
        .setMaxHeaderSize(maximumHeaderBytes)
        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
        .setHeadersFactory(DefaultHttpHeadersFactory.headersFactory())

/** Returns whether another HTTP parser could place the end of the body at a different byte. */
internal fun hasAmbiguousFraming(head: HttpMessage): Boolean {
    val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
    val chunked = encodings.size == 1 && encodings[0].trim().equals("chunked", ignoreCase = true)
    return when {
        encodings.isNotEmpty() -> !chunked || head.protocolVersion() != HttpVersion.HTTP_1_1
        lengths.isEmpty() -> false
        else -> lengths.size > 1 || lengths[0].any { it !in '0'..'9' }
    }
}

internal fun HttpHeaders.toHeaderFields(): HeaderFields {
    val fields = ArrayList<HeaderField>(size())
    val iterator = iteratorCharSequence()
    while (iterator.hasNext()) {
        val (name, value) = iterator.next()
        fields += HeaderField(name.toString(), value.toString())
    }
    return HeaderFields(fields)
}

internal fun HttpHeaders.addAll(fields: HeaderFields) {
    for (field in fields) add(field.name, field.value)
}

internal fun ByteBuf.toBytes(): ByteArray = ByteArray(readableBytes()).also { getBytes(readerIndex(), it) }
