/*
 * Encodes the requests to upstreams.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** Returns the request with [body] as its content. The caller sets the header fields, framing included. */
internal fun requestMessage(
    method: String,
    target: String,
    body: ByteArray?,
    allocator: ByteBufAllocator,
): DefaultFullHttpRequest {
    val content = if (body == null || body.isEmpty()) allocator.buffer(0) else Unpooled.wrappedBuffer(body)
    return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, content)
}
