/*
 * The requests that this router has in flight at each upstream, and the recent outcomes that it has observed there.
 */
package org.primrosesill.load

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.exp
import kotlin.time.Duration

/**
 * Confined to the traffic thread, except for [inFlight], [inFlightByUpstream] and the functions on silence: [isSilent],
 * [silentUpstreams] and [hasRecentData]. Times are milliseconds of a monotonic clock.
 */
public class UpstreamActivity(private val nowMillis: () -> Long) {
    private val records = ConcurrentHashMap<UpstreamId, Record>()
    private val lastResponseByZone = HashMap<AvailabilityZoneId, Long>()

    /** Returns how many requests of this router are in flight at [upstream]. Safe to call from any thread. */
    public fun inFlight(upstream: UpstreamId): Int = records[upstream]?.inFlight ?: 0

    /**
     * Returns the number of requests of this router in flight at each upstream. Upstreams that have none are absent.
     * Safe to call from any thread.
     */
    public fun inFlightByUpstream(): Map<UpstreamId, Int> =
        records.mapValues { it.value.inFlight }.filterValues { it > 0 }

    /** Returns the prompt tokens that [upstream] has yet to prefill for requests of this router. */
    public fun pendingPrefillTokens(upstream: UpstreamId): Int = records[upstream]?.pendingPrefillTokens ?: 0

    /**
     * Returns whether other upstreams are preferred over [upstream], because it is silent or within the backoff after a
     * failure.
     */
    public fun isSuspect(upstream: UpstreamId): Boolean =
        records[upstream]?.let { it.suspectUntilMillis > nowMillis() || it.isSilent(nowMillis()) } ?: false

    /**
     * Returns whether [upstream] has requests of this router in flight and has sent nothing for [SILENCE_MILLIS].
     * Returns false again [SILENCE_DURATION_MILLIS] later, so that the upstream is retried.
     */
    public fun isSilent(upstream: UpstreamId): Boolean = records[upstream]?.isSilent(nowMillis()) ?: false

    public fun silentUpstreams(): Set<UpstreamId> {
        val now = nowMillis()
        return records.entries.filter { it.value.isSilent(now) }.mapTo(HashSet()) { it.key }
    }

    /**
     * Returns whether [upstream] has sent nothing in the second half of a wait that has lasted for [waited], while most of the
     * upstreams in [pool] with requests of this router responded without such a pause. Upstreams that all pause at the same
     * time probably have a common cause, such as a wave of long prompts, which a move to another one does not avoid. One that
     * has just resumed counts as paused, as the others can be expected to follow.
     */
    public fun isSilentUnlikeOthers(upstream: UpstreamId, pool: Collection<UpstreamId>, waited: Duration): Boolean {
        val now = nowMillis()
        val pause = waited.inWholeMilliseconds / 2
        if (records[upstream]?.hasSentSince(now - pause) ?: false) return false
        val others = pool.mapNotNull { other -> records[other]?.takeIf { other != upstream } }
        val paused = others.count { it.isWaitedForSince(now - pause) || it.hasPaused(pause, since = now - 2 * pause) }
        val responding = others.count { it.hasSentSince(now - pause) && !it.hasPaused(pause, since = now - 2 * pause) }
        return responding > paused
    }

    /** Returns whether [upstream] has sent anything within [SILENCE_MILLIS]. */
    public fun hasRecentData(upstream: UpstreamId): Boolean =
        records[upstream]?.lastDataAtMillis?.let { nowMillis() - it < SILENCE_MILLIS } ?: false

    /** Records that [upstream] sent a response head or a stream event. */
    public fun recordData(upstream: UpstreamId) {
        val record = record(upstream)
        record.recordData(nowMillis())
    }

    /**
     * Returns the fraction of the requests to [upstream] that failed, with more weight on recent ones; 0 if there are no
     * recent ones.
     */
    public fun failureRate(upstream: UpstreamId): Double = records[upstream]?.failureRate(nowMillis()) ?: 0.0

    /** Records that a request was sent for which [upstream] has [tokens] prompt tokens to prefill. */
    public fun recordStart(upstream: UpstreamId, tokens: Int) {
        val record = record(upstream)
        val silentForMillis = nowMillis() - record.silentSinceMillis
        // A silent upstream is retried after some time; the wait for data starts again with that request.
        if (record.inFlight == 0 || silentForMillis > SILENCE_MILLIS + SILENCE_DURATION_MILLIS) {
            record.silentSinceMillis = nowMillis()
        }
        record.inFlight++
        record.pendingPrefillTokens += tokens
    }

    /** Records that [upstream] has prefilled the prompt of a request, or that the request has ended before that. */
    public fun recordPrefillEnd(upstream: UpstreamId, tokens: Int) {
        record(upstream).pendingPrefillTokens -= tokens
    }

    public fun recordEnd(upstream: UpstreamId) {
        record(upstream).inFlight--
    }

    /** Records that an upstream in [zone] responded, whether with a success or a failure. */
    public fun recordZoneResponse(zone: AvailabilityZoneId) {
        lastResponseByZone[zone] = nowMillis()
    }

    /** Returns whether an upstream in [zone] responded within [ZONE_RESPONSE_MILLIS]. */
    public fun hasRecentResponse(zone: AvailabilityZoneId): Boolean =
        lastResponseByZone[zone]?.let { nowMillis() - it < ZONE_RESPONSE_MILLIS } ?: false

    /** Records that [upstream] completed a request successfully. */
    public fun recordSuccess(upstream: UpstreamId) {
        val record = record(upstream)
        record.consecutiveFailures = 0
        record.suspectUntilMillis = 0
        record.recordOutcome(failure = 0.0, nowMillis())
    }

    /** Records that [upstream] responded to a request with a server error. */
    public fun recordErrorResponse(upstream: UpstreamId) {
        record(upstream).recordOutcome(failure = 1.0, nowMillis())
    }

    /** Records that [upstream] could not be reached, did not respond in time or cut off a response. */
    public fun recordConnectionFailure(upstream: UpstreamId) {
        val record = record(upstream)
        record.consecutiveFailures++
        record.recordOutcome(failure = 1.0, nowMillis())
        val backoff =
            INITIAL_BACKOFF_MILLIS shl (record.consecutiveFailures - 1).coerceAtMost(MAXIMUM_BACKOFF_DOUBLINGS)
        record.suspectUntilMillis = nowMillis() + backoff
    }

    /** Records that a connection to [upstream] was lost within an exchange. */
    public fun recordConnectionLost(upstream: UpstreamId) {
        record(upstream).connectionLostAtMillis = nowMillis()
    }

    /**
     * Returns whether a connection to [upstream] was lost within [CRASH_WINDOW_MILLIS] and no data arrived from it since, as
     * when it crashed. A crash closes all connections at once, in order or by a reset.
     */
    public fun seemsCrashed(upstream: UpstreamId): Boolean {
        val record = records[upstream] ?: return false
        val lostAt = record.connectionLostAtMillis ?: return false
        val lastDataAt = record.lastDataAtMillis ?: lostAt
        return nowMillis() - lostAt <= CRASH_WINDOW_MILLIS && lastDataAt <= lostAt + SIMULTANEOUS_READS_MILLIS
    }

    /** Removes the records of upstreams that are not in [known] and have no requests in flight. */
    public fun retain(known: Set<UpstreamId>) {
        records.entries.removeIf { it.key !in known && it.value.inFlight == 0 }
    }

    private fun record(upstream: UpstreamId) = records.getOrPut(upstream) { Record() }

    private class Record {
        @Volatile
        var inFlight = 0

        /** When the upstream last sent data or, if later, when the wait for data began. */
        @Volatile
        var silentSinceMillis = 0L

        @Volatile
        var lastDataAtMillis: Long? = null
        var connectionLostAtMillis: Long? = null
        var pendingPrefillTokens = 0
        var consecutiveFailures = 0
        var suspectUntilMillis = 0L
        private var failures = 0.0
        private var outcomes = 0.0
        private var decayedAtMillis = 0L

        /** The last silence of at least [PAUSE_MILLIS] with requests in flight. */
        private var pauseMillis = 0L
        private var pauseEndedAtMillis = 0L

        fun recordData(nowMillis: Long) {
            val silentForMillis = nowMillis - silentSinceMillis
            if (inFlight > 0 && silentForMillis >= PAUSE_MILLIS) {
                pauseMillis = silentForMillis
                pauseEndedAtMillis = nowMillis
            }
            lastDataAtMillis = nowMillis
            silentSinceMillis = nowMillis
        }

        /** Returns whether a silence of at least [millis] has ended after [since]. */
        fun hasPaused(millis: Long, since: Long): Boolean = pauseMillis >= millis && pauseEndedAtMillis >= since

        fun hasSentSince(atMillis: Long): Boolean = lastDataAtMillis?.let { it >= atMillis } ?: false

        /** Returns whether requests have been waiting for data from the upstream since [atMillis] or longer. */
        fun isWaitedForSince(atMillis: Long): Boolean = inFlight > 0 && silentSinceMillis <= atMillis

        fun isSilent(nowMillis: Long): Boolean =
            inFlight > 0 &&
                nowMillis - silentSinceMillis in SILENCE_MILLIS..SILENCE_MILLIS + SILENCE_DURATION_MILLIS

        fun recordOutcome(failure: Double, nowMillis: Long) {
            decay(nowMillis)
            failures += failure
            outcomes += 1
        }

        /** Counts [PRIOR_SUCCESSES] on top of the observed outcomes, so that a single failure does not yield a high rate. */
        fun failureRate(nowMillis: Long): Double {
            decay(nowMillis)
            return failures / (outcomes + PRIOR_SUCCESSES)
        }

        private fun decay(nowMillis: Long) {
            val factor = exp(-(nowMillis - decayedAtMillis) / DECAY_TIME_CONSTANT_MILLIS)
            failures *= factor
            outcomes *= factor
            decayedAtMillis = nowMillis
        }
    }

    private companion object {
        const val INITIAL_BACKOFF_MILLIS = 250L
        const val CRASH_WINDOW_MILLIS = 200L

        /** Time within which the traffic thread processes the input of all connections that were closed at once. */
        const val SIMULTANEOUS_READS_MILLIS = 10L

        /** Longer than an upstream that is not paused takes between two responses. */
        const val PAUSE_MILLIS = 200L
        const val ZONE_RESPONSE_MILLIS = 700L

        /** Longer than a heavily loaded upstream takes to send something for one of its requests. */
        const val SILENCE_MILLIS = 1_200L

        /**
         * How long an upstream counts as silent. Bounded, since callers wait up to 15 s for requests lost at an upstream
         * that may have recovered long before.
         */
        const val SILENCE_DURATION_MILLIS = 3_000L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 3
        const val PRIOR_SUCCESSES = 2.0
        const val DECAY_TIME_CONSTANT_MILLIS = 3_000.0
    }
}
