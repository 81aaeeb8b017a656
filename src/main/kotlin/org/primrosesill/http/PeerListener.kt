/*
 * The listener for other routers. It only decodes messages and passes them to a handler.
 */
package org.primrosesill.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.serializer
import org.primrosesill.generated.ClaimOutcome
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.ReservationReply
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.generated.VmList
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.SocketAddress

/** Handles the messages of other routers. Called on traffic threads. */
public interface PeerHandler {
    public suspend fun exchange(message: ExchangeMessage): ExchangeMessage

    public suspend fun configuration(since: Long): ConfigurationPage

    public suspend fun vms(): VmList

    public suspend fun claim(request: ClaimRequest): ClaimReply

    public suspend fun release(release: ClaimRelease)

    public suspend fun storeResponse(response: StoredAnswer)

    public suspend fun outcome(resource: ClaimResource): ClaimOutcome

    public suspend fun lease(request: LeaseRequest): LeaseReply

    public suspend fun reserve(request: ReservationRequest): ReservationReply
}

/**
 * Returns a server on [address] that passes messages to [handler]. The caller starts it.
 *
 * @param token bearer token that callers must present; empty for none
 */
public fun peerListener(address: SocketAddress, handler: PeerHandler, token: String = ""): EmbeddedServer<*, *> =
    embeddedServer(CIO, host = address.host, port = address.port) {
        requireBearerToken(token)
        routing {
            postJson<ExchangeMessage, ExchangeMessage>(EXCHANGE_PATH, handler::exchange)
            postJson<ClaimRequest, ClaimReply>(CLAIM_PATH, handler::claim)
            postJson<LeaseRequest, LeaseReply>(LEASE_PATH, handler::lease)
            postJson<ReservationRequest, ReservationReply>(RESERVATION_PATH, handler::reserve)
            postJson<ClaimRelease>(CLAIM_RELEASE_PATH, handler::release)
            postJson<StoredAnswer>(CLAIM_OUTCOME_PATH, handler::storeResponse)
            configurationRoute(handler)
            get(VM_LIST_PATH) { call.respondJson(serializer<VmList>(), handler.vms()) }
            outcomeRoute(handler)
        }
    }

private fun Route.configurationRoute(handler: PeerHandler) =
    get(CONFIGURATION_PATH) {
        val since = call.request.queryParameters["since"]?.toLongOrNull()
        if (since == null) {
            call.respond(HttpStatusCode.BadRequest)
        } else {
            call.respondJson(serializer<ConfigurationPage>(), handler.configuration(since))
        }
    }

private fun Route.outcomeRoute(handler: PeerHandler) =
    get(CLAIM_OUTCOME_PATH) {
        val resource = call.request.queryParameters["resource"]
        if (resource == null) {
            call.respond(HttpStatusCode.BadRequest)
        } else {
            call.respondJson(serializer<ClaimOutcome>(), handler.outcome(ClaimResource(resource)))
        }
    }

private inline fun <reified Q : Any, reified R : Any> Route.postJson(
    path: String,
    crossinline handleMessage: suspend (Q) -> R,
) = post(path) {
    call.receiveMessage(serializer<Q>())?.let { call.respondJson(serializer<R>(), handleMessage(it)) }
}

@JvmName("postJsonWithoutReply")
private inline fun <reified Q : Any> Route.postJson(path: String, crossinline handleMessage: suspend (Q) -> Unit) =
    post(path) {
        call.receiveMessage(serializer<Q>())?.let {
            handleMessage(it)
            call.respond(HttpStatusCode.NoContent)
        }
    }

/** Decodes the body, or responds with a client error and returns null. */
private suspend fun <T : Any> ApplicationCall.receiveMessage(serializer: KSerializer<T>): T? {
    val body = receiveChannel().readBounded(MAXIMUM_PEER_MESSAGE_BYTES)
    if (body == null) {
        respond(HttpStatusCode.PayloadTooLarge)
        return null
    }
    return try {
        messageJson.decodeFromString(serializer, body.decodeToString())
    } catch (_: SerializationException) {
        respond(HttpStatusCode.BadRequest)
        null
    }
}

private suspend fun <T> ApplicationCall.respondJson(serializer: KSerializer<T>, value: T) =
    respondText(messageJson.encodeToString(serializer, value), ContentType.Application.Json)
