/*
 * What the three stand-ins share: a listener that ends at once on SIGTERM, JSON answers, and the answer headers of the
 * upstream protocol.
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

/** Why a stand-in cannot start. */
public sealed class StandInFailure(public val type: String, public val detail: String) {
    override fun toString(): String = "$type: $detail"

    /** The address is taken, or this machine does not have it. */
    public class AddressNotUsable(address: SocketAddress, reason: String) :
        StandInFailure("address-not-usable", "cannot listen on $address: $reason")

    /** A file given at start cannot be read or holds something else. */
    public class FileNotUsable(file: String, reason: String) : StandInFailure("file-not-usable", "$file: $reason")
}

/** A running stand-in. */
public class StandIn internal constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
    requested: SocketAddress,
) : AutoCloseable {
    /** Where the stand-in listens, with the port that it got when it asked for any. */
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

/** Listens on [address] (port 0 for any free port) and answers with [routes]. */
internal fun startStandIn(address: SocketAddress, routes: Route.() -> Unit): Either<StandInFailure, StandIn> {
    probe(address)?.let { return it.left() }
    // A stand-in plays a VM that may vanish, so it stops without a grace period.
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

// Ktor reports a failed bind as an uncaught exception of another thread, so the address is tried first.
private fun probe(address: SocketAddress): StandInFailure? =
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

/** Returns the body as [T], or answers 400 and returns null. */
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

/** Copies the request id to the answer and returns it; a request without one gets a new one. */
internal fun ApplicationCall.echoRequestId(): String {
    val id = request.headers["X-Request-Id"] ?: UUID.randomUUID().toString()
    response.header("X-Request-Id", id)
    return id
}

/** Says that the request did not run, and how much a cold upstream bears. */
internal suspend fun ApplicationCall.respondNotRun(reason: String, state: UpstreamState? = null, bears: Int = 1) {
    response.header("X-Not-Run", "true")
    response.header("Retry-After", "1")
    state?.let { sayState(it, bears) }
    respondError(HttpStatusCode.ServiceUnavailable, reason)
}

/** Says in the answer that the upstream is cold and what it bears, or that it is leaving. */
internal fun ApplicationCall.sayState(state: UpstreamState, bears: Int) {
    if (state != UpstreamState.WARM) response.header("X-Upstream-State", state.value)
    if (state == UpstreamState.COLD) response.header("X-Bears", bears.toString())
}

/** Closes the connection of this call where it is. Whatever was sent so far reaches the other side. */
internal fun ApplicationCall.abortConnection(reason: String): Nothing {
    val abort = CancellationException(reason)
    // Ktor turns a plain exception into an answer; a cancelled call ends its connection instead.
    coroutineContext.cancel(abort)
    throw abort
}
