/*
 * Fetches the status of a router from its operator listener.
 */
package org.primrosesill.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.primrosesill.generated.RouterStatus
import org.primrosesill.model.MalformedResponseException
import org.primrosesill.model.SocketAddress
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// The status of a router in a fleet of 330 routers with 3,900 upstreams is about 1 MB.
private const val MAXIMUM_STATUS_BYTES = 16 * 1024 * 1024

/** The reason why the status of a router is not available. */
public sealed class StatusFailure(public val type: String, public val detail: String) {
    override fun toString(): String = "$type: $detail"

    public class Unreachable(address: SocketAddress, problem: String) :
        StatusFailure("router-unreachable", "$address: $problem")

    public class TimedOut(address: SocketAddress, timeout: Duration) :
        StatusFailure("router-timed-out", "$address: no response within $timeout")

    public class InvalidResponse(address: SocketAddress, problem: String) :
        StatusFailure("router-answer", "$address: $problem")
}

/** Fetches the status of routers. Thread-safe. */
public class OperatorClient(private val token: String = "", private val timeout: Duration = 3.seconds) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
        }

    /** Returns the status of the router whose operator listener is at [address]. */
    public suspend fun status(address: SocketAddress): Either<StatusFailure, RouterStatus> =
        try {
            withTimeoutOrNull(timeout) { fetchStatus(address) } ?: StatusFailure.TimedOut(address, timeout).left()
        } catch (failure: MalformedResponseException) {
            StatusFailure.InvalidResponse(address, "${failure.defect}").left()
        } catch (failure: IOException) {
            StatusFailure.Unreachable(address, failure.message ?: "connection failed").left()
        } catch (_: UnresolvedAddressException) {
            StatusFailure.Unreachable(address, "the address could not be resolved").left()
        }

    private suspend fun fetchStatus(address: SocketAddress): Either<StatusFailure, RouterStatus> =
        client
            .prepareGet("http://$address$STATUS_PATH") { if (token.isNotEmpty()) bearerAuth(token) }
            .readResponse { response ->
                val body = response.bodyAsChannel().readBounded(MAXIMUM_STATUS_BYTES)
                when {
                    response.status != HttpStatusCode.OK ->
                        StatusFailure.InvalidResponse(address, "status ${response.status}").left()

                    body == null ->
                        StatusFailure.InvalidResponse(address, "more than $MAXIMUM_STATUS_BYTES bytes").left()
                    else -> decode(address, body)
                }
            }

    private fun decode(address: SocketAddress, body: ByteArray): Either<StatusFailure, RouterStatus> =
        try {
            messageJson.decodeFromString<RouterStatus>(body.decodeToString()).right()
        } catch (_: SerializationException) {
            StatusFailure.InvalidResponse(address, "the body is not a router status").left()
        }

    override fun close() {
        client.close()
    }
}
