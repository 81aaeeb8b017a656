/*
 * An IP address and port, as in settings and directories.
 */
package org.primrosesill.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right

private const val HIGHEST_PORT = 65_535

/** The address at which a process listens or is reachable. [host] is an IP address without brackets. */
public data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"
}

/** A string that is not an address. */
public data class AddressError(val found: String) {
    override fun toString(): String =
        "'$found' is not an address; allowed is an IP address and a port, as in 127.0.0.1:8080"
}

/**
 * Parses `1.2.3.4:80` or `[::1]:80`. Host names are rejected, because processes connect to each other by IP address.
 */
public fun parseSocketAddress(text: String): Either<AddressError, SocketAddress> {
    val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull()
    val hasIpAddressCharacters = host.isNotEmpty() && host.all { it.isDigit() || it in ".:abcdefABCDEF" }
    return if (hasIpAddressCharacters && port != null && port in 0..HIGHEST_PORT) {
        SocketAddress(host, port).right()
    } else {
        AddressError(text).left()
    }
}
