/*
 * The listener for operators, load balancers and monitoring. It serves the status of the router, liveness and readiness
 * checks, and metrics.
 */
package org.primrosesill.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.serializer
import org.primrosesill.generated.RouterStatus
import org.primrosesill.model.SocketAddress

internal const val STATUS_PATH: String = "/status"
private const val LIVE_PATH = "/health/live"
private const val READY_PATH = "/health/ready"
private val metricsType = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")

/** Provides the state that the operator listener serves. Called on traffic threads. */
public interface RouterStatusProvider {
    public fun status(): RouterStatus

    /** Returns the reason why the router accepts no new callers, or null when it is ready. */
    public fun notReadyReason(): String?
}

/** The body of a readiness response. */
@Serializable
internal data class Readiness(val ready: Boolean, val reason: String = "")

/**
 * Returns a server for operators on [address]. The caller starts it.
 *
 * @param token bearer token for status and metrics; empty for none. Health checks need no token, because load balancers
 * send no credentials.
 */
public fun operatorListener(
    address: SocketAddress,
    statusProvider: RouterStatusProvider,
    metrics: PrometheusMeterRegistry,
    token: String = "",
): EmbeddedServer<*, *> =
    embeddedServer(CIO, host = address.host, port = address.port) {
        requireBearerToken(token, openPaths = setOf(LIVE_PATH, READY_PATH))
        routing {
            get(STATUS_PATH) { call.respondMessage(serializer<RouterStatus>(), statusProvider.status()) }
            get(LIVE_PATH) { call.respondText("live") }
            get(READY_PATH) {
                val reason = statusProvider.notReadyReason()
                val status = if (reason == null) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondMessage(serializer<Readiness>(), Readiness(reason == null, reason.orEmpty()), status)
            }
            get("/metrics") { call.respondText(metrics.scrape(), metricsType) }
        }
    }

private suspend fun <T> ApplicationCall.respondMessage(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(messageJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}
