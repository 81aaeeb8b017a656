/*
 * A listener for HTTP/1.1. It reads whole requests, one at a time on a connection, and cancels the work for a caller that
 * closes its connection. Ambiguous framing is refused, because two readers could split such bytes differently.
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
 * What a caller may send, and how slowly.
 *
 * @property headerTimeout time for the head of a request, from its first byte
 * @property bodyTimeout time for the body after the head
 * @property idleTimeout time without a request after which a connection is closed
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

    /** Requests that are being served. */
    public val inFlight: Int

    /** Ends each connection after the answer to its next request. */
    public fun closeConnectionsAfterNextAnswer()

    /** Closes the address and all connections on which no request is being served. */
    public fun closeIdle()

    /** Closes the address and all connections. */
    public fun close()
}

/** Binds `IP:port` and serves requests there with [handler]. */
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
                    override fun initChannel(channel: SocketChannel) = connections.open(channel)
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

    override fun closeConnectionsAfterNextAnswer() {
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

/** Callers that wait for their connection to be accepted; a whole zone may come over at once. */
private const val BACKLOG = 1024
