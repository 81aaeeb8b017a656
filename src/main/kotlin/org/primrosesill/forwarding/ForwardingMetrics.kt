/*
 * What the path of a request counts.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.PoolId
import kotlin.time.Duration

/** Safe to use from any thread. */
public interface ForwardingMetrics {
    /** Counts a request that ended with [result] after [duration]. [pool] is null when it never got as far. */
    public fun finished(pool: PoolId?, result: String, duration: Duration)

    /** Counts the time from the arrival of a request to the first byte of its answer. */
    public fun answered(pool: PoolId, delay: Duration)

    /** Counts an attempt at an upstream. */
    public fun attempted(pool: PoolId, result: String)
}

/** Counts nothing. */
public object NoForwardingMetrics : ForwardingMetrics {
    override fun finished(pool: PoolId?, result: String, duration: Duration): Unit = Unit

    override fun answered(pool: PoolId, delay: Duration): Unit = Unit

    override fun attempted(pool: PoolId, result: String): Unit = Unit
}
