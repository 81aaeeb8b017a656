/*
 * What upstreams have asked of this router in their answers: to get nothing new, because they are leaving, or nothing for a
 * while. Each router follows what it was told itself, whatever the directory says.
 *
 * Load patterns: upstreams that are replaced under load say so in answers before the directory does; full upstreams turn
 * requests away and would get all of them again.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Owned by the traffic thread.
 *
 * @param drainMillis how long an upstream that says that it is leaving may still get new requests
 * @param nowMillis a steady clock
 */
public class UpstreamNotices(private val drainMillis: () -> Long, private val nowMillis: () -> Long) {
    private val leaving = HashMap<Incarnation, Long>()
    private val paused = HashMap<Incarnation, Long>()

    /** Records that [upstream] says that it is leaving, and returns whether that is new. */
    public fun takeLeaving(upstream: KnownUpstream): Boolean {
        leaving.values.removeIf { it < nowMillis() - MEMORY_MILLIS }
        return leaving.putIfAbsent(upstream.incarnation, nowMillis()) == null
    }

    /** Records that [upstream] wants nothing from this router for [pause]. */
    public fun takePause(upstream: KnownUpstream, pause: Duration) {
        paused.values.removeIf { it <= nowMillis() }
        val until = nowMillis() + pause.coerceAtMost(MAXIMUM_PAUSE).inWholeMilliseconds
        paused.merge(upstream.incarnation, until, ::maxOf)
    }

    /**
     * Returns those of [upstreams] that may get a new request. One that is leaving does only while no other can have it, and
     * only in the first part of its time, since the request may be on its way for a while.
     */
    public fun accepting(upstreams: List<KnownUpstream>): List<KnownUpstream> {
        if (leaving.isEmpty() && paused.isEmpty()) return upstreams
        val awake = upstreams.filter { pauseLeft(it) <= 0 }
        val staying = awake.filter { it.incarnation !in leaving }
        return staying.ifEmpty { awake.filter { leavingFor(it) < drainMillis() / LAST_RESORT_PART } }
    }

    /** Returns when the first of [upstreams] may get a request again, or null when none of them has asked for a pause. */
    public fun shortestPause(upstreams: List<KnownUpstream>): Duration? =
        upstreams
            .map(::pauseLeft)
            .filter { it > 0 }
            .minOrNull()
            ?.milliseconds

    private fun pauseLeft(upstream: KnownUpstream): Long = (paused[upstream.incarnation] ?: 0) - nowMillis()

    private fun leavingFor(upstream: KnownUpstream): Long = nowMillis() - (leaving[upstream.incarnation] ?: nowMillis())

    private companion object {
        /** Longer than any upstream takes to leave. */
        const val MEMORY_MILLIS = 600_000L

        /** A longer pause is taken for a fault of the upstream, which would be lost for good. */
        val MAXIMUM_PAUSE = 600_000.milliseconds
        const val LAST_RESORT_PART = 2
    }
}

/** An upstream may start again under its id, and then has asked for nothing. */
private data class Incarnation(val id: String, val startedAtMillis: Long?)

private val KnownUpstream.incarnation get() = Incarnation(id.value, registration.startedAtMillis)
