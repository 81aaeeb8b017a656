/*
 * A proxy on loopback that harms the connections which run through it.
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

/** What happens to connections. */
internal enum class LinkMode {
    GOOD,

    /** All bytes are late. */
    DELAYED,

    /** Open connections are reset, and new ones as soon as they are accepted. */
    RESET,

    /** Bytes to the server wait until the fault is over. */
    REQUESTS_HELD,

    /** Bytes from the server wait until the fault is over. */
    ANSWERS_HELD,

    /** Open connections pass nothing any more, also after the fault; new ones work. */
    SILENCED,
}

/** Passes connections on to the port of [target] on loopback. */
internal class FaultyProxy(private val target: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links = ConcurrentHashMap.newKeySet<Link>()
    val address = "127.0.0.1:${server.localPort}"

    @Volatile
    var mode = LinkMode.GOOD
        set(value) {
            field = value
            if (value == LinkMode.RESET) links.forEach { it.reset() }
            if (value == LinkMode.SILENCED) links.forEach { it.silenced = true }
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
                Socket(InetAddress.getLoopbackAddress(), target)
            } catch (_: IOException) {
                return caller.close()
            }
        val link = Link(caller, upstream)
        links += link
        if (mode == LinkMode.RESET) return link.reset()
        thread(
            isDaemon = true,
        ) { link.pump(caller.getInputStream(), upstream.getOutputStream(), LinkMode.REQUESTS_HELD) }
        link.pump(upstream.getInputStream(), caller.getOutputStream(), LinkMode.ANSWERS_HELD)
    }

    override fun close() {
        server.close()
        links.forEach { it.close() }
    }

    private inner class Link(private val caller: Socket, private val upstream: Socket) {
        @Volatile
        var silenced = false

        /** Passes bytes on until one side ends; [heldIn] is the mode in which this direction waits. */
        fun pump(input: InputStream, output: OutputStream, heldIn: LinkMode) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = input.read(buffer)
                    while (silenced || mode == heldIn) Thread.sleep(POLL_MILLIS)
                    if (count < 0) break
                    if (mode == LinkMode.DELAYED) Thread.sleep(DELAY_MILLIS)
                    output.write(buffer, 0, count)
                }
            } catch (_: IOException) {
                // The other side is gone, and the same is done to this one.
            }
            close()
        }

        fun reset() {
            listOf(caller, upstream).forEach { it.setSoLinger(true, 0) }
            close()
        }

        fun close() {
            links -= this
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
