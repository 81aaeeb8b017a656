/*
 * Gossip between gateways over UDP, in JSON. A lost datagram is not sent again, as later rounds repeat its content; a
 * connection for each pair of gateways would cost more than the data that it carries.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.concurrent.launchWithRestart
import org.primrosesill.concurrent.reportIfPossible
import org.primrosesill.event.EventLog
import org.primrosesill.event.faultReporter
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
 * Sends from any thread, and receives on a dedicated thread. Messages that arrive faster than they are handled replace the
 * oldest ones that wait, as later rounds repeat the content of every message.
 *
 * @param ownAddress peer address of this gateway; datagrams use its IP address and [port]
 * @param port gossip port of all gateways
 * @param scope handles the messages, one at a time
 */
internal class GossipSocket(
    ownAddress: SocketAddress,
    private val port: Int,
    private val events: EventLog,
    private val scope: CoroutineScope,
    private val reporter: ExceptionReporter = faultReporter(events),
    private val onMessage: (ExchangeMessage) -> Unit,
) : AutoCloseable {
    private val channel = DatagramChannel.open().bind(ownAddress.copy(port = port).toInetSocketAddress())
    private val received = Channel<ExchangeMessage>(MAXIMUM_WAITING_MESSAGES, BufferOverflow.DROP_OLDEST)
    private var faults = 0L
    private var receiver: Thread? = null

    /** Starts receiving. */
    fun start() {
        scope.launchWithRestart(reporter) { for (message in received) scope.launch { onMessage(message) }.join() }
        receiver = thread(isDaemon = true, name = "gossip") { receiveAll() }
    }

    /** Sends [message] to the gateways with the peer addresses [peers]. */
    fun send(peers: Collection<String>, message: ExchangeMessage) {
        if (peers.isEmpty()) return
        val bytes = messageJson.encodeToString(ExchangeMessage.serializer(), message).toByteArray()
        peers.forEach { peer ->
            parseSocketAddress(peer).onRight { send(it.copy(port = port).toInetSocketAddress(), bytes) }
        }
    }

    /** Releases the port, which a thread that is still within a receive call would hold. */
    override fun close() {
        channel.close()
        receiver?.join(RECEIVER_END_MILLIS)
    }

    private fun send(target: InetSocketAddress, bytes: ByteArray) {
        try {
            channel.send(ByteBuffer.wrap(bytes), target)
        } catch (exception: IOException) {
            // Not retried: later rounds send to the peer again.
            recordFault("sending a datagram to $target failed: $exception")
        }
    }

    private fun receiveAll() {
        val buffer = ByteBuffer.allocate(MAXIMUM_DATAGRAM_BYTES)
        while (channel.isOpen) {
            try {
                received.trySend(receiveMessage(buffer))
            } catch (_: ClosedChannelException) {
                return
            } catch (exception: IOException) {
                recordFault("receiving a datagram failed: $exception")
            } catch (exception: IllegalArgumentException) {
                // Thrown for malformed JSON and for values that their types do not allow.
                recordFault("received datagram is not an exchange message: ${exception.firstLine()}")
            } catch (
                @Suppress("TooGenericExceptionCaught") failure: Throwable,
            ) {
                // Without this thread the gateway would no longer receive from its peers.
                reporter.reportIfPossible(failure)
            }
        }
    }

    private fun receiveMessage(buffer: ByteBuffer): ExchangeMessage {
        buffer.clear()
        channel.receive(buffer)
        buffer.flip()
        val text = Charsets.UTF_8.decode(buffer).toString()
        return messageJson.decodeFromString(ExchangeMessage.serializer(), text)
    }

    /** Records the first fault and every hundredth after it. */
    private fun recordFault(cause: String) {
        if (faults++ % FAULTS_PER_EVENT == 0L) events.record(EventType.ITEM_REFUSED, "$cause; $faults faults so far")
    }

    private companion object {
        const val MAXIMUM_DATAGRAM_BYTES = 60_000

        /** A closed channel ends the receive call at once; bounds the wait on a machine that does not schedule the thread. */
        const val RECEIVER_END_MILLIS = 1_000L

        /** A few messages for each of the peers that send in one round. */
        const val MAXIMUM_WAITING_MESSAGES = 128
        const val FAULTS_PER_EVENT = 100L
    }
}
