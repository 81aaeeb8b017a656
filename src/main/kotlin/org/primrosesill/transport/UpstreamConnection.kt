/*
 * One connection to an upstream. It carries one request at a time and distinguishes a complete response from a
 * truncated one: a response ends only by its Content-Length, by its final chunk, or, when it has neither, by an orderly
 * close of the connection.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.MalformedResponseException
import org.primrosesill.model.ResponseDefect
import org.primrosesill.request.BufferBudget
import org.primrosesill.request.HeadMatch
import java.io.IOException
import kotlinx.coroutines.channels.Channel as EventChannel

/** Confined to the traffic thread. */
internal class UpstreamConnection(
    val channel: Channel,
    private val batchedReads: BatchedReads,
    private val buffers: BufferBudget,
) : ChannelInboundHandlerAdapter(),
    BatchedConnection {
    private val decoder = ResponseDecoder()
    private val events = EventChannel<ResponseEvent>(EventChannel.UNLIMITED)
    private var queuedBytes = 0
    private var batched = false
    private var inExchange = false
    private var response: HttpResponse? = null
    private var framed = true
    private val inputEnd = InputEnd()
    private var lastWrite: ChannelFuture? = null
    private var matchHead: (HeaderFields) -> HeadMatch = { HeadMatch.THIS_CALL }

    /** Bytes received between the request and the head of its response. */
    private var bytesBeforeResponse = 0
    private var responseStarted = false

    /** Whether the response that is being received belongs to another request. */
    private var mismatched = false

    /** Set when the connection failed or received bytes outside a response, after which it must not be reused. */
    private var unusable = false

    /** Number of requests sent on this connection. */
    var requestCount = 0
        private set

    init {
        channel.pipeline().addLast(
            HttpRequestEncoder(),
            InputEndRecorder(inputEnd),
            ByteCounter(::countBytes),
            decoder,
            this,
        )
    }

    val isOpen: Boolean get() = channel.isActive && !unusable

    /** Whether another request can be sent: nothing remains of the previous exchange. */
    val isReusable: Boolean
        get() =
            isOpen && !inExchange && !decoder.hasUndecodedBytes && inputEnd.failure == null &&
                lastWrite?.isSuccess == true

    /** Sends [request]. Responses that belong to other calls by [matchHead] are discarded. */
    fun send(request: DefaultFullHttpRequest, matchHead: (HeaderFields) -> HeadMatch) {
        inExchange = true
        responseStarted = false
        bytesBeforeResponse = 0
        this.matchHead = matchHead
        requestCount++
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        lastWrite =
            channel.writeAndFlush(request).addListener { write ->
                if (!write.isSuccess) onWriteFailed(write.cause())
            }
    }

    /** A request that could not be written may have a response all the same, unless it could not be encoded. */
    private fun onWriteFailed(cause: Throwable) {
        inputEnd.recordWriteFailure(cause)
        if (cause !is IOException && inExchange) fail("$cause")
    }

    /** Suspends until there is an event and returns it. */
    suspend fun receive(): ResponseEvent {
        val event = events.receive()
        if (event is ResponseEvent.Body) {
            addQueued(-event.bytes.size - EVENT_OVERHEAD_BYTES)
            val readsPaused = !batched && !channel.config().isAutoRead
            if (readsPaused && queuedBytes <= maximumQueuedBytes / 2) channel.config().isAutoRead = true
        }
        return event
    }

    /** Reads the rest of the response in batches with those of other connections. */
    fun batchReads() {
        if (!inExchange || batched) return
        batched = true
        autoRead = false
        batchedReads.add(this)
    }

    override var autoRead: Boolean
        get() = channel.config().isAutoRead
        set(value) {
            channel.config().isAutoRead = value && queuedBytes <= maximumQueuedBytes
        }

    private fun stopBatching() {
        if (!batched) return
        batched = false
        batchedReads.remove(this)
        channel.config().isAutoRead = true
    }

    private val maximumQueuedBytes get() = buffers.limit(MAXIMUM_QUEUED_BYTES)

    private fun addQueued(bytes: Int) {
        queuedBytes += bytes
        buffers.add(bytes)
    }

    /** Closes the connection. What is queued is not received any more. */
    fun close() {
        stopBatching()
        addQueued(-queuedBytes)
        channel.close()
    }

    /**
     * Limits the input before the response: interim responses, responses to other requests and malformed data may be
     * endless.
     */
    private fun countBytes(count: Int) {
        if (!inExchange || responseStarted) return
        bytesBeforeResponse += count
        if (bytesBeforeResponse > MAXIMUM_BYTES_BEFORE_RESPONSE) {
            fail("$bytesBeforeResponse bytes received and no response to the request")
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!inExchange) {
                closeAfterUnsolicitedInput()
            } else if (message is HttpResponse) {
                processHead(message)
            } else {
                processContent(message as HttpContent)
            }
            if (message is HttpResponse && message is HttpContent && inExchange) processContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun processHead(message: HttpResponse) {
        if (message.decoderResult().isFailure) {
            return fail(ResponseEvent.Malformed(defectOf(message.decoderResult(), ResponseDefect.OTHER_HEAD)))
        }
        response = message
        if (isInterim(message)) return
        if (hasAmbiguousFraming(message)) return fail(ResponseEvent.Malformed(ResponseDefect.FRAMING))
        framed =
            decoder.isHeadRequest ||
            HttpUtil.isTransferEncodingChunked(
                message,
            ) || HttpUtil.isContentLengthSet(message) ||
            message.status().code() in BODILESS_STATUSES
        val match = matchHead(message.headers().toHeaderFields())
        if (match == HeadMatch.UNKNOWN &&
            requestCount > 1
        ) {
            return fail("response without a request id on a reused connection")
        }
        mismatched = match == HeadMatch.OTHER_CALL
        if (mismatched) return
        responseStarted = true
        events.trySend(ResponseEvent.Head(message, framed))
    }

    private fun processContent(message: HttpContent) {
        val head = response ?: return
        if (isInterim(head)) return
        if (message.decoderResult().isFailure) {
            return fail(ResponseEvent.Malformed(defectOf(message.decoderResult(), ResponseDefect.BODY)))
        }
        val content: ByteBuf = message.content()
        if (content.isReadable && !mismatched) {
            val bytes = content.toBytes()
            addQueued(bytes.size + EVENT_OVERHEAD_BYTES)
            events.trySend(ResponseEvent.Body(bytes))
            if (queuedBytes > maximumQueuedBytes) channel.config().isAutoRead = false
        }
        if (message is LastHttpContent) endResponse()
    }

    private fun endResponse() {
        response = null
        // Netty's decoder also ends a response without a length when the connection was reset.
        if (!framed && !inputEnd.isOrderly) return fail(inputEnd.failure ?: UNEXPECTED_CLOSE)
        if (mismatched) return if (framed) Unit else fail("received the response to another request")
        inExchange = false
        stopBatching()
        events.trySend(ResponseEvent.End(framed))
    }

    private fun fail(reason: String) = fail(ResponseEvent.Failed(reason))

    private fun fail(event: ResponseEvent) {
        inExchange = false
        unusable = true
        stopBatching()
        events.trySend(event)
        channel.close()
    }

    private fun closeAfterUnsolicitedInput() {
        unusable = true
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (inExchange) fail(inputEnd.failure ?: UNEXPECTED_CLOSE)
    }

    /** Closes the connection when the upstream has closed its side. The decoder has processed all input before. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) {
            context.fireUserEventTriggered(event)
            return
        }
        unusable = true
        if (inExchange) fail(inputEnd.failure ?: UNEXPECTED_CLOSE)
        channel.close()
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (inExchange && (framed || response == null)) fail(cause.toString())
        context.close()
    }

    /** Netty's own causes quote what was received, and so are not passed on. */
    private fun defectOf(result: DecoderResult, otherwise: ResponseDefect): ResponseDefect =
        (result.cause() as? MalformedResponseException)?.defect ?: otherwise

    private fun isInterim(message: HttpResponse) = message.status().code() in 100..199

    private companion object {
        /** Bytes of a response that are buffered for a slow caller before reading from the upstream pauses. */
        const val MAXIMUM_QUEUED_BYTES = 256 * 1024

        /** Memory of a queued event beside its bytes, which is significant when an upstream sends very short chunks. */
        const val EVENT_OVERHEAD_BYTES = 64

        /** Large enough for a late duplicate of a long response. */
        const val MAXIMUM_BYTES_BEFORE_RESPONSE = 1024 * 1024
        val BODILESS_STATUSES = setOf(204, 304)
        const val UNEXPECTED_CLOSE = "connection closed before the end of the response"
    }
}
