/*
 * Timeouts after which a request that may be executed again is sent to another upstream, if one can take it.
 *
 * Load pattern: upstreams that hang, or that become unreachable without closing their connections, while others would
 * respond at once.
 */
package org.primrosesill.forwarding

import org.primrosesill.route.Route
import org.primrosesill.route.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Returns the time within which the head of a response, or the first event of a stream, must arrive. Non-streaming
 * responses get a larger factor and a minimum, because their latency varies more around their target.
 */
internal fun responseTimeout(route: Route): Duration =
    when (route.kind) {
        RouteKind.STREAM -> route.latencyTarget * FIRST_EVENT_FACTOR
        else -> (route.latencyTarget * NON_STREAMING_FACTOR).coerceAtLeast(MINIMUM_NON_STREAMING)
    }

/** Returns the maximum time between two events of a stream. */
internal fun streamIdleTimeout(route: Route): Duration =
    (route.eventIntervalTarget ?: DEFAULT_EVENT_INTERVAL_TARGET) * STREAM_IDLE_FACTOR

/** Returns the time that an attempt needs to begin its response. One with less time left is not worth giving up another. */
internal fun minimumAttemptTime(route: Route): Duration = route.latencyTarget

private const val FIRST_EVENT_FACTOR = 1.5
private const val NON_STREAMING_FACTOR = 2.5
private val MINIMUM_NON_STREAMING = 250.milliseconds
private const val STREAM_IDLE_FACTOR = 2
private val DEFAULT_EVENT_INTERVAL_TARGET = 500.milliseconds
