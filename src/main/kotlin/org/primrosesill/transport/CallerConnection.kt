/*
 * One connection of a caller: reads a request, has it served, and goes on to the next one when the answer is out.
 */
package org.primrosesill.transport

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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

/** A request whose body is arriving. */
private class Arriving(val head: HttpRequest, val arrivedAt: ComparableTimeMark) {
    val body =
        ByteArrayOutputStream(HttpUtil.getContentLength(head, 0L).coerceIn(0, MAXIMUM_CHUNK_BYTES.toLong()).toInt())
}

internal class CallerConnection(val channel: Channel, private val owner: CallerConnections) :
    ChannelInboundHandlerAdapter() {
    private var arriving: Arriving? = null
    private var job: Job? = null
    private val waiting = ArrayDeque<Any>()
    private var timer: ScheduledFuture<*>? = null

    /** Nothing more is read from this connection. */
    private var ending = false

    val isIdle: Boolean get() = job == null && arriving == null

    val isDraining: Boolean get() = owner.draining

    fun close() {
        channel.close()
    }

    /** Wakes an answer that waits for the caller to take more. */
    var onWritable: (() -> Unit)? = null

    override fun channelActive(context: ChannelHandlerContext) {
        restartTimer(owner.limits().idleTimeout) { close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            ending -> ReferenceCountUtil.release(message)
            job != null -> hold(message)
            else -> take(message)
        }
    }

    /** A caller may send its next request before it has the answer to the last one. */
    private fun hold(message: Any) {
        waiting += message
        if (waiting.size > MAXIMUM_WAITING_MESSAGES) channel.config().isAutoRead = false
    }

    private fun take(message: Any) {
        try {
            if (message is HttpRequest) takeHead(message)
            if (message is HttpContent && !ending) takeContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun takeHead(head: HttpRequest) {
        val limits = owner.limits()
        val refusal = refusalOf(head, limits)
        if (refusal != null) return refuse(refusal)
        arriving = Arriving(head, TimeSource.Monotonic.markNow())
        restartTimer(limits.bodyTimeout) { refuse(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun takeContent(content: HttpContent) {
        val request = arriving ?: return
        if (content.decoderResult().isFailure) return refuse(HttpResponseStatus.BAD_REQUEST)
        content.content().let { it.readBytes(request.body, it.readableBytes()) }
        if (request.body.size() > owner.limits().maximumBodyBytes) {
            return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content is LastHttpContent) serve(request)
    }

    private fun serve(request: Arriving) {
        arriving = null
        timer?.cancel(false)
        val inbound =
            InboundRequest(
                request.head.method().name(),
                request.head.uri(),
                request.head.headers().toHeaderFields(),
                request.body.toByteArray(),
                request.arrivedAt,
            )
        val answer = NettyAnswer(this, request.head, owner.loop.allocator)
        owner.requestStarted()
        val serving =
            owner.loop.scope.launch(start = CoroutineStart.LAZY) {
                owner.handler.handle(inbound, answer)
            }
        job = serving
        serving.invokeOnCompletion { owner.loop.eventLoop.execute { served(answer) } }
        serving.start()
    }

    private fun served(answer: NettyAnswer) {
        owner.requestEnded()
        job = null
        if (!answer.isWhole) return close()
        // An answer that began before the stop could not say that the connection ends with it.
        if (answer.closes || isDraining) return closeAfterWrites()
        restartTimer(owner.limits().idleTimeout) { close() }
        channel.config().isAutoRead = true
        while (waiting.isNotEmpty() && job == null && !ending) take(waiting.removeFirst())
    }

    private fun closeAfterWrites() {
        ending = true
        channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener { close() }
    }

    /** Answers a request that cannot be read, and ends the connection, whose further bytes have no known meaning. */
    private fun refuse(status: HttpResponseStatus) {
        if (ending) return
        ending = true
        arriving = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        channel.writeAndFlush(response).addListener { close() }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        job?.cancel()
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        onWritable?.invoke()
    }

    @Deprecated("the library declares it deprecated")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun restartTimer(after: Duration, action: () -> Unit) {
        timer?.cancel(false)
        timer = owner.loop.eventLoop.schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MAXIMUM_WAITING_MESSAGES = 16
    }
}

/** Returns the status with which a request is refused whose head is wrong, or null. */
private fun refusalOf(head: HttpRequest, limits: ListenerLimits): HttpResponseStatus? {
    val cause = head.decoderResult().cause()
    return when {
        cause is io.netty.handler.codec.http.TooLongHttpHeaderException ->
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        cause is TooLongFrameException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
        head.decoderResult().isFailure -> HttpResponseStatus.BAD_REQUEST
        hasAmbiguousFraming(head) || !hasPlainTarget(head.uri()) -> HttpResponseStatus.BAD_REQUEST
        HttpUtil.getContentLength(head, 0L) > limits.maximumBodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        else -> null
    }
}
