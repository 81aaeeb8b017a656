/*
 * Why bytes that an upstream, a peer or the platform sent are not an HTTP response. The descriptions contain nothing of
 * what was received, so that they can be logged and returned to callers.
 */
package org.primrosesill.model

import java.io.IOException

/** A violation of HTTP (RFC 9110 and 9112) in a response. */
public enum class ResponseDefect(public val description: String) {
    VERSION("the protocol version is not HTTP/1"),
    STATUS("the status is not three digits from 100 to 599"),
    FIELD_NAME("the name of a header field is not a token"),
    FRAMING("the length of the body is ambiguous"),
    OTHER_HEAD("the head cannot be parsed"),
    BODY("the body cannot be parsed"),
    ;

    override fun toString(): String = "malformed response: $description"
}

/** Thrown where a response with [defect] is parsed. */
public class MalformedResponseException(public val defect: ResponseDefect) : IOException(defect.toString())
