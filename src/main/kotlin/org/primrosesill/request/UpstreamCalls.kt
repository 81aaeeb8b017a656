/*
 * Creates the upstream calls of a request.
 */
package org.primrosesill.request

import org.primrosesill.model.HeaderFields
import org.primrosesill.model.toHeaderFields
import org.primrosesill.routing.UpstreamView
import java.net.URLEncoder
import java.util.UUID
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

private const val REQUEST_ID_HEADER = "x-request-id"

/**
 * Returns a generator of suffixes that are unique among the calls of all routers. Callers choose their request ids
 * freely, so with the id alone one caller could cancel or resume the stream of another, and the response to another
 * request with the same id would be accepted.
 */
internal fun callIdSuffixes(): () -> String {
    val instanceId = UUID.randomUUID().toString().takeLast(12)
    val counter = AtomicLong()
    return { "$instanceId-${counter.incrementAndGet().toString(36)}" }
}

internal fun callFor(context: AcceptedRequest, upstream: UpstreamView, suffix: String): UpstreamCall =
    UpstreamCall(
        upstream = upstream.id,
        address = upstream.address,
        method = context.method,
        path = context.path,
        requestId = "${context.id}.$suffix",
        headers = headersWithId("${context.id}.$suffix", context.headers + deadlineHeaders(context)),
        body = context.body.takeIf { it.isNotEmpty() || context.method in listOf("POST", "PUT", "PATCH") },
        timeout = context.timeLeft(),
    )

internal fun cancelCall(originalCall: UpstreamCall, timeout: Duration): UpstreamCall =
    UpstreamCall(
        upstream = originalCall.upstream,
        address = originalCall.address,
        method = "DELETE",
        path = streamPath(originalCall.requestId),
        requestId = originalCall.requestId,
        headers = headersWithId(originalCall.requestId),
        body = null,
        timeout = timeout,
    )

/** Returns [otherHeaders] with the header for [requestId] added. */
internal fun headersWithId(requestId: String, otherHeaders: Map<String, String> = emptyMap()): HeaderFields =
    otherHeaders.toHeaderFields().with(REQUEST_ID_HEADER, requestId)

internal fun deadlineHeaders(context: AcceptedRequest): Map<String, String> =
    mapOf(
        "x-priority" to context.contract.priority.toString(),
        "x-deadline-millis" to
            context
                .timeLeft()
                .inWholeMilliseconds
                .coerceAtLeast(0)
                .toString(),
    )

/** Returns the path of a stream. A request id may contain any visible ASCII, so it is encoded as one path segment. */
internal fun streamPath(requestId: String): String =
    "/v1/streams/" + URLEncoder.encode(requestId, Charsets.UTF_8).replace("+", "%20").replace("*", "%2A")
