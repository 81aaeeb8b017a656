/*
 * The highest load of an upstream that still leaves its pool balanced.
 */
package org.primrosesill.routing

import kotlin.math.ceil
import kotlin.math.floor

/** Below this mean, a multiple of 1.25 leaves less than one request of room above the mean. */
private const val SMALL_MEAN = 4.0

/**
 * Returns the most requests that one of [count] upstreams may carry when [total] requests run in the pool. An upstream
 * that may carry only a part of its share counts as that part.
 *
 * Requests are whole, so that a bound below the mean plus one would leave no room for the next request. The bound is
 * therefore rounded up below a mean of 4, which is less than one request over the multiple, and rounded down from there.
 */
public fun loadBound(total: Int, count: Double, loadMultiple: Double): Double {
    val mean = total / count
    val exact = loadMultiple * mean
    return if (mean < SMALL_MEAN) ceil(exact) else floor(exact)
}
