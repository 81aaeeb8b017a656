/*
 * Syntax rules for the heads of HTTP messages (RFC 9110 and 9112).
 */
package org.primrosesill.model

private val http1Version = Regex("HTTP/1\\.[0-9]")

/** Returns whether [text] is a version of HTTP/1 (RFC 9112, section 2.3), which is case-sensitive. */
public fun isHttp1Version(text: String): Boolean = http1Version.matches(text)

private val statusCodes = 100..599

/** Returns whether [text] is a status code (RFC 9110, section 15): three digits, in one of the five classes. */
public fun isStatusCode(text: String): Boolean =
    text.length == 3 && text.all { it in '0'..'9' } && text.toInt() in statusCodes

/** Returns whether [text] is a token (RFC 9110, section 5.6.2), as the names of header fields are. */
public fun isToken(text: String): Boolean = text.isNotEmpty() && text.all(::isTokenCharacter)

private fun isTokenCharacter(character: Char): Boolean =
    when (character) {
        in 'a'..'z', in 'A'..'Z', in '0'..'9' -> true
        else -> character in "!#$%&'*+-.^_`|~"
    }
