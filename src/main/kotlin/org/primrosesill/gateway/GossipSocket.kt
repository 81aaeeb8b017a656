/*
 * Datagrams between gateways: what they tell each other all the time, in JSON. A datagram that is lost does no harm, since
 * all that it says is told again; a connection for each pair of gateways would cost more than what it carries.
 */
package org.primrosesill.gateway

import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.http.messageJson
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.firstLine
import org.primrosesill.model.parseSocketAddress
import org.primrosesill.transport.toInetSocketAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.DatagramChannel
import kotlin.concurrent.thread

/**
 * Sends from any thread, and receives on a thread of its own.
 *
 * @param own peer address of this gateway; datagrams use [port] beside its IP number
 */
internal class GossipSocket(
    own: SocketAddress,
    private val port: Int,
    private val events: EventLog,
    private val receive: (ExchangeMessage) -> Unit,
) : AutoCloseable {
    private val channel = DatagramChannel.open().bind(own.copy(port = port).toInetSocketAddress())
    private var refused = 0L

    fun start() {
        thread(isDaemon = true, name = "gossip") { receiveAll() }
    }

    /** Sends [message] to the gateways with the peer addresses [peers]. */
    fun send(peers: Collection<String>, message: ExchangeMessage) {
        if (peers.isEmpty()) return
        val bytes = messageJson.encodeToString(ExchangeMessage.serializer(), message).toByteArray()
        peers.forEach { peer ->
            parseSocketAddress(peer).onRight { send(it.copy(port = port).toInetSocketAddress(), bytes) }
        }
    }

    override fun close() = channel.close()

    private fun send(target: InetSocketAddress, bytes: ByteArray) {
        try {
            channel.send(ByteBuffer.wrap(bytes), target)
        } catch (exception: IOException) {
            // A peer that cannot be reached now is told again in a later round.
            note("a datagram to $target was not sent: $exception")
        }
    }

    private fun receiveAll() {
        val buffer = ByteBuffer.allocate(MAXIMUM_DATAGRAM_BYTES)
        while (channel.isOpen) {
            try {
                buffer.clear()
                channel.receive(buffer)
                buffer.flip()
                val text = Charsets.UTF_8.decode(buffer).toString()
                receive(messageJson.decodeFromString(ExchangeMessage.serializer(), text))
            } catch (_: ClosedChannelException) {
                return
            } catch (exception: IOException) {
                note("a datagram could not be received: $exception")
            } catch (exception: IllegalArgumentException) {
                // Also thrown for values that their types do not allow.
                note("a datagram is not a message of a gateway: ${exception.firstLine()}")
            }
        }
    }

    /** The first fault of each kind of trouble is worth a line, and every hundredth after it. */
    private fun note(cause: String) {
        if (refused++ % NOTED_EVERY == 0L) events.record(EventType.ITEM_REFUSED, "$cause; $refused so far")
    }

    private companion object {
        const val MAXIMUM_DATAGRAM_BYTES = 60_000
        const val NOTED_EVERY = 100L
    }
}
