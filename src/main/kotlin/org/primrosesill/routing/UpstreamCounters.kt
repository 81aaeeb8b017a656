/*
 * What a router itself observes of one upstream: requests in flight, connection failures, and refusals that said it is
 * cold. Updated by traffic threads; it outlives snapshots.
 */
package org.primrosesill.routing

import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Consecutive connection failures that open the circuit. */
internal const val FAILURES_TO_OPEN: Int = 3

/** Time an open circuit lets nothing through, and the longest time that one trial may take. */
internal const val CIRCUIT_OPEN_MILLIS: Long = 5_000

/** A refusal that said cold counts this long, until the control thread has taken it into the snapshot. */
internal const val COLD_REFUSAL_MILLIS: Long = 3_000

/** What [UpstreamCounters.recordConnection] changed. */
internal enum class CircuitChange { NONE, OPENED, CLOSED }

internal class UpstreamCounters(val id: UpstreamId) {
    val inFlight = AtomicInteger()
    private val failures = AtomicInteger()

    /** Time until which nothing is let through, or 0 while the circuit is closed. */
    private val blockedUntilMillis = AtomicLong()

    @Volatile
    private var coldUntilMillis = 0L

    @Volatile
    var coldBears: Int = 1
        private set

    fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    fun recordCold(bears: Int, nowMillis: Long) {
        coldBears = maxOf(0, bears)
        coldUntilMillis = nowMillis + COLD_REFUSAL_MILLIS
    }

    fun isBlocked(nowMillis: Long): Boolean = nowMillis < blockedUntilMillis.get()

    /** Returns true when the caller may send: the circuit is closed, or this is the only trial at present. */
    fun tryPass(nowMillis: Long): Boolean {
        val blocked = blockedUntilMillis.get()
        if (blocked == 0L) return true
        return nowMillis >= blocked && blockedUntilMillis.compareAndSet(blocked, nowMillis + CIRCUIT_OPEN_MILLIS)
    }

    fun recordConnection(succeeded: Boolean, nowMillis: Long): CircuitChange {
        if (succeeded) {
            failures.set(0)
            return if (blockedUntilMillis.getAndSet(0) == 0L) CircuitChange.NONE else CircuitChange.CLOSED
        }
        if (failures.incrementAndGet() < FAILURES_TO_OPEN) return CircuitChange.NONE
        val before = blockedUntilMillis.getAndSet(nowMillis + CIRCUIT_OPEN_MILLIS)
        return if (before == 0L) CircuitChange.OPENED else CircuitChange.NONE
    }

    /** Ends one request. Never below zero, because an upstream can be forgotten while a request runs there. */
    fun finish() {
        inFlight.updateAndGet { maxOf(0, it - 1) }
    }
}
