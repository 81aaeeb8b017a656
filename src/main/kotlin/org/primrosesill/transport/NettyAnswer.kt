/*
 * The answer to one request of a caller.
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
import org.primrosesill.forwarding.OutboundAnswer
import org.primrosesill.forwarding.OutboundHead
import kotlin.coroutines.resume

internal class NettyAnswer(
    private val connection: CallerConnection,
    private val request: HttpRequest,
    private val allocator: ByteBufAllocator,
) : OutboundAnswer {
    private val channel = connection.channel
    private val bodiless get() = request.method() == HttpMethod.HEAD

    /** A caller that speaks HTTP/1.0 knows no chunks; its answer ends with the connection. */
    private val chunked = request.protocolVersion() == HttpVersion.HTTP_1_1

    override var started = false
        private set

    /** The whole answer is written. */
    var isWhole = false
        private set

    /** The connection ends with this answer. */
    var closes = !HttpUtil.isKeepAlive(request)
        private set

    override suspend fun respond(head: OutboundHead, body: ByteArray) {
        check(!started) { "the answer was started before" }
        started = true
        val status = statusOf(head)
        val content = if (bodiless) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers().addAll(head.headers)
        if (status.code() !in BODILESS_STATUSES && !(bodiless && HttpHeaderNames.CONTENT_LENGTH in head.headers)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        setConnection(response)
        isWhole = true
        channel.writeAndFlush(response)
    }

    override suspend fun start(head: OutboundHead) {
        check(!started) { "the answer was started before" }
        started = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, statusOf(head))
        response.headers().addAll(head.headers)
        if (chunked) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked") else closes = true
        setConnection(response)
        channel.writeAndFlush(response)
    }

    override suspend fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!channel.isWritable) awaitWritable()
    }

    override suspend fun finish() {
        isWhole = true
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        started = true
        closes = true
        channel.close()
    }

    private fun setConnection(response: HttpResponse) {
        closes = closes || connection.isDraining
        if (closes) response.headers().set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun statusOf(head: OutboundHead) =
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
