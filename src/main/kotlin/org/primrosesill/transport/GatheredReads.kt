/*
 * Reads the connections of running streams together at a fixed interval, so that one wake-up of the thread passes on what
 * all streams have brought since the last one. Without it a router wakes up for each event of each stream.
 *
 * Load pattern: many streams whose events are small and arrive every few tens of milliseconds.
 */
package org.primrosesill.transport

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A connection whose arriving bytes can wait for the next common read. */
internal interface GatheredConnection {
    /** Whether arriving bytes are read at once. */
    var reads: Boolean
}

/** Owned by the thread of [eventLoop]. */
internal class GatheredReads(private val eventLoop: EventLoop, private val interval: Duration) {
    private val connections = LinkedHashSet<GatheredConnection>()
    private var timer: ScheduledFuture<*>? = null

    /** Reads [connection] with the others from now on. */
    fun add(connection: GatheredConnection) {
        connections += connection
        if (timer == null) {
            val period = interval.inWholeMicroseconds
            timer = eventLoop.scheduleAtFixedRate(::readAll, period, period, TimeUnit.MICROSECONDS)
        }
    }

    fun remove(connection: GatheredConnection) {
        connections -= connection
        if (connections.isEmpty()) {
            timer?.cancel(false)
            timer = null
        }
    }

    /**
     * Reads what has arrived and nothing that comes later. The second task runs after the event loop has looked at all
     * sockets once.
     */
    private fun readAll() {
        val readable = connections.toList()
        readable.forEach { it.reads = true }
        eventLoop.schedule(
            { readable.filter { it in connections }.forEach { it.reads = false } },
            0,
            TimeUnit.NANOSECONDS,
        )
    }
}
