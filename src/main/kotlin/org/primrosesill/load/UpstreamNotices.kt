/*
 * Notices that upstreams send with their responses: that they are leaving and should get no new requests, that they
 * should get none for some time, or that they are full. Each router applies the notices that it receives itself, regardless of the directory.
 *
 * Load patterns: upstreams that are replaced under load send the notice before the directory lists them as leaving;
 * upstreams at capacity reject requests, and without a pause routers would send them these requests again.
 */
package org.primrosesill.load

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Confined to the traffic thread.
 *
 * @param drainMillis how long a leaving upstream drains; in the first part of this time it may still get new requests
 * @param nowMillis a monotonic clock
 */
public class UpstreamNotices(private val drainMillis: () -> Long, private val nowMillis: () -> Long) {
    private val leavingSinceMillis = HashMap<Incarnation, Long>()
    private val pausedUntilMillis = HashMap<Incarnation, Long>()
    private val fullAtMillis = HashMap<UpstreamId, Long>()

    /** Records that [upstream] is leaving, and returns whether this is its first notice. */
    public fun recordLeaving(upstream: KnownUpstream): Boolean {
        leavingSinceMillis.values.removeIf { it < nowMillis() - LEAVING_EXPIRY_MILLIS }
        return leavingSinceMillis.putIfAbsent(upstream.incarnation, nowMillis()) == null
    }

    /** Records that [upstream] has requested that this router send it no requests for [pause]. */
    public fun recordPause(upstream: KnownUpstream, pause: Duration) {
        pausedUntilMillis.values.removeIf { it <= nowMillis() }
        val until = nowMillis() + pause.coerceAtMost(MAXIMUM_PAUSE).inWholeMilliseconds
        pausedUntilMillis.merge(upstream.incarnation, until, ::maxOf)
    }

    /** Records that [upstream] has rejected a request as it was full. */
    public fun recordFull(upstream: KnownUpstream) {
        fullAtMillis.values.removeIf { nowMillis() - it >= FULL_RETENTION_MILLIS }
        fullAtMillis[upstream.id] = nowMillis()
    }

    /**
     * Returns the upstreams that have rejected a request as they were full within [FULL_EXPIRY_MILLIS], or that were asked since
     * and have not responded.
     */
    public fun fullUpstreams(): Set<UpstreamId> {
        if (fullAtMillis.isEmpty()) return emptySet()
        return fullAtMillis.filterValues { nowMillis() - it < FULL_EXPIRY_MILLIS }.keys
    }

    /** Records that a request is sent to [upstream]. Returns whether its result shows if the upstream is still full. */
    public fun recordProbe(upstream: UpstreamId): Boolean = fullAtMillis.replace(upstream, nowMillis()) != null

    /** Records that [upstream] serves the request that probed it. */
    public fun recordAccepted(upstream: UpstreamId) {
        fullAtMillis.remove(upstream)
    }

    /**
     * Returns those of [upstreams] that may get a new request. Leaving upstreams are included only if all others are paused
     * or leaving, and only in the first part of their drain time, since a request may take a while to arrive.
     */
    public fun accepting(upstreams: List<KnownUpstream>): List<KnownUpstream> {
        if (leavingSinceMillis.isEmpty() && pausedUntilMillis.isEmpty()) return upstreams
        val unpaused = upstreams.filter { remainingPauseMillis(it) <= 0 }
        val staying = unpaused.filter { it.incarnation !in leavingSinceMillis }
        return staying.ifEmpty { unpaused.filter { leavingForMillis(it) < drainMillis() / LAST_RESORT_DIVISOR } }
    }

    /** Returns the time until the first pause among [upstreams] ends, or null if none of them is paused. */
    public fun shortestPause(upstreams: List<KnownUpstream>): Duration? =
        upstreams
            .map(::remainingPauseMillis)
            .filter { it > 0 }
            .minOrNull()
            ?.milliseconds

    private fun remainingPauseMillis(upstream: KnownUpstream): Long =
        (pausedUntilMillis[upstream.incarnation] ?: 0) - nowMillis()

    private fun leavingForMillis(upstream: KnownUpstream): Long =
        nowMillis() - (leavingSinceMillis[upstream.incarnation] ?: nowMillis())

    private companion object {
        /** Longer than any upstream takes to leave. */
        const val LEAVING_EXPIRY_MILLIS = 600_000L

        /** A full upstream frees a slot about as often as one of its streams ends. */
        const val FULL_EXPIRY_MILLIS = 500L

        /** Time after which an upstream that was full is no longer probed by one request at a time. */
        const val FULL_RETENTION_MILLIS = 5_000L

        /** A longer pause is treated as a fault of the upstream, which would otherwise never get requests again. */
        val MAXIMUM_PAUSE = 600_000.milliseconds

        /** A leaving upstream is a last resort until its drain time divided by this has passed. */
        const val LAST_RESORT_DIVISOR = 2
    }
}

/** One run of an upstream. An upstream may restart under the same id, and notices of its previous run do not apply then. */
private data class Incarnation(val id: String, val startedAtMillis: Long?)

private val KnownUpstream.incarnation get() = Incarnation(id.value, registration.startedAtMillis)
