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
    return if ((isIpv4Address(host) || isIpv6Address(host)) && port != null && port in 0..HIGHEST_PORT) {
        SocketAddress(host, port).right()
    } else {
        AddressError(text).left()
    }
}

private fun isIpv4Address(host: String): Boolean {
    val octets = host.split('.')
    return octets.size == IPV4_OCTETS && octets.all { octetPattern.matches(it) && it.toInt() <= HIGHEST_OCTET }
}

/** Returns whether [host] has the form of an IPv6 address, with at most one gap; an embedded IPv4 address is not accepted. */
private fun isIpv6Address(host: String): Boolean {
    val gaps = host.split("::")
    if (gaps.size > 2) return false
    val groups = gaps.filter { it.isNotEmpty() }.flatMap { it.split(':') }
    val hasAllGroups = if (gaps.size == 2) groups.size < IPV6_GROUPS else groups.size == IPV6_GROUPS
    return hasAllGroups && groups.all(ipv6GroupPattern::matches)
}

private const val IPV4_OCTETS = 4
private const val HIGHEST_OCTET = 255
private const val IPV6_GROUPS = 8
private val octetPattern = Regex("[0-9]{1,3}")
private val ipv6GroupPattern = Regex("[0-9a-fA-F]{1,4}")
