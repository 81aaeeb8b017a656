/*
 * HTTP client for upstreams and peers. It sends a request at most once, on a new connection or on one that was idle for
 * a short time, and reports whether any byte of the request can have been sent.
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
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import java.net.ConnectException
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [nettyUpstreamClient].
 *
 * @property connectTimeout time to establish a connection
 * @property acceptsCloseDelimited whether a response with neither Content-Length nor chunked encoding is complete when
 *     its connection is closed without an error
 * @property maximumIdleConnections limit for the idle connections of one address
 * @property batchedReadInterval time between the batched reads of bodies whose parts may be delayed
 */
public data class UpstreamClientSettings(
    val connectTimeout: Duration = 1.seconds,
    val acceptsCloseDelimited: Boolean = false,
    val maximumIdleConnections: Int = 8,
    val batchedReadInterval: Duration = 50.milliseconds,
)

/** Counts the connections that the client attempts to open, for the metrics. */
public fun interface ConnectionCounter {
    public fun connectionAttempted()
}

/** Returns a client that runs on [loop]. */
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
    private val idleConnections = IdleConnections(settings.maximumIdleConnections)
    private val batchedReads = BatchedReads(loop.eventLoop, settings.batchedReadInterval)

    private val bootstrap =
        Bootstrap()
            .group(loop.eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, loop.allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            // A failed write must not end the reads: what the upstream sent before decides whether its response is whole.
            .option(ChannelOption.AUTO_CLOSE, false)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = Unit
                },
            )

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> =
        withContext(loop.dispatcher) { exchangeOnLoop(call, use) }

    private suspend fun <T> exchangeOnLoop(
        call: UpstreamCall,
        use: suspend (UpstreamResponse) -> T,
    ): ExchangeResult<T> {
        val connection =
            when (val result = connectionFor(call)) {
                is ConnectResult.Connection -> result.connection
                is ConnectResult.Failed -> return ExchangeResult.NotSent(result.reason, result.refused)
            }
        var reusable = false
        try {
            connection.send(requestMessageOf(call), call.matchHead)
            call.onSent()
            val head =
                when (val received = withTimeoutOrNull(call.timeout) { connection.receive() }) {
                    null -> return ExchangeResult.TimedOut
                    is ResponseEvent.Head -> received
                    is ResponseEvent.Malformed -> return ExchangeResult.MalformedResponse(received.defect)
                    is ResponseEvent.Failed -> return ExchangeResult.ConnectionFailed(received.reason)
                    else -> return ExchangeResult.ConnectionFailed("received a response body before its head")
                }
            val body = ConnectionResponseBody(connection, settings.acceptsCloseDelimited)
            val value = use(responseOf(head.response, head.framed, body))
            reusable = body.endedFramed && keepsConnectionOpen(call, head.response) && connection.isReusable
            if (reusable) idleConnections.release(call.address, connection, keepAliveTimeout(head.response))
            return ExchangeResult.Responded(value)
        } finally {
            if (!reusable) connection.close()
        }
    }

    private suspend fun connectionFor(call: UpstreamCall): ConnectResult {
        val policy = call.connection
        if (policy is ConnectionUse.Pooled) {
            idleConnections.acquire(call.address, policy.maximumIdle)?.let { return ConnectResult.Connection(it) }
        }
        return connect(call.address)
    }

    /** Connects to [address]. If the caller is cancelled, a connection that is established later is closed. */
    private suspend fun connect(address: String): ConnectResult {
        val parsed = parseSocketAddress(address)
        val remoteAddress = parsed.fold({ return ConnectResult.Failed(it.toString()) }, { it.toInetSocketAddress() })
        counter.connectionAttempted()
        val future = bootstrap.connect(remoteAddress)
        return suspendCancellableCoroutine { continuation ->
            future.addListener {
                if (!continuation.isActive) {
                    future.channel().close()
                } else if (future.isSuccess) {
                    val connection = UpstreamConnection(future.channel(), batchedReads, loop.buffers)
                    continuation.resume(ConnectResult.Connection(connection))
                } else {
                    continuation.resume(
                        ConnectResult.Failed(future.cause().toString(), isConnectionRefused(future.cause())),
                    )
                }
            }
            continuation.invokeOnCancellation { future.channel().close() }
        }
    }

    private fun requestMessageOf(call: UpstreamCall) =
        requestMessage(call.method, call.path, call.body, loop.allocator).apply {
            headers().add(HttpHeaderNames.HOST, call.host)
            headers().addAll(call.headers)
            call.body?.let { headers().set(HttpHeaderNames.CONTENT_LENGTH, it.size) }
            if (call.connection == ConnectionUse.NonPersistent) {
                headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
        }

    private fun responseOf(head: HttpResponse, framed: Boolean, body: UpstreamBody) =
        UpstreamResponse(
            head.status().code(),
            head.headers().toHeaderFields(),
            head.status().reasonPhrase(),
            closeDelimited = !framed,
            body,
        )

    private fun keepsConnectionOpen(call: UpstreamCall, head: HttpResponse) =
        call.connection != ConnectionUse.NonPersistent && HttpUtil.isKeepAlive(head)

    /**
     * Returns the idle timeout that the upstream announces in `Keep-Alive`, or null. The pool uses only a part of this
     * time, because a request on a connection that the upstream is about to close is lost.
     */
    private fun keepAliveTimeout(head: HttpResponse): Duration? =
        KEEP_ALIVE_TIMEOUT
            .find(head.headers()["Keep-Alive"].orEmpty())
            ?.let { it.groupValues[1].toLong().seconds }

    private companion object {
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d{1,6})")
    }
}

private sealed interface ConnectResult {
    class Connection(val connection: UpstreamConnection) : ConnectResult

    class Failed(val reason: String, val refused: Boolean = false) : ConnectResult
}

/** Returns whether the VM itself refused the connection; after other failures it may be unreachable. */
private fun isConnectionRefused(cause: Throwable): Boolean =
    cause is ConnectException && cause !is ConnectTimeoutException

private class ConnectionResponseBody(
    private val connection: UpstreamConnection,
    private val acceptsCloseDelimited: Boolean,
) : UpstreamBody {
    /** Whether the body has ended by its length or its final chunk. */
    var endedFramed = false
        private set

    override suspend fun next(): BodyPart =
        when (val event = connection.receive()) {
            is ResponseEvent.Body -> BodyPart.Bytes(event.bytes)
            is ResponseEvent.Failed -> BodyPart.Truncated(event.reason)
            is ResponseEvent.Head -> BodyPart.Truncated("received a second response head within the body")
            is ResponseEvent.End -> endOf(event)
        }

    override fun allowBatching() = connection.batchReads()

    private fun endOf(event: ResponseEvent.End): BodyPart {
        endedFramed = event.framed
        return if (event.framed || acceptsCloseDelimited) {
            BodyPart.End
        } else {
            BodyPart.Truncated("response has neither Content-Length nor a final chunk")
        }
    }
}
