/*
 * The listener for callers, based on Ktor CIO. It converts between HTTP and the types of request handling, and limits
 * the size of requests and the duration of reads and writes.
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
 * Limits of the caller listener.
 *
 * @property bodyTimeout time limit for receiving the whole body of a request
 * @property writeTimeout time limit for writing one part of the response to the caller
 * @property idleTimeout time without a request after which a connection is closed
 * @property maximumHeaderBytes maximum size of the names and values of all headers of a request
 * @property maximumHeaderValueBytes maximum size of one header value, or of path and query
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

    /** Stops accepting connections, waits up to [grace] for requests in flight, and cancels the rest. */
    public suspend fun stop(grace: Duration)
}

/** Returns a listener on [host] (an IP address) and [port] (0 for any free port) that passes requests to [flow]. */
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
        server.stopSuspend(grace.inWholeMilliseconds, grace.inWholeMilliseconds + CANCELLATION_MILLIS)

    private suspend fun serve(call: ApplicationCall) {
        val request = callerRequest(call, settings)
        val callerResponse = KtorCallerResponse(call, request.id, settings)
        val failure = headFailure(call, request, settings)
        if (failure != null) return callerResponse.respondWithFailure(failure)
        coroutineScope {
            onCallerDisconnect(call, request) {
                coroutineContext.job.cancel(CancellationException("the caller disconnected"))
            }
            flow.handle(request, callerResponse)
        }
    }

    /**
     * Registers [handler] for the disconnect of the caller. Ktor calls the handler when no further request can
     * arrive on the connection, which means a disconnect only on a persistent connection. After `Connection: close` the
     * handler would abort the response to a caller that is still connected, as Ktor's HttpRequestLifecycle plugin does.
     * The disconnect of such a caller is detected when a write fails.
     */
    @OptIn(InternalAPI::class)
    private fun onCallerDisconnect(call: ApplicationCall, request: CallerRequest, handler: () -> Unit) {
        val hasConnectionClose = request.headers["connection"].orEmpty().any { it.contains("close", ignoreCase = true) }
        if (call.request.httpVersion == "HTTP/1.1" && !hasConnectionClose) {
            call.attributes.put(HttpRequestCloseHandlerKey, handler)
        }
    }

    private companion object {
        const val CANCELLATION_MILLIS = 1_000L
    }
}
