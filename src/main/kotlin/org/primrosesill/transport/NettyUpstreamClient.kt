/*
 * The client of upstreams and peers. It sends a request once at most, on a new connection or on one that was idle for a
 * short time, and reports whether any byte can have left.
 */
package org.primrosesill.transport

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.parseSocketAddress
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import java.net.ConnectException
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [nettyUpstreamClient].
 *
 * @property connectTimeout time for a connection to come about
 * @property acceptsUnframed whether an answer without length and chunks is whole when its connection ends in order
 * @property maximumIdleConnections idle connections that are kept for one address
 * @property gatheringInterval time between the reads of bodies whose parts may wait
 */
public data class UpstreamClientSettings(
    val connectTimeout: Duration = 1.seconds,
    val acceptsUnframed: Boolean = false,
    val maximumIdleConnections: Int = 8,
    val gatheringInterval: Duration = 50.milliseconds,
)

/** Connections that the client opened so far, for the metrics. */
public fun interface ConnectionCounter {
    public fun opened()
}

/** Returns a client that works on [loop]. */
public fun nettyUpstreamClient(
    loop: TrafficLoop,
    settings: UpstreamClientSettings = UpstreamClientSettings(),
    counter: ConnectionCounter = ConnectionCounter { },
): UpstreamClient = NettyUpstreamClient(loop, settings, counter)

private class NettyUpstreamClient(
    private val loop: TrafficLoop,
    private val settings: UpstreamClientSettings,
    private val counter: ConnectionCounter,
) : UpstreamClient {
    private val idle = IdleConnections(settings.maximumIdleConnections)
    private val gatheredReads = GatheredReads(loop.eventLoop, settings.gatheringInterval)

    private val bootstrap =
        Bootstrap()
            .group(loop.eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, loop.allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = Unit
                },
            )

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> =
        withContext(loop.dispatcher) { exchangeOnLoop(call, use) }

    private suspend fun <T> exchangeOnLoop(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> {
        val connection =
            when (val opened = connectionFor(call)) {
                is Opened.Connection -> opened.connection
                is Opened.Failed -> return ExchangeResult.NotSent(opened.reason, opened.refused)
            }
        var reusable = false
        try {
            connection.send(messageOf(call), call.isAnswer)
            val head =
                when (val received = withTimeoutOrNull(call.timeout) { connection.receive() }) {
                    null -> return ExchangeResult.TimedOut
                    is Inbound.Head -> received.response
                    is Inbound.Broken -> return ExchangeResult.Broken(received.reason)
                    else -> return ExchangeResult.Broken("a body came before its head")
                }
            val body = ConnectionBody(connection, settings.acceptsUnframed)
            val value = use(answerOf(head, body))
            reusable = body.ended && keepsOpen(call, head) && connection.isReusable
            if (reusable) idle.put(call.address, connection, idleLimit(head))
            return ExchangeResult.Answered(value)
        } finally {
            if (!reusable) connection.close()
        }
    }

    private suspend fun connectionFor(call: UpstreamCall): Opened {
        val policy = call.connection
        if (policy is ConnectionUse.Kept) {
            idle.take(call.address, policy.maximumIdle)?.let { return Opened.Connection(it) }
        }
        return connect(call.address)
    }

    /** A cancelled wait closes the connection that comes about later. */
    private suspend fun connect(address: String): Opened {
        val parsed = parseSocketAddress(address)
        val target = parsed.fold({ return Opened.Failed(it.toString()) }, { it.toInetSocketAddress() })
        counter.opened()
        val future = bootstrap.connect(target)
        return suspendCancellableCoroutine { continuation ->
            future.addListener {
                if (!continuation.isActive) {
                    future.channel().close()
                } else if (future.isSuccess) {
                    continuation.resume(Opened.Connection(UpstreamConnection(future.channel(), gatheredReads)))
                } else {
                    continuation.resume(Opened.Failed(future.cause().toString(), isRefusal(future.cause())))
                }
            }
            continuation.invokeOnCancellation { future.channel().close() }
        }
    }

    private fun messageOf(call: UpstreamCall) =
        requestMessage(call.method, call.path, call.body, loop.allocator).apply {
            headers().add(HttpHeaderNames.HOST, call.host)
            headers().addAll(call.headers)
            call.body?.let { headers().set(HttpHeaderNames.CONTENT_LENGTH, it.size) }
            if (call.connection == ConnectionUse.Single) {
                headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
        }

    private fun answerOf(head: HttpResponse, body: UpstreamBody) =
        UpstreamAnswer(head.status().code(), head.headers().toHeaderFields(), head.status().reasonPhrase(), body)

    private fun keepsOpen(call: UpstreamCall, head: HttpResponse) =
        call.connection != ConnectionUse.Single && HttpUtil.isKeepAlive(head)

    /** A request on a connection that the upstream is about to close is lost, so that its time is not used up. */
    private fun idleLimit(head: HttpResponse): Duration? =
        KEEP_ALIVE_TIMEOUT
            .find(head.headers()["Keep-Alive"].orEmpty())
            ?.let { it.groupValues[1].toLong().seconds }

    private companion object {
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,6})")
    }
}

private sealed interface Opened {
    class Connection(val connection: UpstreamConnection) : Opened

    class Failed(val reason: String, val refused: Boolean = false) : Opened
}

/** A refusal comes from the VM itself; other failures may mean that it cannot be reached. */
private fun isRefusal(cause: Throwable): Boolean = cause is ConnectException && cause !is ConnectTimeoutException

private class ConnectionBody(private val connection: UpstreamConnection, private val acceptsUnframed: Boolean) :
    UpstreamBody {
    var ended = false
        private set

    override suspend fun next(): BodyPart =
        when (val part = connection.receive()) {
            is Inbound.Body -> BodyPart.Bytes(part.bytes)
            is Inbound.Broken -> BodyPart.Cut(part.reason)
            is Inbound.Head -> BodyPart.Cut("a second head came within the answer")
            is Inbound.End -> end(part)
        }

    override fun gather() = connection.gather()

    private fun end(part: Inbound.End): BodyPart {
        ended = part.framed
        return if (part.framed || acceptsUnframed) {
            BodyPart.End
        } else {
            BodyPart.Cut("the answer has neither a content length nor a final chunk")
        }
    }
}
