/*
 * Connections that wait for their next request. The last one put back is used first, so that the others age and end.
 */
package org.primrosesill.transport

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Owned by the traffic thread. */
internal class IdleConnections(
    private val maximumForAddress: Int,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val byAddress = HashMap<String, ArrayDeque<Idle>>()

    /** Keeps [connection] for up to [limit] as the upstream states it; half of it is used. */
    fun put(address: String, connection: UpstreamConnection, limit: Duration?) {
        val waiting = byAddress.getOrPut(address) { ArrayDeque() }
        waiting.addLast(Idle(connection, timeSource.markNow(), limit?.div(2) ?: Duration.INFINITE))
        if (waiting.size > maximumForAddress) waiting.removeFirst().connection.close()
    }

    /** Returns a connection that was idle for [maximumIdle] at the most, or null. Older ones are closed. */
    fun take(address: String, maximumIdle: Duration): UpstreamConnection? {
        val waiting = byAddress[address] ?: return null
        while (true) {
            val idle = waiting.removeLastOrNull() ?: break
            val age = idle.since.elapsedNow()
            if (idle.connection.isReusable && age <= idle.limit) {
                if (age <= maximumIdle) return idle.connection
                // Another caller may accept its age, and all others are older.
                waiting.addLast(idle)
                return null
            }
            idle.connection.close()
        }
        byAddress.remove(address)
        return null
    }

    private class Idle(val connection: UpstreamConnection, val since: ComparableTimeMark, val limit: Duration)
}
