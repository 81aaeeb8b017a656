/*
 * The routes that operators publish: which requests go to which pool, and how they may be handled.
 */
package org.primrosesill.route

import org.primrosesill.model.PoolId
import kotlin.time.Duration

/** Whether requests may be repeated, and in which form the response is sent. */
public enum class RouteKind {
    /** Idempotent: a request may be executed more than once. */
    IDEMPOTENT,

    /** A request may be executed at most once. */
    NON_IDEMPOTENT,

    /** The response is an event stream. A request may be executed at most once, unless its route is resumable. */
    STREAM,
}

/** One pool that serves a route, and its weight among all targets of the route. */
public data class RouteTarget(public val pool: PoolId, public val weight: Int)

/**
 * One route.
 *
 * @property host value of the Host header, in lower case and without a port
 * @property pathPrefix begins and ends with a slash
 * @property timeout time from the arrival of a request within which its caller gets a final response
 * @property latencyTarget time to the response, or to the first event of a stream, within which a request counts as on time
 * @property priority 0 is the highest
 * @property targets at least one
 * @property maximumAttempts maximum number of upstreams to which one request may be sent
 * @property anonymous whether requests are accepted without a credential
 * @property promptCached whether requests list the parts of their prompts, which upstreams cache
 * @property resumable whether a stream may be resumed at another upstream
 * @property eventIntervalTarget for streams, longest time between events that counts as on time
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val latencyTarget: Duration,
    val priority: Int,
    val targets: List<RouteTarget>,
    val maximumAttempts: Int,
    val anonymous: Boolean,
    val promptCached: Boolean,
    val resumable: Boolean,
    val eventIntervalTarget: Duration?,
) {
    /** Whether a request may be executed again after an attempt whose outcome is unknown. */
    val idempotent: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable)
}
