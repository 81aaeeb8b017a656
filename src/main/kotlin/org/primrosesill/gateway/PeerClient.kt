/*
 * Client for calls to other gateways, in JSON over HTTP.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.generated.HeldParts
import org.primrosesill.generated.RelayedItems
import org.primrosesill.http.messageJson
import org.primrosesill.model.firstLine
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.FetchLimits
import org.primrosesill.request.FetchedResponse
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.fetch
import kotlin.time.Duration.Companion.seconds

internal const val ITEMS_PATH = "/peer/v1/items"
internal const val ERA_PARAMETER = "era"

/** The last parameter, as gateways of versions that know no eras expect it. */
internal const val SINCE_PARAMETER = "since"
internal const val HELD_PARTS_PATH = "/peer/v1/held-parts"

/** The [reason] why a call to the peer at [address] failed. */
internal data class PeerFailure(val address: String, val reason: String) {
    override fun toString(): String = "$address: $reason"
}

internal class PeerClient(private val client: UpstreamClient) {
    /** Fetches the platform's items that changed after [revision]. */
    suspend fun fetchItems(address: String, revision: PlatformRevision): Either<PeerFailure, RelayedItems> =
        call(address, "$ITEMS_PATH?$ERA_PARAMETER=${revision.era}&$SINCE_PARAMETER=${revision.number}")
            .flatMap { decode(address, it, RelayedItems.serializer()) }

    /** Fetches the prompt parts that engines hold, as recorded by the peer. */
    suspend fun fetchHeldParts(address: String): Either<PeerFailure, HeldParts> =
        call(address, HELD_PARTS_PATH).flatMap { decode(address, it, HeldParts.serializer()) }

    private suspend fun call(address: String, path: String): Either<PeerFailure, ByteArray> =
        client.fetch(address, path, LIMITS, acceptsCompressed).mapLeft { PeerFailure(address, it.reason) }.flatMap {
            if (it.status == 200) decodeBody(address, it) else PeerFailure(address, "status ${it.status}").left()
        }

    private fun decodeBody(address: String, response: FetchedResponse): Either<PeerFailure, ByteArray> =
        if (response.headers["Content-Encoding"] == GZIP) {
            decompress(response.body, MAXIMUM_MESSAGE_BYTES).mapLeft { PeerFailure(address, it) }
        } else {
            response.body.right()
        }

    private fun <T> decode(
        address: String,
        body: ByteArray,
        deserializer: DeserializationStrategy<T>,
    ): Either<PeerFailure, T> =
        try {
            messageJson.decodeFromString(deserializer, body.decodeToString()).right()
        } catch (exception: SerializationException) {
            PeerFailure(address, "response body is not a valid message: ${exception.firstLine()}").left()
        }

    private companion object {
        val acceptsCompressed = headerFieldsOf("Accept-Encoding" to GZIP)

        /** The platform's store holds values of up to 1 MB, and lists hundreds of upstreams. */
        const val MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024
        val LIMITS =
            FetchLimits(
                readTimeout = 1.seconds,
                totalTimeout = 3.seconds,
                maximumIdle = 5.seconds,
                MAXIMUM_MESSAGE_BYTES,
            )
    }
}
