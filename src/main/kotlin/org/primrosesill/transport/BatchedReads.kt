/*
 * Reads the connections of active streams together at a fixed interval, so that one wake-up of the event loop forwards
 * the events that all streams received since the last one. Without batching, each event of each stream causes a wake-up
 * of the event loop.
 *
 * Intended for many streams with small events that arrive every few tens of milliseconds.
 */
package org.primrosesill.transport

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A connection whose input can be delayed until the next batched read. */
internal interface BatchedConnection {
    /** Whether input is read as soon as it arrives. */
    var autoRead: Boolean
}

/** Confined to the thread of [eventLoop]. */
internal class BatchedReads(private val eventLoop: EventLoop, private val interval: Duration) {
    private val connections = LinkedHashSet<BatchedConnection>()
    private var timer: ScheduledFuture<*>? = null

    /** Includes [connection] in the batched reads. */
    fun add(connection: BatchedConnection) {
        connections += connection
        if (timer == null) {
            val period = interval.inWholeMicroseconds
            timer = eventLoop.scheduleAtFixedRate(::readAll, period, period, TimeUnit.MICROSECONDS)
        }
    }

    fun remove(connection: BatchedConnection) {
        connections -= connection
        if (connections.isEmpty()) {
            timer?.cancel(false)
            timer = null
        }
    }

    /**
     * Reads the input that has already arrived, but none that arrives later: the scheduled task runs after the event
     * loop has polled all sockets once.
     */
    private fun readAll() {
        val batch = connections.toList()
        batch.forEach { it.autoRead = true }
        eventLoop.schedule(
            { batch.filter { it in connections }.forEach { it.autoRead = false } },
            0,
            TimeUnit.NANOSECONDS,
        )
    }
}
