/*
 * Syntax rules for the heads of HTTP messages (RFC 9110).
 */
package org.primrosesill.model

private val statusCodes = 100..599

/** Returns whether [text] is a status code: three digits, in one of the five classes that HTTP defines (section 15). */
public fun isStatusCode(text: String): Boolean =
    text.length == 3 && text.all { it in '0'..'9' } && text.toInt() in statusCodes

/** Returns whether [text] is a token (section 5.6.2), as the names of header fields are. */
public fun isToken(text: String): Boolean = text.isNotEmpty() && text.all(::isTokenCharacter)

private fun isTokenCharacter(character: Char): Boolean =
    when (character) {
        in 'a'..'z', in 'A'..'Z', in '0'..'9' -> true
        else -> character in "!#$%&'*+-.^_`|~"
    }
