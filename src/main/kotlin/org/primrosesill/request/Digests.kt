/*
 * Digests of credentials and of requests.
 */
package org.primrosesill.request

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 of a bearer token in lower-case hexadecimal, the form that contracts store. */
internal fun credentialHash(token: String): String = hex(sha256().digest(token.toByteArray()))

/** Returns the SHA-256 of method, path and body in hexadecimal. Method and path contain no line feed, the separator. */
internal fun requestDigest(method: String, path: String, body: ByteArray): String {
    val digest = sha256()
    digest.update("$method\n$path\n".toByteArray())
    return hex(digest.digest(body))
}

private fun sha256() = MessageDigest.getInstance("SHA-256")

private fun hex(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)
