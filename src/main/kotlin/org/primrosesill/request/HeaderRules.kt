/*
 * The headers of requests and responses that are forwarded, and the values that are accepted. All other headers are
 * removed: hop-by-hop headers, credentials, and headers that upstreams would treat as set by the router.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.primrosesill.model.Failure
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import java.util.UUID

/** Longest accepted request id of a caller, in characters. Every event contains the id, so it is kept short. */
private const val MAXIMUM_REQUEST_ID_LENGTH = 128

private const val MAXIMUM_KEY_LENGTH = 255

private val forwardedRequestHeaders =
    listOf("accept", "accept-language", "content-type", "content-encoding", "if-match", "if-none-match", "traceparent")

private val forwardedResponseHeaders =
    listOf(
        "content-type",
        "content-encoding",
        "content-language",
        "cache-control",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    )

/** Headers that may occur only once, because with two values it would be ambiguous which one applies. */
private val singleValueHeaders =
    listOf("authorization", "idempotency-key", "x-conversation-id", "content-type", "content-length")

/** Returns [header] as the request id if it is short enough and visible ASCII, or else a random id. */
public fun requestIdFrom(header: String?): RequestId =
    RequestId(
        header?.takeIf { it.length <= MAXIMUM_REQUEST_ID_LENGTH && isVisible(it) } ?: UUID.randomUUID().toString(),
    )

internal fun checkHeaders(request: CallerRequest): Either<Failure, Unit> {
    val repeated = singleValueHeaders.firstOrNull { (request.headers[it]?.size ?: 0) > 1 }
    return if (repeated == null) Unit.right() else Failure.MalformedRequest(repeated, "occurs more than once").left()
}

/** Returns the token of an Authorization header with the Bearer scheme, or null. */
internal fun bearerToken(authorization: String?): String? {
    val parts = authorization?.split(' ', limit = 2) ?: return null
    return parts.getOrNull(1)?.trim()?.takeIf { parts[0].equals("Bearer", ignoreCase = true) && it.isNotEmpty() }
}

/** Returns the idempotency key without quotes, null if there is none, or [Failure.KeyInvalid]. */
internal fun idempotencyKey(request: CallerRequest): Either<Failure, String?> {
    val key = request.header("idempotency-key") ?: return null.right()
    val unquoted = key.removeSurrounding("\"")
    return if (unquoted.length <= MAXIMUM_KEY_LENGTH && isVisible(unquoted)) {
        unquoted.right()
    } else {
        Failure.KeyInvalid("the key is empty, longer than $MAXIMUM_KEY_LENGTH characters or not visible ASCII").left()
    }
}

internal fun headersForUpstream(headers: Map<String, List<String>>): Map<String, String> =
    select(forwardedRequestHeaders) { headers[it]?.firstOrNull() }

internal fun headersForCaller(headers: HeaderFields): Map<String, String> =
    select(forwardedResponseHeaders) { headers[it] }

private fun select(names: List<String>, value: (String) -> String?): Map<String, String> =
    names
        .mapNotNull { name -> value(name)?.takeIf(::isPrintable)?.let { name to it } }
        .toMap()

private fun isVisible(value: String) = value.isNotEmpty() && value.all { it in '!'..'~' }

private fun isPrintable(value: String) = value.all { it in ' '..'~' }
