/*
 * The response to one request of a caller.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.suspendCancellableCoroutine
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.ResponseHead
import kotlin.coroutines.resume

internal class NettyResponse(
    private val connection: CallerConnection,
    private val request: HttpRequest,
    private val allocator: ByteBufAllocator,
) : OutboundResponse {
    private val channel = connection.channel
    private val isHeadRequest get() = request.method() == HttpMethod.HEAD

    /**
     * HTTP/1.0 has no chunked encoding: an orderly close of the connection marks the end of the response, and a reset
     * marks a truncated one.
     */
    private val chunked = request.protocolVersion() == HttpVersion.HTTP_1_1

    override var started = false
        private set

    /** Whether the whole response has been written. */
    var isComplete = false
        private set

    /** Whether the connection is closed after this response. */
    var closesConnection = !HttpUtil.isKeepAlive(request)
        private set

    override suspend fun respond(head: ResponseHead, body: ByteArray) {
        check(!started) { "the response has already been started" }
        started = true
        val status = responseStatus(head)
        val content = if (isHeadRequest) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers().addAll(head.headers)
        if (status.code() !in BODILESS_STATUSES && !(isHeadRequest && HttpHeaderNames.CONTENT_LENGTH in head.headers)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        setConnectionField(response)
        isComplete = true
        channel.writeAndFlush(response)
    }

    override suspend fun start(head: ResponseHead) {
        check(!started) { "the response has already been started" }
        started = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, responseStatus(head))
        response.headers().addAll(head.headers)
        if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
        } else {
            closesConnection = true
            connection.resetOnClose()
        }
        setConnectionField(response)
        channel.writeAndFlush(response)
    }

    override suspend fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!channel.isWritable) awaitWritable()
    }

    override suspend fun finish() {
        isComplete = true
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        started = true
        closesConnection = true
        channel.close()
    }

    private fun setConnectionField(response: HttpResponse) {
        closesConnection = closesConnection || connection.isDraining
        if (closesConnection) response.headers().set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun responseStatus(head: ResponseHead) =
        if (head.reason.isEmpty()) {
            HttpResponseStatus.valueOf(head.status)
        } else {
            HttpResponseStatus(head.status, head.reason)
        }

    private suspend fun awaitWritable() =
        suspendCancellableCoroutine { continuation ->
            connection.onWritable = {
                connection.onWritable = null
                if (continuation.isActive) continuation.resume(Unit)
            }
            if (channel.isWritable || !channel.isActive) connection.onWritable?.invoke()
        }

    private companion object {
        val BODILESS_STATUSES = setOf(204, 304)
    }
}

private operator fun org.primrosesill.model.HeaderFields.contains(name: io.netty.util.AsciiString) =
    contains(name.toString())
