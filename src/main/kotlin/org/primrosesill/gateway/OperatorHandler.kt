/*
 * Serves the metrics, as text, and the status of this gateway to operators.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToString
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.generated.RouterStatus
import org.primrosesill.http.STATUS_PATH
import org.primrosesill.http.messageJson
import org.primrosesill.model.headerFieldsOf

internal class OperatorHandler(
    private val metrics: GatewayMetrics,
    private val controlDispatcher: CoroutineDispatcher,
    private val status: () -> RouterStatus,
) : RequestHandler {
    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        when (request.path) {
            METRICS_PATH -> response.respond(head("text/plain; version=0.0.4"), metrics.scrape().toByteArray())
            STATUS_PATH -> response.respond(head("application/json"), currentStatus())
            else -> response.respond(ResponseHead(404))
        }
    }

    private suspend fun currentStatus(): ByteArray {
        val current = withContext(controlDispatcher) { status() }
        return messageJson.encodeToString(current).toByteArray()
    }

    private fun head(contentType: String) = ResponseHead(200, headerFieldsOf("Content-Type" to contentType))
}

internal const val METRICS_PATH = "/metrics"
