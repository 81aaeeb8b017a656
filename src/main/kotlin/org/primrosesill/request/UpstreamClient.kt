/*
 * The interface of the HTTP client for upstreams. Its results distinguish the cases on which the at-most-once rules
 * depend: nothing was sent, something may have been sent, or a response head arrived.
 */
package org.primrosesill.request

import org.primrosesill.model.HeaderFields
import org.primrosesill.model.ResponseDefect
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * One request to an upstream.
 *
 * @property address IP address and port
 * @property path path and query, percent-encoded
 * @property requestId id of the request, unique for each call that may be executed
 * @property headers all header fields except Host, Content-Length and Connection, which the client sets
 * @property timeout time within which the response head must arrive
 * @property host value of the Host header
 * @property matchHead decides whether a response with the given header fields belongs to this call
 * @property onSent called when the request is sent, after a connection was established
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
    public val connection: ConnectionUse = ConnectionUse.NonPersistent,
    public val matchHead: (HeaderFields) -> HeadMatch = { HeadMatch.THIS_CALL },
    public val onSent: () -> Unit = {},
)

/** Whether a response belongs to a call. */
public enum class HeadMatch {
    THIS_CALL,

    /** A late response to an earlier request on a reused connection. It is read to its end and dropped. */
    OTHER_CALL,

    /** The response does not state its request. On a reused connection it may be a late one, so that the call fails. */
    UNKNOWN,
}

/** The connection that a call may use. */
public sealed interface ConnectionUse {
    /** A new connection that is closed after the call. */
    public data object NonPersistent : ConnectionUse

    /** A new connection that later calls may reuse. */
    public data object NewPersistent : ConnectionUse

    /** A pooled connection that has been idle for at most [maximumIdle], or else a new one. */
    public data class Pooled(val maximumIdle: Duration) : ConnectionUse
}

/** A part of a response body, or its end. */
public sealed interface BodyPart {
    public class Bytes(public val bytes: ByteArray) : BodyPart

    /** The body is known to be complete. */
    public data object End : BodyPart

    /** The connection failed, or the body is not known to be complete. */
    public class Truncated(public val reason: String) : BodyPart
}

/** A response body, which is read once and in order. */
public fun interface UpstreamBody {
    public suspend fun next(): BodyPart

    /** Allows the client to delay further parts briefly and to return them as one part. */
    public fun allowBatching(): Unit = Unit
}

/**
 * The response of an upstream, whose body is still arriving.
 *
 * @property reason reason phrase of the status line
 * @property closeDelimited whether the body has neither a length nor chunks, so that it ends when its connection is closed
 */
public class UpstreamResponse(
    public val status: Int,
    public val headers: HeaderFields,
    public val reason: String = "",
    public val closeDelimited: Boolean = false,
    public val body: UpstreamBody,
) {
    /** Returns the first value of the header [name]. */
    public fun header(name: String): String? = headers[name]
}

/** How an exchange with an upstream ended. */
public sealed interface ExchangeResult<out T> {
    /** A response head arrived, and the response handler returned [value]. */
    public class Responded<T>(public val value: T) : ExchangeResult<T>

    /**
     * No connection was established, so no byte of the request can have reached the upstream.
     *
     * @property refused whether the VM was reachable and refused the connection
     */
    public class NotSent(public val reason: String, public val refused: Boolean = false) : ExchangeResult<Nothing>

    /** The connection failed before a response head arrived, and bytes of the request may have reached the upstream. */
    public open class ConnectionFailed(public val reason: String) : ExchangeResult<Nothing>

    /** What arrived is not the head of a response, so that the client closed the connection. */
    public class MalformedResponse(public val defect: ResponseDefect) : ConnectionFailed("$defect")

    /** No response head arrived in time, and bytes of the request may have reached the upstream. */
    public data object TimedOut : ExchangeResult<Nothing>
}

/** Sends requests to upstreams. Thread-safe. */
public interface UpstreamClient {
    /**
     * Sends [call] at most once and calls [use] with the response while its body arrives. The connection is closed when
     * this function returns or is cancelled. Exceptions that [use] throws are rethrown.
     */
    public suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T>
}
