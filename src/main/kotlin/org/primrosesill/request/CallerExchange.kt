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
public class CallerResponseHead(
    public val status: Int,
    public val headers: Map<String, String>,
    public val contentLength: Long? = null,
)

/** Writes the body of a response as it arrives. */
public fun interface ResponseBodyWriter {
    /** Writes [bytes] to the connection, or throws [CallerDisconnectedException]. */
    public suspend fun write(bytes: ByteArray)
}

/** Whether the body of a response was complete or truncated. */
public enum class StreamEnd { COMPLETE, TRUNCATED }

/** Sends the response to a request. Exactly one of the functions is called, once. */
public interface CallerResponse {
    /** Sends [failure] as problem details. */
    public suspend fun respondWithFailure(failure: Failure)

    /** Sends a response with a complete body. */
    public suspend fun respond(head: CallerResponseHead, body: ByteArray)

    /** Sends a response whose body [produce] writes. Aborts the connection if it returns [StreamEnd.TRUNCATED]. */
    public suspend fun stream(head: CallerResponseHead, produce: suspend (ResponseBodyWriter) -> StreamEnd)
}

/** Thrown when the caller closed its connection or reads too slowly. */
public class CallerDisconnectedException(message: String, cause: Throwable? = null) : IOException(message, cause)
