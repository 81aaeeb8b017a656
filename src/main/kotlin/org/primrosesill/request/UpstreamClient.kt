/*
 * What the request path needs from a client of upstreams. Its results keep apart what the at-most-once rules depend on:
 * nothing was sent, something may have been sent, or an answer head arrived.
 */
package org.primrosesill.request

import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * One request to an upstream.
 *
 * @property address IP number and port
 * @property path path and query, percent-encoded
 * @property requestId id of the request, unique for each call that can run
 * @property headers all header fields but Host, Content-Length and Connection, which the client sets
 * @property timeout time until the head of the answer must have arrived
 * @property host value of the Host field
 * @property isAnswer tells from the fields of an answer whether it belongs to this call. Another one is read to its end
 *     and dropped, because a late answer to an earlier request may come first on a kept connection.
 */
public class UpstreamCall(
    public val upstream: UpstreamId,
    public val address: String,
    public val method: String,
    public val path: String,
    public val requestId: String,
    public val headers: HeaderFields,
    public val body: ByteArray?,
    public val timeout: Duration,
    public val host: String = address,
    public val connection: ConnectionUse = ConnectionUse.Single,
    public val isAnswer: (HeaderFields) -> Boolean = { true },
)

/** Which connection a call may use. */
public sealed interface ConnectionUse {
    /** A new connection that ends with the call. */
    public data object Single : ConnectionUse

    /** A new connection, which later calls may use. */
    public data object Fresh : ConnectionUse

    /** A connection that has been idle for up to [maximumIdle], or else a new one. */
    public data class Kept(val maximumIdle: Duration) : ConnectionUse
}

/** A part of the body of an answer. */
public sealed interface BodyPart {
    public class Bytes(public val bytes: ByteArray) : BodyPart

    /** The body is proved to be whole. */
    public data object End : BodyPart

    /** The connection failed, or the body is not proved to be whole. */
    public class Cut(public val reason: String) : BodyPart
}

/** The body of an answer, read once and in order. */
public fun interface UpstreamBody {
    public suspend fun next(): BodyPart

    /** Allows further parts to wait for a moment until they are handed on together. */
    public fun gather(): Unit = Unit
}

/**
 * The answer of an upstream, whose body is still arriving.
 *
 * @property reason text beside the status
 */
public class UpstreamAnswer(
    public val status: Int,
    public val headers: HeaderFields,
    public val reason: String = "",
    public val body: UpstreamBody,
) {
    /** Returns the first value of the header [name]. */
    public fun header(name: String): String? = headers[name]
}

/** How an exchange with an upstream ended. */
public sealed interface ExchangeResult<out T> {
    /** An answer head arrived, and the receiver returned [value]. */
    public class Answered<T>(public val value: T) : ExchangeResult<T>

    /**
     * No connection came about, so that no byte of the request can have reached the upstream.
     *
     * @property refused whether the VM was reached and refused the connection
     */
    public class NotSent(public val reason: String, public val refused: Boolean = false) : ExchangeResult<Nothing>

    /** The connection failed before an answer head arrived, and bytes of the request may have reached the upstream. */
    public class Broken(public val reason: String) : ExchangeResult<Nothing>

    /** No answer head arrived in time, and bytes of the request may have reached the upstream. */
    public data object TimedOut : ExchangeResult<Nothing>
}

/** Talks to upstreams. Safe to call from any thread. */
public interface UpstreamClient {
    /**
     * Sends [call] at most once and hands the answer to [use] while its body arrives. The connection is closed when
     * this function returns or is cancelled. Exceptions of [use] pass through.
     */
    public suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T>
}
