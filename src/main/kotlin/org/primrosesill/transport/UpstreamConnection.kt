/*
 * One connection to an upstream. It carries one request at a time, and tells apart an answer that ended from one that was
 * cut: only the length, the final chunk, or an orderly close of an answer without either ends an answer.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.primrosesill.model.HeaderFields
import kotlinx.coroutines.channels.Channel as PartChannel

/** What arrives on a connection. */
internal sealed interface Inbound {
    class Head(val response: HttpResponse) : Inbound

    class Body(val bytes: ByteArray) : Inbound

    /** The answer is whole. [framed] tells whether its length or a final chunk says so, and not just the close. */
    class End(val framed: Boolean) : Inbound

    class Broken(val reason: String) : Inbound
}

/** Reads answers; a request to HEAD has an answer without a body. */
private class AnswerDecoder : HttpResponseDecoder(decoderConfig(MAXIMUM_ANSWER_HEADER_BYTES)) {
    var headRequest = false

    /** Whether bytes have arrived that belong to no whole message yet. */
    val holdsBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: io.netty.handler.codec.http.HttpMessage): Boolean =
        headRequest || super.isContentAlwaysEmpty(message)
}

/** Tells how many bytes arrive, before they are decoded. */
private class ByteCounter(private val arrived: (Int) -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) arrived(message.readableBytes())
        context.fireChannelRead(message)
    }
}

/** Owned by the traffic thread. */
internal class UpstreamConnection(val channel: Channel, private val gatheredReads: GatheredReads) :
    ChannelInboundHandlerAdapter(),
    GatheredConnection {
    private val decoder = AnswerDecoder()
    private val parts = PartChannel<Inbound>(PartChannel.UNLIMITED)
    private var queuedBytes = 0
    private var gathered = false
    private var busy = false
    private var response: HttpResponse? = null
    private var framed = true
    private var failure: String? = null
    private var write: ChannelFuture? = null
    private var isAnswer: (HeaderFields) -> Boolean = { true }

    /** Bytes that arrived while a request waited for its head. */
    private var bytesBeforeAnswer = 0
    private var answered = false

    /** The answer that is arriving belongs to another request. */
    private var foreign = false

    /** Bytes came that belong to no answer, so that nothing on this connection can be trusted any more. */
    private var tainted = false

    /** Requests that were sent on this connection. */
    var uses = 0
        private set

    init {
        channel.pipeline().addLast(HttpRequestEncoder(), ByteCounter(::bytesArrived), decoder, this)
    }

    val isOpen: Boolean get() = channel.isActive && !tainted

    /** Whether another request can follow: nothing is left over from the one before. */
    val isReusable: Boolean
        get() = isOpen && !busy && !decoder.holdsBytes && failure == null && write?.isSuccess == true

    /** Sends [request]. An answer for whose fields [isAnswer] does not hold is dropped, and the next one is waited for. */
    fun send(request: DefaultFullHttpRequest, isAnswer: (HeaderFields) -> Boolean) {
        busy = true
        answered = false
        bytesBeforeAnswer = 0
        this.isAnswer = isAnswer
        uses++
        decoder.headRequest = request.method() == HttpMethod.HEAD
        write = channel.writeAndFlush(request)
    }

    /** Waits for what arrives next. */
    suspend fun receive(): Inbound {
        val part = parts.receive()
        if (part is Inbound.Body) {
            queuedBytes -= part.bytes.size + PART_OVERHEAD_BYTES
            val waits = !gathered && !channel.config().isAutoRead
            if (waits && queuedBytes < MAXIMUM_QUEUED_BYTES / 2) channel.config().isAutoRead = true
        }
        return part
    }

    /** Lets the rest of the answer be read together with those of other connections. */
    fun gather() {
        if (!busy || gathered) return
        gathered = true
        reads = false
        gatheredReads.add(this)
    }

    override var reads: Boolean
        get() = channel.config().isAutoRead
        set(value) {
            channel.config().isAutoRead = value && queuedBytes <= MAXIMUM_QUEUED_BYTES
        }

    private fun stopGathering() {
        if (!gathered) return
        gathered = false
        gatheredReads.remove(this)
        channel.config().isAutoRead = true
    }

    fun close() {
        stopGathering()
        channel.close()
    }

    /** Interim heads, answers to other requests and bytes that are no answer may come without end. */
    private fun bytesArrived(count: Int) {
        if (!busy || answered) return
        bytesBeforeAnswer += count
        if (bytesBeforeAnswer > MAXIMUM_BYTES_BEFORE_ANSWER) {
            broken("$bytesBeforeAnswer bytes came, and no answer to the request")
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!busy) {
                taint()
            } else if (message is HttpResponse) {
                takeHead(message)
            } else {
                takeContent(message as HttpContent)
            }
            if (message is HttpResponse && message is HttpContent && busy) takeContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun takeHead(message: HttpResponse) {
        if (message.decoderResult().isFailure) {
            return broken(
                "the answer is not HTTP: ${message.decoderResult().cause()}",
            )
        }
        response = message
        if (isInterim(message)) return
        framed =
            decoder.headRequest ||
            HttpUtil.isTransferEncodingChunked(
                message,
            ) || HttpUtil.isContentLengthSet(message) ||
            message.status().code() in BODILESS_STATUSES
        foreign = !isAnswer(message.headers().toHeaderFields())
        if (foreign) return
        answered = true
        parts.trySend(Inbound.Head(message))
    }

    private fun takeContent(message: HttpContent) {
        val head = response ?: return
        if (isInterim(head)) return
        if (message.decoderResult().isFailure) return broken("the body is not HTTP: ${message.decoderResult().cause()}")
        val content: ByteBuf = message.content()
        if (content.isReadable && !foreign) {
            val bytes = content.toBytes()
            queuedBytes += bytes.size + PART_OVERHEAD_BYTES
            parts.trySend(Inbound.Body(bytes))
            if (!gathered && queuedBytes > MAXIMUM_QUEUED_BYTES) channel.config().isAutoRead = false
        }
        if (message is LastHttpContent) end()
    }

    private fun end() {
        response = null
        // The codec also ends an answer without a length when the connection was reset.
        val reason = failure
        if (reason != null && !framed) return broken(reason)
        if (foreign) return if (framed) Unit else broken("an answer to another request came")
        busy = false
        stopGathering()
        parts.trySend(Inbound.End(framed))
    }

    private fun broken(reason: String) {
        busy = false
        tainted = true
        stopGathering()
        parts.trySend(Inbound.Broken(reason))
        channel.close()
    }

    private fun taint() {
        tainted = true
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (busy) broken(failure ?: "the connection was closed")
    }

    @Deprecated("the library declares it deprecated")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failure = cause.toString()
        if (busy && (framed || response == null)) broken(cause.toString())
        context.close()
    }

    private fun isInterim(message: HttpResponse) = message.status().code() in 100..199

    private companion object {
        /** Bytes of an answer that wait for a slow caller before the upstream is made to wait. */
        const val MAXIMUM_QUEUED_BYTES = 256 * 1024

        /** Memory of a part beside its bytes, which counts when an upstream sends very short ones. */
        const val PART_OVERHEAD_BYTES = 64

        /** Holds a late second copy of a long answer. */
        const val MAXIMUM_BYTES_BEFORE_ANSWER = 1024 * 1024
        val BODILESS_STATUSES = setOf(204, 304)
    }
}

/** Returns the request with its framing headers, which follow from the length of [body]. */
internal fun requestMessage(
    method: String,
    target: String,
    body: ByteArray?,
    allocator: io.netty.buffer.ByteBufAllocator,
): DefaultFullHttpRequest {
    val content =
        if (body == null ||
            body.isEmpty()
        ) {
            allocator.buffer(0)
        } else {
            io.netty.buffer.Unpooled
                .wrappedBuffer(body)
        }
    return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, content)
}
