/*
 * The counters that a router keeps for one upstream: requests in flight, consecutive connection failures for the
 * circuit breaker, and responses that reported it as cold. Updated by traffic threads and kept across snapshots.
 */
package org.primrosesill.routing

import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Consecutive connection failures that open the circuit. */
internal const val FAILURES_TO_OPEN: Int = 3

/** Time for which an open circuit rejects all requests, and the maximum duration of one half-open probe. */
internal const val CIRCUIT_OPEN_MILLIS: Long = 5_000

/**
 * Validity of a response that reported the upstream as cold; by then the control thread has applied it to the snapshot.
 */
internal const val COLD_RESPONSE_EXPIRY_MILLIS: Long = 3_000

/** The state change of the circuit breaker in [UpstreamCounters.recordConnection]. */
internal enum class CircuitChange { NONE, OPENED, CLOSED }

internal class UpstreamCounters(val id: UpstreamId) {
    val inFlight = AtomicInteger()
    private val consecutiveFailures = AtomicInteger()

    /** Time until which requests are rejected, or 0 while the circuit is closed. */
    private val openUntilMillis = AtomicLong()

    @Volatile
    private var coldUntilMillis = 0L

    @Volatile
    var coldConcurrencyLimit: Int = 1
        private set

    fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    fun recordCold(reportedLimit: Int, nowMillis: Long) {
        coldConcurrencyLimit = maxOf(0, reportedLimit)
        coldUntilMillis = nowMillis + COLD_RESPONSE_EXPIRY_MILLIS
    }

    fun isCircuitOpen(nowMillis: Long): Boolean = nowMillis < openUntilMillis.get()

    /** Returns whether the caller may send a request: the circuit is closed, or this is its only half-open probe. */
    fun tryAcquire(nowMillis: Long): Boolean {
        val openUntil = openUntilMillis.get()
        if (openUntil == 0L) return true
        return nowMillis >= openUntil && openUntilMillis.compareAndSet(openUntil, nowMillis + CIRCUIT_OPEN_MILLIS)
    }

    fun recordConnection(succeeded: Boolean, nowMillis: Long): CircuitChange {
        if (succeeded) {
            consecutiveFailures.set(0)
            return if (openUntilMillis.getAndSet(0) == 0L) CircuitChange.NONE else CircuitChange.CLOSED
        }
        if (consecutiveFailures.incrementAndGet() < FAILURES_TO_OPEN) return CircuitChange.NONE
        val before = openUntilMillis.getAndSet(nowMillis + CIRCUIT_OPEN_MILLIS)
        return if (before == 0L) CircuitChange.OPENED else CircuitChange.NONE
    }

    /**
     * Decrements the requests in flight. Not below zero, because an upstream can be removed while a request runs there.
     */
    fun finish() {
        inFlight.updateAndGet { maxOf(0, it - 1) }
    }
}
