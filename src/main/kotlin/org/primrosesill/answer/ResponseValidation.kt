/*
 * Validates that a response belongs to its request and is complete, and extracts whether the upstream executed the
 * request and how many tokens it generated.
 */
package org.primrosesill.answer

/** Returns whether [responseIds], the request ids in a response, consist of exactly [requestId]. */
public fun matchesRequestId(requestId: String, responseIds: List<String>): Boolean =
    responseIds.size == 1 && responseIds[0] == requestId

/** Returns whether the head of a response reports that the upstream did not execute the request. */
public fun isNotExecuted(status: Int, notRunHeader: String?): Boolean =
    status == 503 && notRunHeader.equals("true", ignoreCase = true)

/** How the end of a body is marked, which decides whether a truncated body can be detected. */
public sealed interface BodyFraming {
    /** The method or the status does not allow a body. */
    public data object None : BodyFraming

    /** The Content-Length header announces [bytes] bytes. */
    public class Length(public val bytes: Long) : BodyFraming

    /** A final chunk marks the end; the transport reports a missing one. */
    public data object Chunked : BodyFraming

    /** Only the end of the connection marks the end, so that a truncated body looks complete. */
    public data object UntilClose : BodyFraming
}

/** Returns how the body of a response to [method] is framed. */
public fun bodyFraming(method: String, status: Int, contentLength: String?, transferEncoding: String?): BodyFraming =
    when {
        method == "HEAD" || status == 204 || status == 304 || status < 200 -> BodyFraming.None
        transferEncoding.equals("chunked", ignoreCase = true) -> BodyFraming.Chunked
        else -> contentLength?.toLongOrNull()?.let(BodyFraming::Length) ?: BodyFraming.UntilClose
    }

/** Returns why a body that ended after [received] bytes is incomplete, or null when it is complete. */
public fun incompleteBodyReason(framing: BodyFraming, received: Long): String? =
    when (framing) {
        BodyFraming.None, BodyFraming.Chunked -> null
        is BodyFraming.Length ->
            if (received ==
                framing.bytes
            ) {
                null
            } else {
                "$received of ${framing.bytes} bytes were received"
            }
        BodyFraming.UntilClose -> "the response has neither a content length nor a final chunk"
    }

/** Returns the number of generated tokens from the `usage` in [text], the end of a response, or null if it has none. */
public fun completionTokens(text: String): Int? =
    completionTokensPattern
        .findAll(text)
        .lastOrNull()
        ?.groupValues
        ?.get(1)
        ?.toIntOrNull()

private val completionTokensPattern = Regex("\"completion_tokens\"\\s*:\\s*(\\d{1,9})")
