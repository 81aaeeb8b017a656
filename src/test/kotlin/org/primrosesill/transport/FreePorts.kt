/*
 * Ports for listeners of tests.
 */
package org.primrosesill.transport

import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Below the range from which the system takes ports of outgoing connections, one of which could take a port meanwhile. */
private const val FIRST_PORT = 20_000
private const val PORTS = 12_000

private val next = AtomicInteger(Random.nextInt(PORTS))

/** Returns a port on which nobody listens, and which no outgoing connection and no later call takes. */
fun freePort(): Int {
    repeat(PORTS) {
        val port = FIRST_PORT + Math.floorMod(next.getAndIncrement(), PORTS)
        if (isFree(port)) return port
    }
    error("all ports from $FIRST_PORT on are in use")
}

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port).close()
        true
    } catch (_: BindException) {
        false
    }
