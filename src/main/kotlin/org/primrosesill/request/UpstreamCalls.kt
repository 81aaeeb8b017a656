/*
 * Builds the calls of one request to upstreams.
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
 * Returns a source of suffixes that no other call of any router gets. A caller chooses its request id freely, so the id
 * alone would let one caller cancel or resume the stream of another, and would let crossed answers look right.
 */
internal fun callSuffixes(): () -> String {
    val process = UUID.randomUUID().toString().takeLast(12)
    val counter = AtomicLong()
    return { "$process-${counter.incrementAndGet().toString(36)}" }
}

internal fun callFor(work: Work, upstream: UpstreamView, suffix: String): UpstreamCall =
    UpstreamCall(
        upstream = upstream.id,
        address = upstream.address,
        method = work.method,
        path = work.path,
        requestId = "${work.id}.$suffix",
        headers = fieldsOf("${work.id}.$suffix", work.headers + deadlineHeaders(work)),
        body = work.body.takeIf { it.isNotEmpty() || work.method in listOf("POST", "PUT", "PATCH") },
        timeout = work.timeLeft(),
    )

internal fun cancelCall(sent: UpstreamCall, timeout: Duration): UpstreamCall =
    UpstreamCall(
        upstream = sent.upstream,
        address = sent.address,
        method = "DELETE",
        path = streamPath(sent.requestId),
        requestId = sent.requestId,
        headers = fieldsOf(sent.requestId),
        body = null,
        timeout = timeout,
    )

/** The header fields of a call: the id of the request, and [others]. */
internal fun fieldsOf(requestId: String, others: Map<String, String> = emptyMap()): HeaderFields =
    others.toHeaderFields().with(REQUEST_ID_HEADER, requestId)

internal fun deadlineHeaders(work: Work): Map<String, String> =
    mapOf(
        "x-priority" to work.contract.priority.toString(),
        "x-deadline-millis" to
            work
                .timeLeft()
                .inWholeMilliseconds
                .coerceAtLeast(0)
                .toString(),
    )

/** A request id may hold any visible ASCII, so it is encoded as one path segment. */
internal fun streamPath(requestId: String): String =
    "/v1/streams/" + URLEncoder.encode(requestId, Charsets.UTF_8).replace("+", "%20").replace("*", "%2A")
