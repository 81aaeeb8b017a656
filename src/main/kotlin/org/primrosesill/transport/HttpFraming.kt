/*
 * How HTTP messages are read and written: the bounds of the parsers, and conversion between the library's header fields
 * and the product's. Names and values pass unchanged, in their order.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields

/** Longest request line, in bytes. */
internal const val MAXIMUM_REQUEST_LINE_BYTES = 8 * 1024

/** Header fields of an answer, in bytes. Upstreams are trusted to stay far below it. */
internal const val MAXIMUM_ANSWER_HEADER_BYTES = 64 * 1024

/** Bytes of a body that are handed on at once. */
internal const val MAXIMUM_CHUNK_BYTES = 64 * 1024

internal fun decoderConfig(maximumHeaderBytes: Int): HttpDecoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
        .setMaxHeaderSize(maximumHeaderBytes)
        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
        .setHeadersFactory(DefaultHttpHeadersFactory.headersFactory())

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
