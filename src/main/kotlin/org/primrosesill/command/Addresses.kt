/*
 * Options that hold the address of a listener.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option

/** An IP number and a port. Port 0 means any free port. */
internal data class ListenAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

private const val HIGHEST_PORT = 65_535

/** Parses `IP:port`, with an IPv6 number in brackets, or returns null. */
internal fun parseAddress(text: String): ListenAddress? {
    val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in 0..HIGHEST_PORT) null else ListenAddress(host, port)
}

/** An option with an IP number and a port. */
internal fun ParameterHolder.addressOption(name: String, help: String): NullableOption<ListenAddress, ListenAddress> =
    option(name, help = help, metavar = "ip:port").convert {
        parseAddress(it) ?: fail("'$it' is not of the form 127.0.0.1:8080")
    }
