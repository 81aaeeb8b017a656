/*
 * Serves the calls of other gateways.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToString
import org.primrosesill.discovery.TextDigest
import org.primrosesill.discovery.parseTextDigest
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.http.messageJson
import org.primrosesill.model.headerFieldsOf

internal class PeerHandler(
    private val exchangeLoop: ExchangeLoop,
    private val trafficGossip: TrafficGossip,
    private val controlDispatcher: CoroutineDispatcher,
) : RequestHandler {
    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        when (request.path) {
            ITEMS_PATH -> respondWithItems(request, response)
            HELD_PARTS_PATH -> respondWithHeldParts(request, response)
            else -> response.respond(ResponseHead(404))
        }
    }

    private suspend fun respondWithItems(request: InboundRequest, response: OutboundResponse) {
        val parameters = request.target.substringAfter('?', "").split('&')
        val since = numberOf(parameters, SINCE_PARAMETER) ?: return response.respond(ResponseHead(400))
        val era = numberOf(parameters, ERA_PARAMETER)
        val known = digestsOf(parameters)
        val compresses = request.acceptsCompressed
        val (body, ageMillis) =
            withContext(controlDispatcher) {
                val page = exchangeLoop.itemsAfter(since, era, known)
                val isCompressed = compresses && page.bytes.size >= MINIMUM_COMPRESSED_BYTES
                val body = if (isCompressed) EncodedBody(page.compressed, true) else EncodedBody(page.bytes, false)
                body to exchangeLoop.ageMillisOf(page)
            }
        respond(response, body, pageAge = ageMillis)
    }

    private fun numberOf(parameters: List<String>, name: String): Long? =
        parameters.firstOrNull { it.startsWith("$name=") }?.substringAfter('=')?.toLongOrNull()

    /** Returns the digests of the large values that the peer has. */
    private fun digestsOf(parameters: List<String>): Set<TextDigest> =
        parameters
            .firstOrNull { it.startsWith("$KNOWN_VALUES_PARAMETER=") }
            ?.substringAfter('=')
            ?.split(',', limit = MAXIMUM_KNOWN_VALUES)
            ?.mapNotNull(::parseTextDigest)
            .orEmpty()
            .toSet()

    private suspend fun respondWithHeldParts(request: InboundRequest, response: OutboundResponse) {
        val bytes = messageJson.encodeToString(trafficGossip.heldParts()).toByteArray()
        val isCompressed = request.acceptsCompressed && bytes.size >= MINIMUM_COMPRESSED_BYTES
        respond(response, if (isCompressed) EncodedBody(compress(bytes), true) else EncodedBody(bytes, false))
    }

    private suspend fun respond(response: OutboundResponse, body: EncodedBody, pageAge: Long = 0) {
        val head = if (body.isCompressed) compressedHead else jsonHead
        val headers = if (pageAge > 0) head.headers.with(PAGE_AGE_FIELD, "$pageAge") else head.headers
        response.respond(ResponseHead(200, headers), body.bytes)
    }

    private val InboundRequest.acceptsCompressed: Boolean get() = headers["Accept-Encoding"] == GZIP

    private class EncodedBody(val bytes: ByteArray, val isCompressed: Boolean)

    private companion object {
        val jsonHead = ResponseHead(200, headerFieldsOf("Content-Type" to "application/json"))
        val compressedHead = ResponseHead(200, jsonHead.headers.with("Content-Encoding", GZIP))

        /** Compression gains nothing for a body that fits into one packet. */
        const val MINIMUM_COMPRESSED_BYTES = 1_400

        /** More than a gateway keeps earlier values of. */
        const val MAXIMUM_KNOWN_VALUES = 16
    }
}
