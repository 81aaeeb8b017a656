/*
 * The open connections of one listener. Confined to the traffic thread, except for [inFlight] and [draining].
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
    private val inFlightRequests = AtomicInteger()

    /** When set, each further response carries `Connection: close`. */
    @Volatile
    var draining = false

    val inFlight: Int get() = inFlightRequests.get()

    fun register(channel: SocketChannel) {
        val connection = CallerConnection(channel, this)
        open += connection
        channel.closeFuture().addListener { open -= connection }
        channel.pipeline().addLast(
            // Writes within one event loop iteration are flushed together.
            FlushConsolidationHandler(FLUSH_CONSOLIDATION_LIMIT, true),
            StrictRequestDecoder(limits().maximumHeaderBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    fun requestStarted() = inFlightRequests.incrementAndGet()

    fun requestEnded() = inFlightRequests.decrementAndGet()

    fun closeIdle() = loop.eventLoop.execute { open.filter { it.isIdle }.forEach { it.close() } }

    fun closeAll() = loop.eventLoop.execute { open.toList().forEach { it.close() } }

    private companion object {
        const val FLUSH_CONSOLIDATION_LIMIT = 64
    }
}
