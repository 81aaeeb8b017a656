/*
 * Which headers of a request and of an answer are passed on, and which values are accepted. Everything else stops here:
 * headers of one connection, credentials, and headers that upstreams would take for the router's own.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.primrosesill.model.Failure
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import java.util.UUID

/** Longest request id of a caller. The id is repeated in every event, so it is kept short. */
private const val MAXIMUM_REQUEST_ID_LENGTH = 128

private const val MAXIMUM_KEY_LENGTH = 255

private val passedToUpstream =
    listOf("accept", "accept-language", "content-type", "content-encoding", "if-match", "if-none-match", "traceparent")

private val passedToCaller =
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

/** Headers with one meaning for the router. Two values would leave it open which of them counts. */
private val singleHeaders =
    listOf("authorization", "idempotency-key", "x-conversation-id", "content-type", "content-length")

/** Returns the request id of the caller if [header] is short and visible ASCII, else a new one. */
public fun requestIdFrom(header: String?): RequestId =
    RequestId(
        header?.takeIf { it.length <= MAXIMUM_REQUEST_ID_LENGTH && isVisible(it) } ?: UUID.randomUUID().toString(),
    )

internal fun checkHeaders(request: CallerRequest): Either<Failure, Unit> {
    val repeated = singleHeaders.firstOrNull { (request.headers[it]?.size ?: 0) > 1 }
    return if (repeated == null) Unit.right() else Failure.MalformedRequest(repeated, "it occurs more than once").left()
}

/** Returns the token of a Bearer credential, or null. */
internal fun bearerToken(authorization: String?): String? {
    val parts = authorization?.split(' ', limit = 2) ?: return null
    return parts.getOrNull(1)?.trim()?.takeIf { parts[0].equals("Bearer", ignoreCase = true) && it.isNotEmpty() }
}

/** Returns the idempotency key, null when there is none, or [Failure.KeyInvalid]. */
internal fun idempotencyKey(request: CallerRequest): Either<Failure, String?> {
    val key = request.header("idempotency-key") ?: return null.right()
    val bare = key.removeSurrounding("\"")
    return if (bare.length <= MAXIMUM_KEY_LENGTH && isVisible(bare)) {
        bare.right()
    } else {
        Failure.KeyInvalid("it is empty, longer than $MAXIMUM_KEY_LENGTH characters or not visible ASCII").left()
    }
}

internal fun headersForUpstream(headers: Map<String, List<String>>): Map<String, String> =
    pass(passedToUpstream) { headers[it]?.firstOrNull() }

internal fun headersForCaller(headers: HeaderFields): Map<String, String> = pass(passedToCaller) { headers[it] }

private fun pass(names: List<String>, value: (String) -> String?): Map<String, String> =
    names
        .mapNotNull { name -> value(name)?.takeIf(::isPrintable)?.let { name to it } }
        .toMap()

private fun isVisible(value: String) = value.isNotEmpty() && value.all { it in '!'..'~' }

private fun isPrintable(value: String) = value.all { it in ' '..'~' }
