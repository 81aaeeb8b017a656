/*
 * The open connections of one listener. Owned by the traffic thread, but for the counts.
 */
package org.primrosesill.transport

import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.flush.FlushConsolidationHandler
import org.primrosesill.forwarding.RequestHandler
import java.util.concurrent.atomic.AtomicInteger

internal class CallerConnections(
    val loop: TrafficLoop,
    val limits: () -> ListenerLimits,
    val handler: RequestHandler,
) {
    private val open = HashSet<CallerConnection>()
    private val serving = AtomicInteger()

    /** Answers say from now on that their connection ends with them. */
    @Volatile
    var draining = false

    val inFlight: Int get() = serving.get()

    fun open(channel: SocketChannel) {
        val connection = CallerConnection(channel, this)
        open += connection
        channel.closeFuture().addListener { open -= connection }
        channel.pipeline().addLast(
            // Events that are handed on in one turn of the thread leave in one write.
            FlushConsolidationHandler(FLUSHES_AT_ONCE, true),
            StrictRequestDecoder(limits().maximumHeaderBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    fun requestStarted() = serving.incrementAndGet()

    fun requestEnded() = serving.decrementAndGet()

    fun closeIdle() = loop.eventLoop.execute { open.filter { it.isIdle }.forEach { it.close() } }

    fun closeAll() = loop.eventLoop.execute { open.toList().forEach { it.close() } }

    private companion object {
        const val FLUSHES_AT_ONCE = 64
    }
}
