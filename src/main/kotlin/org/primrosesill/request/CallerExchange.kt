/*
 * The caller's side of one request, apart from any HTTP library.
 */
package org.primrosesill.request

import arrow.core.Either
import org.primrosesill.model.Failure
import org.primrosesill.model.RequestId
import java.io.IOException

/** Reads the body of a request. */
public fun interface CallerBody {
    /** Returns the whole body, or why there is none: it is larger than [limitBytes] or did not arrive. */
    public suspend fun receive(limitBytes: Int): Either<Failure, ByteArray>
}

/**
 * A request whose head has arrived.
 *
 * @property path path and query as received, percent-encoded
 * @property headers all values by lower-case name
 */
public class CallerRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: Map<String, List<String>>,
    public val body: CallerBody,
) {
    /** Returns the first value of the header [name], which is in lower case. */
    public fun header(name: String): String? = headers[name]?.firstOrNull()
}

/**
 * The head of an answer to the caller. The listener adds X-Request-Id.
 *
 * @property contentLength bytes of the body, or null when it is not known
 */
public class AnswerHead(
    public val status: Int,
    public val headers: Map<String, String>,
    public val contentLength: Long? = null,
)

/** Writes the body of an answer as it comes. */
public fun interface AnswerWriter {
    /** Hands [bytes] to the network, or throws [CallerGoneException]. */
    public suspend fun write(bytes: ByteArray)
}

/** How the body of an answer ended. */
public enum class StreamEnd { WHOLE, CUT }

/** Takes the one answer to a request. One of the functions is called, once. */
public interface CallerAnswer {
    /** Answers with a problem. */
    public suspend fun refuse(failure: Failure)

    /** Answers with a body that is known as a whole. */
    public suspend fun respond(head: AnswerHead, body: ByteArray)

    /** Answers with what [produce] writes. The connection is aborted if that ends with [StreamEnd.CUT]. */
    public suspend fun stream(head: AnswerHead, produce: suspend (AnswerWriter) -> StreamEnd)
}

/** The caller closed its connection or reads too slowly. */
public class CallerGoneException(message: String, cause: Throwable? = null) : IOException(message, cause)
