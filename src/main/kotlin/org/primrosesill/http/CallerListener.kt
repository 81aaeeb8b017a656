/*
 * The listener for callers over Ktor CIO. It turns HTTP into the request path's own terms and back, and bounds what a
 * caller may send and how slowly.
 */
package org.primrosesill.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.serverConfig
import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestCloseHandlerKey
import io.ktor.server.request.httpVersion
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import org.primrosesill.request.CallerRequest
import org.primrosesill.request.RequestFlow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the caller listener.
 *
 * @property bodyTimeout time for the whole body of a request to arrive
 * @property writeTimeout time for a caller to take one part of its answer
 * @property idleTimeout time without a request after which a connection is closed
 * @property maximumHeaderBytes names and values of all headers of a request
 * @property maximumHeaderValueBytes one header value, or path and query
 */
public data class CallerListenerSettings(
    val bodyTimeout: Duration = 10.seconds,
    val writeTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 60.seconds,
    val maximumHeaderBytes: Int = 16 * 1024,
    val maximumHeaderValueBytes: Int = 4 * 1024,
)

/** A listener that can be started and stopped once. */
public interface CallerListener {
    /** Binds the address and returns its port. */
    public suspend fun start(): Int

    /** Closes the address, lets open requests end for up to [grace], and cancels the rest. */
    public suspend fun stop(grace: Duration)
}

/** Returns a listener at [host] (an IP number) and [port] (0 for any free one) that hands requests to [flow]. */
public fun callerListener(
    host: String,
    port: Int,
    flow: RequestFlow,
    settings: CallerListenerSettings = CallerListenerSettings(),
): CallerListener = KtorCallerListener(host, port, flow, settings)

private class KtorCallerListener(
    private val host: String,
    private val port: Int,
    private val flow: RequestFlow,
    private val settings: CallerListenerSettings,
) : CallerListener {
    private val server =
        embeddedServer(
            CIO,
            serverConfig {
                module {
                    intercept(ApplicationCallPipeline.Call) { serve(context) }
                }
            },
        ) {
            connector {
                this.host = this@KtorCallerListener.host
                this.port = this@KtorCallerListener.port
            }
            connectionIdleTimeoutSeconds = settings.idleTimeout.inWholeSeconds.toInt()
        }

    override suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    override suspend fun stop(grace: Duration) =
        server.stopSuspend(grace.inWholeMilliseconds, grace.inWholeMilliseconds + EXTRA_STOP_MILLIS)

    private suspend fun serve(call: ApplicationCall) {
        val request = callerRequest(call, settings)
        val answer = KtorCallerAnswer(call, request.id, settings)
        val failure = headFailure(call, request, settings)
        if (failure != null) return answer.refuse(failure)
        coroutineScope {
            onCallerGone(call, request) { coroutineContext.job.cancel(CancellationException("the caller has gone")) }
            flow.handle(request, answer)
        }
    }

    /**
     * The engine calls the handler when no further request can come on the connection. That is the end of the connection
     * only if it would otherwise stay open; after `Connection: close` the handler would cut an answer to a caller that
     * is still there, which the library's own HttpRequestLifecycle plugin does. Those callers are noticed when a write
     * to them fails.
     */
    @OptIn(InternalAPI::class)
    private fun onCallerGone(call: ApplicationCall, request: CallerRequest, handler: () -> Unit) {
        val closes = request.headers["connection"].orEmpty().any { it.contains("close", ignoreCase = true) }
        if (call.request.httpVersion == "HTTP/1.1" && !closes) call.attributes.put(HttpRequestCloseHandlerKey, handler)
    }

    private companion object {
        const val EXTRA_STOP_MILLIS = 1_000L
    }
}
