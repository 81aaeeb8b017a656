/*
 * The request and the response of a caller, independent of any HTTP library.
 */
package org.primrosesill.request

import arrow.core.Either
import org.primrosesill.model.Failure
import org.primrosesill.model.RequestId
import java.io.IOException

/** The body of a request, which is read on demand. */
public fun interface CallerBody {
    /** Returns the complete body, or a failure if it is larger than [limitBytes] or did not arrive completely. */
    public suspend fun receive(limitBytes: Int): Either<Failure, ByteArray>
}

/**
 * A request whose head has arrived.
 *
 * @property path path and query as received, percent-encoded
 * @property headers all values of each header, by its name in lower case
 */
public class CallerRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: Map<String, List<String>>,
    public val body: CallerBody,
) {
    /** Returns the first value of the header [name], which must be in lower case. */
    public fun header(name: String): String? = headers[name]?.firstOrNull()
}

/**
 * The head of a response to the caller. The listener adds X-Request-Id.
 *
 * @property contentLength size of the body in bytes, or null if it is unknown
 */
public class AnswerHead(
    public val status: Int,
    public val headers: Map<String, String>,
    public val contentLength: Long? = null,
)

/** Writes the body of a response as it arrives. */
public fun interface AnswerWriter {
    /** Writes [bytes] to the connection, or throws [CallerGoneException]. */
    public suspend fun write(bytes: ByteArray)
}

/** Whether the body of a response was complete or truncated. */
public enum class StreamEnd { WHOLE, CUT }

/** Sends the response to a request. Exactly one of the functions is called, once. */
public interface CallerAnswer {
    /** Sends [failure] as problem details. */
    public suspend fun refuse(failure: Failure)

    /** Sends a response with a complete body. */
    public suspend fun respond(head: AnswerHead, body: ByteArray)

    /** Sends a response with the body that [produce] writes. Aborts the connection if it returns [StreamEnd.CUT]. */
    public suspend fun stream(head: AnswerHead, produce: suspend (AnswerWriter) -> StreamEnd)
}

/** Thrown when the caller closed its connection or reads too slowly. */
public class CallerGoneException(message: String, cause: Throwable? = null) : IOException(message, cause)
