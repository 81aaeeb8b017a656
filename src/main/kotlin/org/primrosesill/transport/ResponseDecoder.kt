/*
 * Decodes the responses on a connection to an upstream.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses. The response to a HEAD request has no body. */
internal class ResponseDecoder : HttpResponseDecoder(decoderConfig(MAXIMUM_RESPONSE_HEADER_BYTES)) {
    var isHeadRequest = false

    /** Whether received bytes do not form a complete message yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}

/** Reports the number of received bytes before they are decoded. */
internal class ByteCounter(private val onBytes: (Int) -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) onBytes(message.readableBytes())
        context.fireChannelRead(message)
    }
}
