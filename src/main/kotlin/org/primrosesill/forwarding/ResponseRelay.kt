/*
 * Relays the response of an upstream to the caller. A non-streaming response is buffered to its end first, unless it is
 * long, so that a truncated one can still be replaced by another attempt.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.generated.EventType
import org.primrosesill.load.LoadReport
import org.primrosesill.load.MalformedLoad
import org.primrosesill.load.ReportedLoad
import org.primrosesill.model.UpstreamId
import org.primrosesill.request.BodyPart
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamResponse
import org.primrosesill.route.RouteKind
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.seconds

internal class ResponseRelay(private val dependencies: ForwarderDependencies) {
    private val protocol = dependencies.protocol
    private val malformedLoads = EventLimit(MALFORMED_LOAD_EVENT_INTERVAL)

    suspend fun relay(
        context: RequestContext,
        attempt: AttemptInProgress,
        response: UpstreamResponse,
        callerResponse: OutboundResponse,
    ): AttemptOutcome {
        val upstream = attempt.upstream
        val metadata = protocol.parse(response.status, response.headers)
        dependencies.activity.recordZoneResponse(upstream.registration.availabilityZone)
        dependencies.activity.recordData(upstream.id)
        metadata.load?.let { recordLoad(it, upstream.id, context) }
        val report = metadata.load as? ReportedLoad
        recordNotices(metadata, upstream, context)
        val isFull = metadata.notRun && response.status in FULL_STATUSES
        if (isFull) dependencies.notices.recordFull(upstream)
        val success = response.status in SUCCESS_STATUSES
        return when {
            metadata.notRun -> AttemptOutcome.NotRun("status ${response.status}", isFull)
            metadata.contentEncoded -> AttemptOutcome.Unknown("response body has a content encoding")
            !metadata.signed -> AttemptOutcome.Unknown("status ${response.status} without a signature")
            success && context.route.kind == RouteKind.STREAM && isEventStream(response) ->
                StreamRelay(dependencies, context, attempt, response, callerResponse, report).relay()
            else -> {
                val buffer = ByteArrayOutputStream()
                try {
                    relayBuffered(context, attempt, response, callerResponse, buffer) {
                        if (success && report?.slowness == null) recordResponseTime(context, attempt)
                    }
                } finally {
                    dependencies.buffers.add(-buffer.size())
                }
            }
        }
    }

    /** Returns whether [response] is declared as an event stream. One without a declaration counts as such. */
    private fun isEventStream(response: UpstreamResponse): Boolean =
        response.header("Content-Type")?.startsWith(EVENT_STREAM, ignoreCase = true) ?: true

    private fun recordLoad(report: LoadReport, upstream: UpstreamId, context: RequestContext) {
        dependencies.metrics.loadReported(isReadable = report is ReportedLoad)
        when (report) {
            is ReportedLoad -> {
                val id = dependencies.loads.recordReported(upstream, report)
                report.slowness?.let { dependencies.speeds.recordReported(upstream, it, id) }
            }
            is MalformedLoad ->
                if (malformedLoads.allowsEvent()) {
                    val cause = "load report cannot be read: '${report.text.take(MAXIMUM_LOGGED_CHARACTERS)}'"
                    dependencies.events.record(EventType.LOAD_REPORT_MALFORMED, context.metadata.id, upstream, cause)
                }
        }
    }

    private fun recordResponseTime(context: RequestContext, attempt: AttemptInProgress) {
        if (context.route.kind == RouteKind.STREAM) return
        val responseTime = attempt.startedWith - context.timeLeft()
        dependencies.speeds.recordResponseTime(context.pool, context.route.name, attempt.upstream.id, responseTime)
    }

    private fun recordNotices(metadata: ResponseMetadata, upstream: KnownUpstream, context: RequestContext) {
        val requestId = context.metadata.id
        if (metadata.leaving && dependencies.notices.recordLeaving(upstream)) {
            dependencies.events.record(
                EventType.UPSTREAM_FAILING,
                requestId,
                upstream.id,
                "response announces that the upstream is shutting down",
            )
        }
        metadata.retryDelay?.let {
            dependencies.notices.recordPause(upstream, it)
            dependencies.events.record(
                EventType.UPSTREAM_FAILING,
                requestId,
                upstream.id,
                "upstream accepts no requests for $it",
            )
        }
    }

    private suspend fun relayBuffered(
        context: RequestContext,
        attempt: AttemptInProgress,
        response: UpstreamResponse,
        callerResponse: OutboundResponse,
        buffer: ByteArrayOutputStream,
        onReceived: () -> Unit,
    ): AttemptOutcome {
        val upstream = attempt.upstream
        val end = withTimeoutOrNull(context.timeLeft()) { fillBuffer(buffer, response.body) } ?: DEADLINE_PASSED
        if (end is BodyPart.Truncated) {
            dependencies.activity.recordConnectionFailure(upstream.id)
            return AttemptOutcome.Unknown(end.reason, connectionLost = end !== DEADLINE_PASSED)
        }
        if (response.closeDelimited && buffer.size() == 0 && response.status in SUCCESS_STATUSES) {
            dependencies.activity.recordConnectionFailure(upstream.id)
            return AttemptOutcome.Unknown("connection closed before the first byte of the body", connectionLost = true)
        }
        if (response.status >= 500) dependencies.activity.recordErrorResponse(upstream.id)
        if (callerResponse.started) {
            return AttemptOutcome.Unknown("resuming the stream failed with status ${response.status}")
        }
        if (response.status >= 500 && context.route.idempotent) {
            if (end is BodyPart.Bytes) {
                return AttemptOutcome.Unknown("status ${response.status} with a body too long to buffer")
            }
            return AttemptOutcome.Failed(headOf(response), buffer.toByteArray())
        }
        // These statuses imply that the request was not executed, but the upstream did not confirm it.
        if (response.status in STATUSES_IMPLYING_NOT_RUN) {
            return AttemptOutcome.Unknown("status ${response.status} without confirmation that the request was not run")
        }
        attempt.claim.acquire()
        dependencies.metrics.responseStarted(context.pool, context.request.arrivedAt.elapsedNow())
        if (end is BodyPart.Bytes) {
            return relayUnbuffered(context, upstream, response, callerResponse, buffer.toByteArray())
        }
        onReceived()
        if (response.status < 500) dependencies.activity.recordSuccess(upstream.id)
        callerResponse.respond(headOf(response), buffer.toByteArray())
        return AttemptOutcome.Delivered(response.status, ResponseEnd(response.closeDelimited))
    }

    /**
     * Reads [body] into [buffer]. Returns the end of the body, or the part that made [buffer] larger than
     * [MAXIMUM_BUFFERED_BYTES] or than what the budget of all requests allows.
     */
    private suspend fun fillBuffer(buffer: ByteArrayOutputStream, body: UpstreamBody): BodyPart {
        while (true) {
            val part = body.next()
            if (part !is BodyPart.Bytes) return part
            buffer.write(part.bytes)
            dependencies.buffers.add(part.bytes.size)
            if (buffer.size() > dependencies.buffers.limit(MAXIMUM_BUFFERED_BYTES)) return part
        }
    }

    /**
     * Relays a response that is too long to buffer, at the rate at which the caller reads it. [received] is the part of
     * the body that has already arrived.
     */
    private suspend fun relayUnbuffered(
        context: RequestContext,
        upstream: KnownUpstream,
        response: UpstreamResponse,
        callerResponse: OutboundResponse,
        received: ByteArray,
    ): AttemptOutcome {
        callerResponse.start(headOf(response))
        val end =
            withTimeoutOrNull(context.timeLeft()) {
                callerResponse.write(received)
                var part = response.body.next()
                while (part is BodyPart.Bytes) {
                    callerResponse.write(part.bytes)
                    part = response.body.next()
                }
                part
            } ?: DEADLINE_PASSED
        if (end is BodyPart.Truncated) {
            dependencies.activity.recordConnectionFailure(upstream.id)
            return AttemptOutcome.Cut(end.reason, connectionLost = end !== DEADLINE_PASSED)
        }
        callerResponse.finish()
        if (response.status < 500) dependencies.activity.recordSuccess(upstream.id)
        return AttemptOutcome.Delivered(response.status, ResponseEnd(response.closeDelimited))
    }

    private fun headOf(response: UpstreamResponse) = protocol.callerResponseHead(response)

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val FULL_STATUSES = setOf(429, 503)
        const val EVENT_STREAM = "text/event-stream"
        const val MAXIMUM_LOGGED_CHARACTERS = 64

        /** One event names the cause; an upstream whose reports cannot be read sends hundreds of them in a second. */
        val MALFORMED_LOAD_EVENT_INTERVAL = 10.seconds
        val STATUSES_IMPLYING_NOT_RUN = setOf(408, 421, 429, 503)
        val DEADLINE_PASSED = BodyPart.Truncated("the deadline passed")

        /**
         * A response of up to this length can be replaced by another attempt when it is truncated. The memory of a VM
         * limits how many responses can be buffered at once.
         */
        const val MAXIMUM_BUFFERED_BYTES = 256 * 1024
    }
}
