/*
 * Pool of idle connections. The most recently released connection is reused first (LIFO), so that surplus connections
 * reach their age limit and are closed.
 */
package org.primrosesill.transport

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Confined to the traffic thread. */
internal class IdleConnections(
    private val maximumPerAddress: Int,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val byAddress = HashMap<String, ArrayDeque<Idle>>()

    /**
     * Adds [connection] to the pool and closes the oldest connection when more than [maximumPerAddress] are idle.
     *
     * @param keepAliveTimeout idle timeout that the upstream announced, or null for none. Only half of it is used, so
     *     that no request is sent on a connection that the upstream is about to close.
     */
    fun release(address: String, connection: UpstreamConnection, keepAliveTimeout: Duration?) {
        val pool = byAddress.getOrPut(address) { ArrayDeque() }
        pool.addLast(Idle(connection, timeSource.markNow(), keepAliveTimeout?.div(2) ?: Duration.INFINITE))
        if (pool.size > maximumPerAddress) pool.removeFirst().connection.close()
    }

    /** Returns a connection idle for at most [maximumIdle], or null. Closes the expired connections that it checks. */
    fun acquire(address: String, maximumIdle: Duration): UpstreamConnection? {
        val pool = byAddress[address] ?: return null
        while (true) {
            val idle = pool.removeLastOrNull() ?: break
            val age = idle.since.elapsedNow()
            if (idle.connection.isReusable && age <= idle.maximumAge) {
                if (age <= maximumIdle) return idle.connection
                // Another call may allow a longer idle time; all other connections have been idle for longer.
                pool.addLast(idle)
                return null
            }
            idle.connection.close()
        }
        byAddress.remove(address)
        return null
    }

    private class Idle(val connection: UpstreamConnection, val since: ComparableTimeMark, val maximumAge: Duration)
}
