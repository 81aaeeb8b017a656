/*
 * Serves the calls of other gateways.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToString
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundAnswer
import org.primrosesill.forwarding.OutboundHead
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.http.messageJson
import org.primrosesill.model.headerFieldsOf

internal class PeerHandler(
    private val exchange: ExchangeLoop,
    private val trafficGossip: TrafficGossip,
    private val control: CoroutineDispatcher,
) : RequestHandler {
    override suspend fun handle(request: InboundRequest, answer: OutboundAnswer) {
        when (request.path) {
            ITEMS_PATH -> items(request, answer)
            HELD_PARTS_PATH -> respond(request, answer, messageJson.encodeToString(trafficGossip.allHeldParts()))
            else -> answer.respond(OutboundHead(404))
        }
    }

    private suspend fun items(request: InboundRequest, answer: OutboundAnswer) {
        val since = request.target.substringAfter("since=", "").toLongOrNull()
        if (since == null) return answer.respond(OutboundHead(400))
        val reply = withContext(control) { messageJson.encodeToString(exchange.itemsAfter(since)) }
        respond(request, answer, reply)
    }

    private suspend fun respond(request: InboundRequest, answer: OutboundAnswer, message: String) {
        val bytes = message.toByteArray()
        val compresses = request.headers["Accept-Encoding"] == GZIP && bytes.size >= MINIMUM_COMPRESSED_BYTES
        if (compresses) answer.respond(compressedHead, compress(bytes)) else answer.respond(jsonHead, bytes)
    }

    private companion object {
        val jsonHead = OutboundHead(200, headerFieldsOf("Content-Type" to "application/json"))
        val compressedHead = OutboundHead(200, jsonHead.headers.with("Content-Encoding", GZIP))

        /** Compression gains nothing for a body that fits into one packet. */
        const val MINIMUM_COMPRESSED_BYTES = 1_400
    }
}
