/*
 * Ports for listeners in tests.
 */
package org.primrosesill.transport

import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Below the ephemeral port range, so that no outgoing connection can occupy a port before the test binds it. */
private const val FIRST_PORT = 20_000
private const val PORT_COUNT = 12_000

private val nextOffset = AtomicInteger(Random.nextInt(PORT_COUNT))

/** Returns a port that is not in use and that neither outgoing connections nor later calls use. */
fun freePort(): Int {
    repeat(PORT_COUNT) {
        val port = FIRST_PORT + Math.floorMod(nextOffset.getAndIncrement(), PORT_COUNT)
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
