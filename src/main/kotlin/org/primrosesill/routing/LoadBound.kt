/*
 * The load bound of consistent hashing with bounded loads: the highest load of an upstream in a balanced pool.
 */
package org.primrosesill.routing

import kotlin.math.ceil
import kotlin.math.floor

/** Below this mean, a multiple of 1.25 leaves capacity for less than one request above the mean. */
private const val SMALL_MEAN = 4.0

/**
 * Returns the maximum number of concurrent requests at one of [count] upstreams when [total] requests are in flight in
 * the pool. An upstream that is limited to a fraction of its share counts as that fraction.
 *
 * Requests are whole, so a bound below the mean plus one would leave no capacity for the next request. The bound is
 * therefore rounded up below a mean of 4, which adds less than one request to the multiple, and rounded down above.
 */
public fun loadBound(total: Int, count: Double, loadMultiple: Double): Double {
    val mean = total / count
    val exact = loadMultiple * mean
    return if (mean < SMALL_MEAN) ceil(exact) else floor(exact)
}
