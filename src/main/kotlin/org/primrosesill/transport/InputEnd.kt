/*
 * How the input of a connection ended. A response without a length is complete only if its upstream closed the connection
 * in order. That takes evidence of its own: that no failure was noticed proves nothing, because the kernel reports a reset
 * once only, to whichever of a read and a write comes first.
 */
package org.primrosesill.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent

/** Confined to the traffic thread. */
internal class InputEnd {
    private var reachedEndOfStream = false

    /** Why the connection failed, or null if no failure of a read or a write shows that it was reset. */
    var failure: String? = null
        private set

    /** Whether the peer has closed its side of the connection, and all that it sent before has been received. */
    val isOrderly: Boolean get() = reachedEndOfStream && failure == null

    fun recordEndOfStream() {
        reachedEndOfStream = true
    }

    fun recordReadFailure(cause: Throwable) {
        failure = cause.toString()
    }

    /**
     * Records that a write failed. After a reset it fails with ECONNRESET, and the reads after it return the end of the stream
     * as if the peer had closed the connection in order. After an orderly close it fails with EPIPE, also if a reset followed.
     */
    fun recordWriteFailure(cause: Throwable) {
        if (!isBrokenPipe(cause)) failure = failure ?: "write failed: $cause"
    }

    /** The JDK has no type for EPIPE. In a locale with another text, an orderly close counts as a reset. */
    private fun isBrokenPipe(cause: Throwable) =
        generateSequence(cause) { it.cause }.any { it.message == EPIPE_MESSAGE }

    private companion object {
        const val EPIPE_MESSAGE = "Broken pipe"
    }
}

/** Records in [inputEnd] how the input of a connection ended. It must precede the handlers that decode the input. */
internal class InputEndRecorder(private val inputEnd: InputEnd) : ChannelInboundHandlerAdapter() {
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) inputEnd.recordEndOfStream()
        context.fireUserEventTriggered(event)
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        inputEnd.recordReadFailure(cause)
        context.fireExceptionCaught(cause)
    }
}
