/*
 * The server side of one caller connection. Reads a request, passes it to the handler, and processes the next request
 * once the response has been written.
 */
package org.primrosesill.transport

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.primrosesill.forwarding.InboundRequest
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** A request whose body is being received. */
private class PendingRequest(val head: HttpRequest, val arrivedAt: ComparableTimeMark) {
    val body =
        ByteArrayOutputStream(HttpUtil.getContentLength(head, 0L).coerceIn(0, MAXIMUM_CHUNK_BYTES.toLong()).toInt())
}

internal class CallerConnection(val channel: Channel, private val connections: CallerConnections) :
    ChannelInboundHandlerAdapter() {
    private var receiving: PendingRequest? = null
        set(value) {
            if (field == null && value != null) connections.requestStarted()
            if (field != null && value == null) connections.requestEnded()
            field = value
        }
    private var job: Job? = null
    private val pipelined = ArrayDeque<Any>()
    private val buffers = connections.loop.buffers

    /** Bytes of the body of the request that is being received or handled. */
    private var bodyBytes = 0
    private var timeout: ScheduledFuture<*>? = null

    /** Whether the connection is being closed; further input is discarded. */
    private var closing = false

    val isIdle: Boolean get() = job == null && receiving == null

    val isDraining: Boolean get() = connections.draining

    fun close() {
        channel.close()
    }

    /** Resumes a response that is suspended until the channel is writable. */
    var onWritable: (() -> Unit)? = null

    override fun channelActive(context: ChannelHandlerContext) {
        restartTimeout(connections.limits().idleTimeout) { close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            closing -> ReferenceCountUtil.release(message)
            job != null || pipelined.isNotEmpty() || !channel.isWritable -> queue(message)
            else -> process(message)
        }
    }

    /**
     * Queues pipelined input: a caller may send its next request before it has received the response to the previous
     * one.
     */
    private fun queue(message: Any) {
        pipelined += message
        if (pipelined.size > MAXIMUM_PIPELINED_MESSAGES) channel.config().isAutoRead = false
    }

    private fun process(message: Any) {
        try {
            if (message is HttpRequest) processHead(message)
            if (message is HttpContent && !closing) processContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun processHead(head: HttpRequest) {
        val limits = connections.limits()
        val rejection = rejectionStatus(head, limits)
        if (rejection != null) return reject(rejection)
        receiving = PendingRequest(head, TimeSource.Monotonic.markNow())
        restartTimeout(limits.bodyTimeout) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun processContent(content: HttpContent) {
        val request = receiving ?: return
        if (content.decoderResult().isFailure) return reject(HttpResponseStatus.BAD_REQUEST)
        addBodyBytes(content.content().readableBytes())
        content.content().let { it.readBytes(request.body, it.readableBytes()) }
        val maximumBytes = connections.limits().maximumBodyBytes
        if (bodyBytes > maximumBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (bodyBytes > buffers.limit(maximumBytes)) return reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        if (content is LastHttpContent) serve(request)
    }

    private fun addBodyBytes(bytes: Int) {
        bodyBytes += bytes
        buffers.add(bytes)
    }

    private fun serve(request: PendingRequest) {
        connections.requestStarted()
        receiving = null
        timeout?.cancel(false)
        val inbound =
            InboundRequest(
                request.head.method().name(),
                request.head.uri(),
                request.head.headers().toHeaderFields(),
                request.body.toByteArray(),
                request.arrivedAt,
            )
        val response = NettyResponse(this, request.head, connections.loop.allocator)
        val handlerJob =
            connections.loop.scope.launch(start = CoroutineStart.LAZY) {
                connections.handler.handle(inbound, response)
            }
        job = handlerJob
        handlerJob.invokeOnCompletion { connections.loop.eventLoop.execute { onServed(response) } }
        handlerJob.start()
    }

    private fun onServed(response: NettyResponse) {
        connections.requestEnded()
        addBodyBytes(-bodyBytes)
        job = null
        if (!response.isComplete) return close()
        // A response that was started before draining began does not carry "Connection: close".
        if (response.closesConnection || isDraining) return closeAfterWrites()
        restartTimeout(connections.limits().idleTimeout) { close() }
        processPipelined()
    }

    /** Processes queued input while no request is being handled and the caller reads its responses. */
    private fun processPipelined() {
        while (pipelined.isNotEmpty() && job == null && !closing && channel.isWritable) {
            process(pipelined.removeFirst())
        }
        if (pipelined.size <= MAXIMUM_PIPELINED_MESSAGES && !closing) channel.config().isAutoRead = true
    }

    private fun closeAfterWrites() {
        closing = true
        restartTimeout(connections.limits().idleTimeout) { close() }
        channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener { written ->
            if (written.isSuccess) channel.config().setOption(ChannelOption.SO_LINGER, LINGER_DISABLED)
            close()
        }
    }

    /**
     * Lets any close of the connection, also that at the end of the process, reset it, until a complete response has been
     * written. Needed when an orderly close would tell the caller that the response is complete.
     */
    fun resetOnClose() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
    }

    /** Rejects a request that is not read to its end and closes the connection, since the next one cannot be located. */
    private fun reject(status: HttpResponseStatus) {
        if (closing) return
        closing = true
        receiving = null
        addBodyBytes(-bodyBytes)
        channel.config().isAutoRead = false
        restartTimeout(connections.limits().idleTimeout) { close() }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        channel.writeAndFlush(response).addListener { close() }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (!channel.isWritable) return
        onWritable?.invoke()
        processPipelined()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        receiving = null
        if (job == null) addBodyBytes(-bodyBytes)
        job?.cancel()
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        onWritable?.invoke()
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun restartTimeout(after: Duration, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = connections.loop.eventLoop.schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MAXIMUM_PIPELINED_MESSAGES = 16

        /** Value of SO_LINGER for an orderly close. */
        const val LINGER_DISABLED = -1
    }
}

/** Returns the status for rejecting a request by its head, or null when the head is valid. */
private fun rejectionStatus(head: HttpRequest, limits: ListenerLimits): HttpResponseStatus? {
    val cause = head.decoderResult().cause()
    return when {
        cause is io.netty.handler.codec.http.TooLongHttpHeaderException ->
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        cause is TooLongFrameException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
        head.decoderResult().isFailure -> HttpResponseStatus.BAD_REQUEST
        hasAmbiguousFraming(head) || !isValidTarget(head.uri()) -> HttpResponseStatus.BAD_REQUEST
        HttpUtil.getContentLength(head, 0L) > limits.maximumBodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        else -> null
    }
}
