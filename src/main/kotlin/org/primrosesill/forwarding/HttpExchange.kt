/*
 * A request of a caller that is forwarded unchanged, and the response to it, independent of any HTTP library.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.HeaderFields
import kotlin.time.ComparableTimeMark

/**
 * A request whose body has been received completely.
 *
 * @property target path and query as received, byte for byte
 * @property arrivedAt time at which the head of the request was complete
 */
public class InboundRequest(
    public val method: String,
    public val target: String,
    public val headers: HeaderFields,
    public val body: ByteArray,
    public val arrivedAt: ComparableTimeMark,
) {
    /** The target without its query. */
    public val path: String get() = target.substringBefore('?')
}

/** The status line and header fields of a response, without the fields that frame its body. */
public class ResponseHead(
    public val status: Int,
    public val headers: HeaderFields = HeaderFields(),
    public val reason: String = "",
)

/** Writes the response to one request. Confined to the traffic thread. */
public interface OutboundResponse {
    /** Whether the head of the response has been written. */
    public val started: Boolean

    /** Writes a complete response. */
    public suspend fun respond(head: ResponseHead, body: ByteArray = ByteArray(0))

    /** Writes the head of a response whose body follows in parts. */
    public suspend fun start(head: ResponseHead)

    /** Writes a part of the body, and suspends while the caller does not read (backpressure). */
    public suspend fun write(bytes: ByteArray)

    /** Ends a body that was written in parts. */
    public suspend fun finish()

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    public fun abort()
}

/** Handles requests. A call is cancelled when the caller disconnects. */
public fun interface RequestHandler {
    public suspend fun handle(request: InboundRequest, response: OutboundResponse)
}
