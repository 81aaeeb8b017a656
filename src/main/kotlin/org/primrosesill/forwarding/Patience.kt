/*
 * How long a request that may run again waits for an upstream that says nothing, before it goes to another one.
 *
 * Load pattern: upstreams that hang, or that are cut off without a sign, while others would answer at once.
 */
package org.primrosesill.forwarding

import org.primrosesill.route.Route
import org.primrosesill.route.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time for the head of an answer, or the first event of a stream. A plain answer varies more than its target says. */
internal fun answerPatience(route: Route): Duration =
    when (route.kind) {
        RouteKind.STREAM -> route.latencyTarget * STREAM_FACTOR
        else -> (route.latencyTarget * PLAIN_FACTOR).coerceAtLeast(MINIMUM_PLAIN)
    }

/** Time between two events of a stream. */
internal fun pausePatience(route: Route): Duration = (route.pauseTarget ?: DEFAULT_PAUSE) * PAUSE_FACTOR

private const val STREAM_FACTOR = 1.5
private const val PLAIN_FACTOR = 2.5
private val MINIMUM_PLAIN = 250.milliseconds
private const val PAUSE_FACTOR = 2
private val DEFAULT_PAUSE = 500.milliseconds
