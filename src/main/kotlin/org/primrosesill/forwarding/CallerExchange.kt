/*
 * One request of a caller that is passed on as it is, and the one answer to it, apart from any HTTP library.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.HeaderFields
import kotlin.time.ComparableTimeMark

/**
 * A whole request.
 *
 * @property target path and query as received, byte for byte
 * @property arrivedAt when its head had arrived
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

/** The head of an answer, without the fields that frame its body. */
public class OutboundHead(
    public val status: Int,
    public val headers: HeaderFields = HeaderFields(),
    public val reason: String = "",
)

/** Takes the answer to one request. Used on the traffic thread. */
public interface OutboundAnswer {
    /** Whether the head of the answer has been written. */
    public val started: Boolean

    /** Answers with a body that is known as a whole. */
    public suspend fun respond(head: OutboundHead, body: ByteArray = ByteArray(0))

    /** Writes the head of an answer whose body follows in parts. */
    public suspend fun start(head: OutboundHead)

    /** Writes a part of the body, and waits while the caller takes no more. */
    public suspend fun write(bytes: ByteArray)

    /** Ends a body that was written in parts. */
    public suspend fun finish()

    /** Closes the connection, so that the caller sees that the answer is not whole. */
    public fun abort()
}

/** Serves requests. Cancellation means that the caller has left. */
public fun interface RequestHandler {
    public suspend fun handle(request: InboundRequest, answer: OutboundAnswer)
}
