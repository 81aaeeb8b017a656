/*
 * How fast upstreams work at present.
 */
package org.primrosesill.load

import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId

/** The speeds of upstreams. Implementations are thread-safe. */
public interface UpstreamSpeeds {
    /** Returns the time that work takes at [upstream] at present, relative to the usual time; 1 if nothing is known. */
    public fun slowness(upstream: UpstreamId): Double

    /** Returns the prompt tokens that an engine of [pool] prefills in a millisecond. */
    public fun prefillTokensPerMillisecond(pool: PoolId): Double
}

/** Every upstream works at the usual speed. */
public object UsualSpeeds : UpstreamSpeeds {
    override fun slowness(upstream: UpstreamId): Double = 1.0

    override fun prefillTokensPerMillisecond(pool: PoolId): Double = DEFAULT_PREFILL_TOKENS_PER_MILLISECOND
}

/** Rate that is assumed for the engines of a pool until it has been measured. */
public const val DEFAULT_PREFILL_TOKENS_PER_MILLISECOND: Double = 35.0
