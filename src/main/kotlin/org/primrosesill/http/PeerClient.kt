/*
 * Calls the peer listeners of other routers. A message may arrive late, twice or never. Receivers tolerate that, so the
 * client does not retry failed calls.
 */
package org.primrosesill.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLParameter
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import io.ktor.http.ContentType.Application.Json as JsonContent

/** The reason why a call to another router returned no valid reply. */
public sealed class PeerFailure(public val address: String) {
    public class Unreachable(address: String, public val problem: String) : PeerFailure(address)

    public class TimedOut(address: String, public val timeout: Duration) : PeerFailure(address)

    public class BadReply(address: String, public val status: Int) : PeerFailure(address)

    override fun toString(): String = "${this::class.simpleName} $address"
}

/** Sends messages to other routers. Thread-safe. */
public interface PeerClient : AutoCloseable {
    public suspend fun exchange(address: String, message: ExchangeMessage): Either<PeerFailure, ExchangeMessage>

    public suspend fun configuration(address: String, since: Long): Either<PeerFailure, ConfigurationPage>

    public suspend fun vms(address: String): Either<PeerFailure, VmList>

    public suspend fun claim(address: String, request: ClaimRequest): Either<PeerFailure, ClaimReply>

    public suspend fun release(address: String, release: ClaimRelease): Either<PeerFailure, Unit>

    public suspend fun storeResponse(address: String, response: StoredAnswer): Either<PeerFailure, Unit>

    public suspend fun outcome(address: String, resource: ClaimResource): Either<PeerFailure, ClaimOutcome>

    public suspend fun lease(address: String, request: LeaseRequest): Either<PeerFailure, LeaseReply>

    public suspend fun reserve(address: String, request: ReservationRequest): Either<PeerFailure, ReservationReply>
}

/**
 * Returns a client whose calls time out after [timeout].
 *
 * @param token bearer token that the other routers expect; empty for none
 */
public fun peerClient(timeout: Duration = 250.milliseconds, token: String = ""): PeerClient =
    KtorPeerClient(timeout, token)

/** A status and a body. The body is null when it exceeds [MAXIMUM_PEER_MESSAGE_BYTES]. */
private class PeerReply(val status: HttpStatusCode, val body: ByteArray?)

private class KtorPeerClient(private val timeout: Duration, private val token: String) : PeerClient {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
        }

    override suspend fun exchange(address: String, message: ExchangeMessage) =
        post(address, EXCHANGE_PATH, serializer<ExchangeMessage>(), message, serializer<ExchangeMessage>())

    override suspend fun claim(address: String, request: ClaimRequest) =
        post(address, CLAIM_PATH, serializer<ClaimRequest>(), request, serializer<ClaimReply>())

    override suspend fun lease(address: String, request: LeaseRequest) =
        post(address, LEASE_PATH, serializer<LeaseRequest>(), request, serializer<LeaseReply>())

    override suspend fun reserve(address: String, request: ReservationRequest) =
        post(address, RESERVATION_PATH, serializer<ReservationRequest>(), request, serializer<ReservationReply>())

    override suspend fun release(address: String, release: ClaimRelease) =
        post(address, CLAIM_RELEASE_PATH, serializer<ClaimRelease>(), release)

    override suspend fun storeResponse(address: String, response: StoredAnswer) =
        post(address, CLAIM_OUTCOME_PATH, serializer<StoredAnswer>(), response)

    override suspend fun configuration(address: String, since: Long) =
        call(address, "$CONFIGURATION_PATH?since=$since") { status, body ->
            decode(address, status, body, serializer<ConfigurationPage>())
        }

    override suspend fun vms(address: String) =
        call(address, VM_LIST_PATH) { status, body -> decode(address, status, body, serializer<VmList>()) }

    override suspend fun outcome(address: String, resource: ClaimResource) =
        call(address, "$CLAIM_OUTCOME_PATH?resource=${resource.value.encodeURLParameter()}") { status, body ->
            decode(address, status, body, serializer<ClaimOutcome>())
        }

    override fun close() = client.close()

    private suspend fun <Q, R> post(
        address: String,
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
        replySerializer: KSerializer<R>,
    ): Either<PeerFailure, R> =
        call(address, path, { body(requestSerializer, request) }) { status, body ->
            decode(address, status, body, replySerializer)
        }

    private suspend fun <Q> post(
        address: String,
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
    ): Either<PeerFailure, Unit> =
        call(address, path, { body(requestSerializer, request) }) { status, _ ->
            if (status.isSuccess()) Unit.right() else PeerFailure.BadReply(address, status.value).left()
        }

    private fun <Q> HttpRequestBuilder.body(serializer: KSerializer<Q>, request: Q) {
        method = HttpMethod.Post
        setBody(TextContent(messageJson.encodeToString(serializer, request), JsonContent))
    }

    private suspend fun <R> call(
        address: String,
        path: String,
        configure: HttpRequestBuilder.() -> Unit = {},
        read: (HttpStatusCode, ByteArray?) -> Either<PeerFailure, R>,
    ): Either<PeerFailure, R> =
        try {
            withTimeoutOrNull(timeout) { send(address, path, configure).let { read(it.status, it.body) } }
                ?: PeerFailure.TimedOut(address, timeout).left()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            // The client reports broken connections with exceptions of several unrelated types.
            PeerFailure.Unreachable(address, failure.toString()).left()
        }

    private suspend fun send(address: String, path: String, configure: HttpRequestBuilder.() -> Unit): PeerReply =
        client
            .prepareRequest {
                url("http://$address$path")
                header(HttpHeaders.Accept, JsonContent)
                if (token.isNotEmpty()) bearerAuth(token)
                configure()
            }.readResponse { PeerReply(it.status, it.bodyAsChannel().readBounded(MAXIMUM_PEER_MESSAGE_BYTES)) }

    private fun <R> decode(
        address: String,
        status: HttpStatusCode,
        body: ByteArray?,
        serializer: KSerializer<R>,
    ): Either<PeerFailure, R> =
        try {
            if (body == null || !status.isSuccess()) {
                PeerFailure.BadReply(address, status.value).left()
            } else {
                messageJson.decodeFromString(serializer, body.decodeToString()).right()
            }
        } catch (_: SerializationException) {
            PeerFailure.BadReply(address, status.value).left()
        }
}
