/*
 * An upstream on a raw socket, which can fail after any byte.
 */
package org.primrosesill.transport

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** One connection of a [RawUpstream]. */
class RawConnection(private val socket: Socket) {
    private val input = socket.getInputStream()

    private companion object {
        const val CLOSE_TO_RESET_MILLIS = 30L
    }

    /** Reads up to [count] bytes and returns them. */
    fun read(count: Int): String = input.readNBytes(count).decodeToString()

    /** Reads up to the empty line after the head, or to the end of the connection. */
    fun readHead(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) break
            head.append(byte.toChar())
        }
        return head.toString()
    }

    /** Reads one complete request and returns its head. */
    fun readRequest(): String = readHead().also { head -> headerOf(head, "content-length")?.let { read(it.toInt()) } }

    fun write(text: String) = socket.getOutputStream().write(text.toByteArray())

    fun close() = socket.close()

    /** Closes the connection in order, after the peer has closed its side or has been silent for a while. */
    fun closeAfterReading() {
        socket.shutdownOutput()
        awaitClosed(timeoutMillis = 100)
        socket.close()
    }

    /** Closes the output in order, and then the connection with a TCP reset. */
    fun closeThenReset() {
        socket.shutdownOutput()
        Thread.sleep(CLOSE_TO_RESET_MILLIS)
        reset()
    }

    /** Closes the connection with a TCP reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Waits until the peer has closed the connection. Returns false after [timeoutMillis]. */
    fun awaitClosed(timeoutMillis: Int = 3_000): Boolean {
        socket.soTimeout = timeoutMillis
        return try {
            while (input.read() >= 0) Unit
            true
        } catch (exception: IOException) {
            exception !is java.net.SocketTimeoutException
        }
    }
}

fun headerOf(head: String, name: String): String? =
    head
        .lines()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(':')
        ?.trim()

/** Runs [script] for each connection and then closes the connection. */
class RawUpstream(private val script: (RawConnection) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    val connections = AtomicInteger()
    val address = "127.0.0.1:${server.localPort}"

    private val acceptor =
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket =
                    try {
                        server.accept()
                    } catch (_: IOException) {
                        break
                    }
                connections.incrementAndGet()
                thread(isDaemon = true) { serve(socket) }
            }
        }

    private fun serve(socket: Socket) =
        socket.use {
            try {
                script(RawConnection(it))
            } catch (_: IOException) {
                // The peer closed the connection first.
            }
        }

    override fun close() {
        server.close()
        acceptor.join()
    }
}
