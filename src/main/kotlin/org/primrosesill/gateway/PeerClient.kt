/*
 * Calls of a gateway to other gateways, in JSON over HTTP.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.primrosesill.generated.HeldParts
import org.primrosesill.generated.RelayedItems
import org.primrosesill.http.messageJson
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.seconds

internal const val ITEMS_PATH = "/peer/v1/items"
internal const val HELD_PARTS_PATH = "/peer/v1/held-parts"

/** Why a call to a peer gave nothing. */
internal data class PeerFailure(val address: String, val reason: String) {
    override fun toString(): String = "$address: $reason"
}

internal class PeerClient(private val client: UpstreamClient) {
    /** Asks for the platform's items that changed after [revision]. */
    suspend fun items(address: String, revision: Long): Either<PeerFailure, RelayedItems> =
        call(address, "$ITEMS_PATH?since=$revision")
            .flatMap { decode(address, it, RelayedItems.serializer()) }

    /** Asks what engines have read, as far as the peer knows. */
    suspend fun heldParts(address: String): Either<PeerFailure, HeldParts> =
        call(address, HELD_PARTS_PATH).flatMap { decode(address, it, HeldParts.serializer()) }

    private suspend fun call(address: String, path: String): Either<PeerFailure, ByteArray> {
        val call =
            UpstreamCall(
                upstream = UpstreamId(address),
                address = address,
                method = "GET",
                path = path,
                requestId = "",
                headers = HeaderFields(),
                body = null,
                timeout = TIMEOUT,
                connection = ConnectionUse.Kept(MAXIMUM_IDLE),
            )
        return when (val result = client.exchange(call) { read(address, it) }) {
            is ExchangeResult.Answered -> result.value
            is ExchangeResult.NotSent -> PeerFailure(address, result.reason).left()
            is ExchangeResult.Broken -> PeerFailure(address, result.reason).left()
            ExchangeResult.TimedOut -> PeerFailure(address, "no answer within $TIMEOUT").left()
        }
    }

    private suspend fun read(address: String, answer: UpstreamAnswer): Either<PeerFailure, ByteArray> {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = answer.body.next()) {
                is BodyPart.Bytes -> body.write(part.bytes)
                is BodyPart.Cut -> return PeerFailure(address, part.reason).left()
                BodyPart.End -> break
            }
            if (body.size() > MAXIMUM_MESSAGE_BYTES) return PeerFailure(address, "the answer is too large").left()
        }
        if (answer.status != 200) return PeerFailure(address, "status ${answer.status}").left()
        return body.toByteArray().right()
    }

    private fun <T> decode(
        address: String,
        body: ByteArray,
        deserializer: DeserializationStrategy<T>,
    ): Either<PeerFailure, T> =
        try {
            messageJson.decodeFromString(deserializer, body.decodeToString()).right()
        } catch (exception: SerializationException) {
            PeerFailure(
                address,
                "an answer that is not the message: ${exception.message?.lineSequence()?.first()}",
            ).left()
        }

    private companion object {
        val TIMEOUT = 1.seconds
        val MAXIMUM_IDLE = 5.seconds

        /** The store holds values of up to 1 MB, and lists hundreds of upstreams. */
        const val MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024
    }
}
