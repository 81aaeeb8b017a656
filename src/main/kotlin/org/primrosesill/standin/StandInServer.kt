/*
 * The common parts of the three stand-ins: a listener that stops at once on SIGTERM, JSON bodies, and the response
 * headers of the upstream protocol.
 */
package org.primrosesill.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.SocketAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.UUID

/** The reason why a stand-in cannot start. */
public sealed class StandInFailure(public val type: String, public val detail: String) {
    override fun toString(): String = "$type: $detail"

    /** The address is in use or is not an address of this machine. */
    public class AddressNotUsable(address: SocketAddress, reason: String) :
        StandInFailure("address-not-usable", "cannot listen on $address: $reason")

    /** A file from the command line cannot be read, or its content is invalid. */
    public class FileNotUsable(file: String, reason: String) : StandInFailure("file-not-usable", "$file: $reason")
}

/** A running stand-in. [close] stops it without a grace period. */
public class StandIn internal constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
    requested: SocketAddress,
) : AutoCloseable {
    /** The address of the listener. A requested port 0 is replaced by the assigned port. */
    public val address: SocketAddress =
        requested.copy(
            port =
                runBlocking {
                    server.engine
                        .resolvedConnectors()
                        .first()
                        .port
                },
        )

    override fun close() {
        server.stop(0, 0)
    }
}

internal val standInJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/** Starts a listener on [address] (port 0 for any free port) that serves [routes]. */
internal fun startStandIn(address: SocketAddress, routes: Route.() -> Unit): Either<StandInFailure, StandIn> {
    bindFailure(address)?.let { return it.left() }
    // A stand-in simulates a VM that can disappear without notice, so it stops without a grace period.
    val server =
        embeddedServer(CIO, configure = {
            connector {
                host = address.host
                port = address.port
            }
            reuseAddress = true
        }) { routing { routes() } }
    server.start(wait = false)
    return StandIn(server, address).right()
}

// Ktor reports a failed bind as an uncaught exception in another thread, so this function binds the address first.
private fun bindFailure(address: SocketAddress): StandInFailure? =
    try {
        ServerSocket().use { socket ->
            socket.reuseAddress = true
            socket.bind(InetSocketAddress(address.host, address.port))
        }
        null
    } catch (failure: IOException) {
        StandInFailure.AddressNotUsable(address, failure.message ?: "bind failed")
    }

internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(value), ContentType.Application.Json, status)
}

/** Decodes the body as [T], or responds with 400 and returns null. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T? =
    try {
        standInJson.decodeFromString<T>(receiveText())
    } catch (failure: SerializationException) {
        respondError(HttpStatusCode.BadRequest, failure.message?.lineSequence()?.first() ?: "malformed JSON")
        null
    }

internal suspend fun ApplicationCall.respondError(status: HttpStatusCode, detail: String) {
    respondJson(mapOf("error" to detail), status)
}

/** Copies the request id to the response and returns it. Generates an id for a request without one. */
internal fun ApplicationCall.echoRequestId(): String {
    val id = request.headers["X-Request-Id"] ?: UUID.randomUUID().toString()
    response.header("X-Request-Id", id)
    return id
}

/** Responds with 503 and states that the request was not executed. Adds the state headers if [state] is not null. */
internal suspend fun ApplicationCall.respondNotRun(
    reason: String,
    state: UpstreamState? = null,
    coldConcurrencyLimit: Int = 1,
) {
    response.header("X-Not-Run", "true")
    response.header("Retry-After", "1")
    state?.let { addStateHeaders(it, coldConcurrencyLimit) }
    respondError(HttpStatusCode.ServiceUnavailable, reason)
}

/** Adds the state of an upstream that is not warm, and the concurrency limit of one that is cold. */
internal fun ApplicationCall.addStateHeaders(state: UpstreamState, coldConcurrencyLimit: Int) {
    if (state != UpstreamState.WARM) response.header("X-Upstream-State", state.value)
    if (state == UpstreamState.COLD) response.header("X-Bears", coldConcurrencyLimit.toString())
}

/** Closes the connection of this call at once. Data that was already sent still reaches the client. */
internal fun ApplicationCall.abortConnection(reason: String): Nothing {
    val abort = CancellationException(reason)
    // Ktor converts other exceptions to error responses; a cancelled call closes its connection instead.
    coroutineContext.cancel(abort)
    throw abort
}
