/*
 * Socket addresses for the network library. Names are never looked up.
 */
package org.primrosesill.transport

import org.primrosesill.model.SocketAddress
import java.net.InetAddress
import java.net.InetSocketAddress

/** Returns the address for the network library; the host is an IP number, so that this needs no lookup. */
internal fun SocketAddress.toInetSocketAddress(): InetSocketAddress =
    InetSocketAddress(InetAddress.getByName(host), port)
