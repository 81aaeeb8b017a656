/*
 * Checks that an answer belongs to its request, that it is whole, and what it says about the request and the upstream.
 */
package org.primrosesill.answer

/** Returns whether an answer that carries [answered] as its only request id belongs to the request [sent]. */
public fun belongsTo(sent: String, answered: List<String>): Boolean = answered.size == 1 && answered[0] == sent

/** Returns whether the upstream says with this head that it did not run the request. */
public fun saysNotRun(status: Int, notRunHeader: String?): Boolean =
    status == 503 && notRunHeader.equals("true", ignoreCase = true)

/** How the end of a body is marked, which decides whether a short body can be noticed. */
public sealed interface BodyFraming {
    /** The method or status excludes a body. */
    public data object None : BodyFraming

    /** The head announces [bytes] bytes. */
    public class Length(public val bytes: Long) : BodyFraming

    /** A final chunk marks the end; the transport reports its absence. */
    public data object Chunked : BodyFraming

    /** Only the end of the connection marks the end, so that a cut body looks whole. */
    public data object UntilClose : BodyFraming
}

/** Returns how the body of an answer to [method] is framed. */
public fun bodyFraming(method: String, status: Int, contentLength: String?, transferEncoding: String?): BodyFraming =
    when {
        method == "HEAD" || status == 204 || status == 304 || status < 200 -> BodyFraming.None
        transferEncoding.equals("chunked", ignoreCase = true) -> BodyFraming.Chunked
        else -> contentLength?.toLongOrNull()?.let(BodyFraming::Length) ?: BodyFraming.UntilClose
    }

/** Returns why a body that ended after [received] bytes is not whole, or null when it is. */
public fun whyNotWhole(framing: BodyFraming, received: Long): String? =
    when (framing) {
        BodyFraming.None, BodyFraming.Chunked -> null
        is BodyFraming.Length -> if (received == framing.bytes) null else "$received of ${framing.bytes} bytes arrived"
        BodyFraming.UntilClose -> "the answer has neither a content length nor a final chunk"
    }

/** Returns the number of generated tokens that [text], the end of an answer with `usage`, states, or null. */
public fun completionTokens(text: String): Int? =
    completionTokensPattern
        .findAll(text)
        .lastOrNull()
        ?.groupValues
        ?.get(1)
        ?.toIntOrNull()

private val completionTokensPattern = Regex("\"completion_tokens\"\\s*:\\s*(\\d{1,9})")
