/*
 * Decodes the responses on a connection to an upstream, and rejects heads that Netty's decoder would repair or accept
 * although they violate HTTP.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.AsciiString
import org.primrosesill.model.MalformedResponseException
import org.primrosesill.model.ResponseDefect
import org.primrosesill.model.isHttp1Version
import org.primrosesill.model.isStatusCode
import org.primrosesill.model.isToken

/** Decodes responses. The response to a HEAD request has no body. */
internal class ResponseDecoder : HttpResponseDecoder(decoderConfig(MAXIMUM_RESPONSE_HEADER_BYTES)) {
    var isHeadRequest = false

    /** Whether received bytes do not form a complete message yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    /**
     * [statusLine] holds the version, the status and the reason phrase. Netty accepts other versions, and any number as the
     * status.
     */
    override fun createMessage(statusLine: Array<String>): HttpMessage {
        if (!isHttp1Version(statusLine[VERSION_INDEX])) throw MalformedResponseException(ResponseDefect.VERSION)
        if (!isStatusCode(statusLine[STATUS_INDEX])) throw MalformedResponseException(ResponseDefect.STATUS)
        return super.createMessage(statusLine)
    }

    /**
     * Returns the name in [line], also that of a trailer. It must end at its colon: Netty also ends it at a blank, and ignores
     * what follows up to the colon.
     */
    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        val name = super.splitHeaderName(line, start, length)
        val endsAtColon = line[start + length] == COLON
        if (!endsAtColon || !isToken(name.toString())) throw MalformedResponseException(ResponseDefect.FIELD_NAME)
        return name
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)

    private companion object {
        const val VERSION_INDEX = 0
        const val STATUS_INDEX = 1
        const val COLON = ':'.code.toByte()
    }
}

/** Reports the number of received bytes before they are decoded. */
internal class ByteCounter(private val onBytes: (Int) -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) onBytes(message.readableBytes())
        context.fireChannelRead(message)
    }
}
