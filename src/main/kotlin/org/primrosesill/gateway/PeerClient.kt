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
import org.primrosesill.discovery.TextDigest
import org.primrosesill.generated.HeldParts
import org.primrosesill.generated.RelayedItems
import org.primrosesill.http.messageJson
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.firstLine
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.FetchLimits
import org.primrosesill.request.FetchedResponse
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.fetch
import kotlin.time.Duration.Companion.seconds

internal const val ITEMS_PATH = "/peer/v1/items"
internal const val ERA_PARAMETER = "era"

/** Digests of the large values that the caller has, separated by commas. */
internal const val KNOWN_VALUES_PARAMETER = "known"

/** Header field of a response with items: milliseconds since it was encoded. */
internal const val PAGE_AGE_FIELD = "Page-Age-Millis"

/** The last parameter, as gateways of versions that know no eras expect it. */
internal const val SINCE_PARAMETER = "since"
internal const val HELD_PARTS_PATH = "/peer/v1/held-parts"

/** The [reason] why a call to the peer at [address] failed. */
internal data class PeerFailure(val address: String, val reason: String) {
    override fun toString(): String = "$address: $reason"
}

internal class PeerClient(private val client: UpstreamClient) {
    /** Fetches the platform's items that changed after [revision]; this gateway has the values with the digests [known]. */
    suspend fun fetchItems(
        address: String,
        revision: PlatformRevision,
        known: List<TextDigest>,
    ): Either<PeerFailure, RelayedItems> =
        call(address, itemsPath(revision, known)).flatMap { response ->
            decode(address, response.body, RelayedItems.serializer()).map { it.aged(response.pageAgeMillis) }
        }

    private fun itemsPath(revision: PlatformRevision, known: List<TextDigest>): String {
        val values = if (known.isEmpty()) "" else "$KNOWN_VALUES_PARAMETER=${known.joinToString(",")}&"
        return "$ITEMS_PATH?$values$ERA_PARAMETER=${revision.era}&$SINCE_PARAMETER=${revision.number}"
    }

    private val DecodedResponse.pageAgeMillis: Long get() = headers[PAGE_AGE_FIELD]?.toLongOrNull() ?: 0

    /** Returns the items with the times that they have [ageMillis] after they were encoded. */
    private fun RelayedItems.aged(ageMillis: Long): RelayedItems {
        if (ageMillis <= 0) return this
        return copy(
            reachableMillis = if (reachableMillis < 0) reachableMillis else reachableMillis + ageMillis,
            answeredAgoMillis = if (answeredAgoMillis < 0) answeredAgoMillis else answeredAgoMillis + ageMillis,
        )
    }

    /** Fetches the prompt parts that engines hold, as recorded by the peer. */
    suspend fun fetchHeldParts(address: String): Either<PeerFailure, HeldParts> =
        call(address, HELD_PARTS_PATH).flatMap { decode(address, it.body, HeldParts.serializer()) }

    private suspend fun call(address: String, path: String): Either<PeerFailure, DecodedResponse> =
        client.fetch(address, path, LIMITS, acceptsCompressed).mapLeft { PeerFailure(address, it.reason) }.flatMap {
            if (it.status != 200) return@flatMap PeerFailure(address, "status ${it.status}").left()
            decodeBody(address, it).map { body -> DecodedResponse(it.headers, body) }
        }

    private class DecodedResponse(val headers: HeaderFields, val body: ByteArray)

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
