/*
 * The routes that operators publish: which requests go to which pool, and what may be done with them on the way.
 */
package org.primrosesill.route

import org.primrosesill.model.PoolId
import kotlin.time.Duration

/** What may be repeated, and how an answer comes. */
public enum class RouteKind {
    /** Idempotent: a request may run more than once. */
    SAFE,

    /** A request may run once at the most. */
    UNSAFE,

    /** The answer is a stream of events. A request may run once at the most, unless its route is resumable. */
    STREAM,
}

/** One pool that serves a route, and its share of the requests among all targets of the route. */
public data class RouteTarget(public val pool: PoolId, public val weight: Int)

/**
 * One route.
 *
 * @property host value of the Host field, in lower case and without a port
 * @property pathPrefix begins and ends with a slash
 * @property timeout time from the arrival of a request after which its caller gets a final answer
 * @property latencyTarget time to the answer, or to the first event, that counts as in time
 * @property priority 0 is the most urgent
 * @property targets at least one
 * @property maximumAttempts upstreams to which one request may be sent
 * @property anonymous whether requests need no credential
 * @property promptCached whether requests name the parts of their prompts, which upstreams cache
 * @property resumable whether a stream may go on at another upstream
 * @property pauseTarget longest pause between events that counts as in time, for streams
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
    val pauseTarget: Duration?,
) {
    /** Whether a request may run again after an attempt whose outcome is unknown. */
    val idempotent: Boolean get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable)
}
