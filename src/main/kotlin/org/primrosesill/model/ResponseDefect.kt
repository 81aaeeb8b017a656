/*
 * Why bytes that an upstream, a peer or the platform sent are not an HTTP response. The descriptions contain nothing of
 * what was received, so that they can be logged and returned to callers.
 */
package org.primrosesill.model

import java.io.IOException

/** A violation of HTTP (RFC 9110 and 9112) in a response. */
public enum class ResponseDefect(public val description: String) {
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

private val tokenCharacters: Set<Char> =
    buildSet {
        addAll('0'..'9')
        addAll('A'..'Z')
        addAll('a'..'z')
        addAll("!#$%&'*+-.^_`|~".toList())
    }

/** Returns whether [text] is a token (RFC 9110, section 5.6.2), as the names of header fields are. */
public fun isToken(text: String): Boolean = text.isNotEmpty() && text.all { it in tokenCharacters }

private val statusCodes = 100..599

/** Returns whether [text] is a status of HTTP. */
public fun isStatusCode(text: String): Boolean =
    text.length == 3 && text.all { it in '0'..'9' } && text.toInt() in statusCodes
