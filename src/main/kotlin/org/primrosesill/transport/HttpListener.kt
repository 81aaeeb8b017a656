/*
 * An HTTP/1.1 listener. It buffers whole requests, handles one at a time on each connection, and cancels the handler
 * when the caller closes its connection. Requests with ambiguous framing are rejected, because another parser could
 * split the same bytes into different requests (request smuggling).
 */
package org.primrosesill.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.suspendCancellableCoroutine
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.model.parseSocketAddress
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the size and duration of requests.
 *
 * @property headerTimeout time to receive the head of a request, from its first byte
 * @property bodyTimeout time to receive the body, from the end of the head
 * @property idleTimeout time without a request after which the connection is closed
 */
public data class ListenerLimits(
    val maximumHeaderBytes: Int = 16 * 1024,
    val maximumBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeout: Duration = 3.seconds,
    val bodyTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 15.seconds,
)

/** A bound listener. */
public interface HttpListener {
    public val port: Int

    /** Number of requests that are being received or handled. */
    public val inFlight: Int

    /** Drains the listener: each connection is closed after its current or next response. */
    public fun startDraining()

    /** Closes the listening socket and all idle connections. */
    public fun closeIdle()

    /** Closes the listening socket and all connections. */
    public fun close()
}

/** Listens on [address], in the form `IP:port`, and passes requests to [handler]. */
public suspend fun startHttpListener(
    loop: TrafficLoop,
    address: String,
    limits: () -> ListenerLimits,
    handler: RequestHandler,
): HttpListener {
    val target = parseSocketAddress(address).fold({ throw IOException(it.toString()) }, { it.toInetSocketAddress() })
    val connections = CallerConnections(loop, limits, handler)
    val future =
        ServerBootstrap()
            .group(loop.eventLoop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, loop.allocator)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = connections.register(channel)
                },
            ).bind(target)
    val channel =
        suspendCancellableCoroutine<Channel> { continuation ->
            future.addListener {
                if (future.isSuccess) {
                    continuation.resume(future.channel())
                } else {
                    continuation.cancel(IOException("cannot listen on $address", future.cause()))
                }
            }
        }
    return NettyHttpListener(channel, connections)
}

private class NettyHttpListener(private val channel: Channel, private val connections: CallerConnections) :
    HttpListener {
    override val port: Int get() = (channel.localAddress() as java.net.InetSocketAddress).port

    override val inFlight: Int get() = connections.inFlight

    override fun startDraining() {
        connections.draining = true
    }

    override fun closeIdle() {
        channel.close()
        connections.closeIdle()
    }

    override fun close() {
        channel.close()
        connections.closeAll()
    }
}

/** Connections waiting to be accepted. Sized for the callers of a whole zone that reconnect at once. */
private const val BACKLOG = 1024
