/*
 * Metrics of request forwarding.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.PoolId
import kotlin.time.Duration

/** Implementations are safe to use from any thread. */
public interface ForwardingMetrics {
    /**
     * Records a request that ended with [result] after [duration]. [pool] is null when the request was rejected before
     * a pool was selected.
     */
    public fun finished(pool: PoolId?, result: String, duration: Duration)

    /** Records the time from the arrival of a request to the first byte of its response. */
    public fun responseStarted(pool: PoolId, delay: Duration)

    /** Counts an attempt at an upstream. */
    public fun attempted(pool: PoolId, result: String)

    /** Counts a request of [priority] that was admitted to a pool of engines or refused. */
    public fun admissionDecided(pool: PoolId, priority: Int, result: String)

    /** Counts a response with a report of its upstream's load. */
    public fun loadReported(isReadable: Boolean)
}

/** Records nothing. */
public object NoForwardingMetrics : ForwardingMetrics {
    override fun finished(pool: PoolId?, result: String, duration: Duration): Unit = Unit

    override fun responseStarted(pool: PoolId, delay: Duration): Unit = Unit

    override fun attempted(pool: PoolId, result: String): Unit = Unit

    override fun admissionDecided(pool: PoolId, priority: Int, result: String): Unit = Unit

    override fun loadReported(isReadable: Boolean): Unit = Unit
}
