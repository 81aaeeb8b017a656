/*
 * A TCP proxy on loopback that injects faults into the connections through it.
 */
package org.primrosesill.soak

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** The fault that the proxy injects. */
internal enum class ProxyMode {
    NORMAL,

    /** All data is delayed. */
    DELAYED,

    /** Open connections are reset, and new connections are reset after they have been accepted. */
    RESET,

    /** Data to the server is held back until the fault ends. */
    REQUESTS_BLOCKED,

    /** Data from the server is held back until the fault ends. */
    RESPONSES_BLOCKED,

    /** Open connections transfer no more data, even after the fault ends; new connections work normally. */
    STALLED,
}

/** Forwards connections to [targetPort] on loopback. */
internal class FaultyProxy(private val targetPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = ConcurrentHashMap.newKeySet<ProxiedConnection>()
    val address = "127.0.0.1:${server.localPort}"

    @Volatile
    var mode = ProxyMode.NORMAL
        set(value) {
            field = value
            if (value == ProxyMode.RESET) connections.forEach { it.reset() }
            if (value == ProxyMode.STALLED) connections.forEach { it.stalled = true }
        }

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val caller =
                try {
                    server.accept()
                } catch (_: IOException) {
                    return
                }
            thread(isDaemon = true) { open(caller) }
        }
    }

    private fun open(caller: Socket) {
        val upstream =
            try {
                Socket(InetAddress.getLoopbackAddress(), targetPort)
            } catch (_: IOException) {
                return caller.close()
            }
        val connection = ProxiedConnection(caller, upstream)
        connections += connection
        if (mode == ProxyMode.RESET) return connection.reset()
        thread(
            isDaemon = true,
        ) { connection.forward(caller.getInputStream(), upstream.getOutputStream(), ProxyMode.REQUESTS_BLOCKED) }
        connection.forward(upstream.getInputStream(), caller.getOutputStream(), ProxyMode.RESPONSES_BLOCKED)
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private inner class ProxiedConnection(private val caller: Socket, private val upstream: Socket) {
        @Volatile
        var stalled = false

        /** Forwards data until either side closes. [blockedIn] is the mode in which this direction is held back. */
        fun forward(input: InputStream, output: OutputStream, blockedIn: ProxyMode) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = input.read(buffer)
                    while (stalled || mode == blockedIn) Thread.sleep(POLL_MILLIS)
                    if (count < 0) break
                    if (mode == ProxyMode.DELAYED) Thread.sleep(DELAY_MILLIS)
                    output.write(buffer, 0, count)
                }
            } catch (_: IOException) {
                // One side was closed or reset, so both are closed.
            }
            close()
        }

        fun reset() {
            listOf(caller, upstream).forEach { it.setSoLinger(true, 0) }
            close()
        }

        fun close() {
            connections -= this
            caller.close()
            upstream.close()
        }
    }

    private companion object {
        const val BACKLOG = 256
        const val BUFFER_BYTES = 16 * 1024
        const val DELAY_MILLIS = 150L
        const val POLL_MILLIS = 10L
    }
}
