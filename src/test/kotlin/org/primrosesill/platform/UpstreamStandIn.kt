/*
 * A stand-in for the users' upstreams on loopback, limited to the protocol that gateways use.
 */
package org.primrosesill.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.headerFieldsOf

/** How an upstream handles requests. */
enum class UpstreamMode {
    NORMAL,
    CRASHING,
    HANGING,
    FAILING,
    FULL,
    TRUNCATING,
    LEAVING,
    PAUSING,
    ENDLESS,
    ENDLESS_EVENTS,
}

/** An upstream that implements the platform's protocol and records the requests that it received and executed. */
class UpstreamStandIn(val id: String, private val events: Int, private val pauseMillis: Long = 5) : RequestHandler {
    /** Ids of the requests received by this upstream, in order. */
    val received = java.util.concurrent.ConcurrentLinkedQueue<String>()

    /** Ids of the requests executed by this upstream, in order. */
    val executed = java.util.concurrent.ConcurrentLinkedQueue<String>()

    @Volatile
    var mode = UpstreamMode.NORMAL

    /** How long each stream is silent after half of its events. */
    @Volatile
    var silenceMillis = 0L

    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        val attempt = request.headers["X-Attempt-Id"].orEmpty()
        val echo = headerFieldsOf("X-Attempt-Id" to attempt)
        // The gateway's own requests have no id.
        if (attempt.isNotEmpty()) received += attempt
        if (request.headers["X-Expect-Instance"] !=
            id
        ) {
            return response.respond(ResponseHead(421, echo.with("X-Instance-Id", id)))
        }
        if (mode == UpstreamMode.FULL) return response.respond(ResponseHead(503, echo.with("X-Not-Executed", "1")))
        if (mode == UpstreamMode.PAUSING) {
            val refusal = echo + headerFieldsOf("X-Not-Executed" to "1", "Retry-After" to "2")
            return response.respond(ResponseHead(503, refusal))
        }
        executed += attempt
        val leaving =
            if (mode == UpstreamMode.LEAVING) headerFieldsOf("Server-Leaving" to "1") else headerFieldsOf()
        val signed =
            echo + leaving + headerFieldsOf("X-Server-Signature" to "$id.$attempt", "X-Server-Load" to "1,0,96")
        when (mode) {
            UpstreamMode.CRASHING -> return response.abort()
            UpstreamMode.HANGING -> delay(60_000)
            UpstreamMode.FAILING -> return response.respond(ResponseHead(500, signed), "failed".toByteArray())
            UpstreamMode.ENDLESS -> respondWithoutEnd(response, signed, "x".repeat(16_000))
            UpstreamMode.ENDLESS_EVENTS -> respondWithoutEnd(response, signed, "data: x\n\n".repeat(1_600))
            else -> Unit
        }
        if (events == 0) respondPlain(request, response, signed) else respondStream(request, response, signed)
    }

    /** Repeats [part] as fast as the gateway reads. */
    private suspend fun respondWithoutEnd(response: OutboundResponse, fields: HeaderFields, part: String): Nothing {
        val type = if (events == 0) "text/plain" else "text/event-stream"
        response.start(ResponseHead(200, fields.with("Content-Type", type)))
        val bytes = part.toByteArray()
        while (true) {
            response.write(bytes)
            // The gateway may have closed the connection, which this thread has yet to detect.
            yield()
        }
    }

    private suspend fun respondPlain(request: InboundRequest, response: OutboundResponse, fields: HeaderFields) {
        delay(pauseMillis)
        response.respond(
            ResponseHead(200, fields),
            "${request.method} ${request.target} ${request.body.decodeToString()}".toByteArray(),
        )
    }

    private suspend fun respondStream(request: InboundRequest, response: OutboundResponse, fields: HeaderFields) {
        val first = (request.headers["Last-Event-Id"]?.toInt() ?: 0) + 1
        response.start(ResponseHead(200, fields.with("Content-Type", "text/event-stream")))
        for (number in first..events) {
            delay(pauseMillis)
            if (number == events / 2 + 1) delay(silenceMillis)
            if (mode == UpstreamMode.TRUNCATING && number == events / 2 + 1) return response.abort()
            response.write("id: $number\ndata: $number\n\n".toByteArray())
        }
        response.finish()
    }
}
