/*
 * Conversion to the JDK's socket addresses. Host names are never resolved.
 */
package org.primrosesill.transport

import org.primrosesill.model.SocketAddress
import java.net.InetAddress
import java.net.InetSocketAddress

/** Converts to an [InetSocketAddress]. The host is an IP address, so that no name lookup takes place. */
internal fun SocketAddress.toInetSocketAddress(): InetSocketAddress =
    InetSocketAddress(InetAddress.getByName(host), port)
