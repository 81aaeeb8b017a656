/*
 * Command-line options whose value is the address of a listener.
 */
package org.primrosesill.command

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.parseSocketAddress

/** Declares an option whose value is an IP address and a port. Port 0 selects any free port. */
internal fun ParameterHolder.addressOption(name: String, help: String): NullableOption<SocketAddress, SocketAddress> =
    option(name, help = help, metavar = "ip:port").convert { text ->
        parseSocketAddress(text).getOrElse { fail(it.toString()) }
    }
