/*
 * The events in which a connection to an upstream reports a response.
 */
package org.primrosesill.transport

import io.netty.handler.codec.http.HttpResponse
import org.primrosesill.model.ResponseDefect

/** An event in the reception of a response. */
internal sealed interface ResponseEvent {
    /** [framed] is false if only the close of the connection will mark the end of the body. */
    class Head(val response: HttpResponse, val framed: Boolean) : ResponseEvent

    class Body(val bytes: ByteArray) : ResponseEvent

    /** The response ended. [framed] is false if only the close of the connection marked the end. */
    class End(val framed: Boolean) : ResponseEvent

    /** The connection failed before the response ended. */
    open class Failed(val reason: String) : ResponseEvent

    /** The received bytes are not a response. */
    class Malformed(val defect: ResponseDefect) : Failed("$defect")
}
