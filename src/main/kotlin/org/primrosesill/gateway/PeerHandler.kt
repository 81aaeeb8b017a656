/*
 * Serves the calls of other gateways.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToString
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
            HELD_PARTS_PATH -> respond(request, response, messageJson.encodeToString(trafficGossip.heldParts()))
            else -> response.respond(ResponseHead(404))
        }
    }

    private suspend fun respondWithItems(request: InboundRequest, response: OutboundResponse) {
        val parameters = request.target.substringAfter('?', "").split('&')
        val since = numberOf(parameters, SINCE_PARAMETER) ?: return response.respond(ResponseHead(400))
        val era = numberOf(parameters, ERA_PARAMETER)
        val reply = withContext(controlDispatcher) { messageJson.encodeToString(exchangeLoop.itemsAfter(since, era)) }
        respond(request, response, reply)
    }

    private fun numberOf(parameters: List<String>, name: String): Long? =
        parameters.firstOrNull { it.startsWith("$name=") }?.substringAfter('=')?.toLongOrNull()

    private suspend fun respond(request: InboundRequest, response: OutboundResponse, message: String) {
        val bytes = message.toByteArray()
        val compresses = request.headers["Accept-Encoding"] == GZIP && bytes.size >= MINIMUM_COMPRESSED_BYTES
        if (compresses) response.respond(compressedHead, compress(bytes)) else response.respond(jsonHead, bytes)
    }

    private companion object {
        val jsonHead = ResponseHead(200, headerFieldsOf("Content-Type" to "application/json"))
        val compressedHead = ResponseHead(200, jsonHead.headers.with("Content-Encoding", GZIP))

        /** Compression gains nothing for a body that fits into one packet. */
        const val MINIMUM_COMPRESSED_BYTES = 1_400
    }
}
