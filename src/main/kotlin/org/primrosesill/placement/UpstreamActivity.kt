/*
 * What this router has in progress at each upstream, and what it has seen of each lately.
 */
package org.primrosesill.placement

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.exp

/** Owned by the traffic thread, but for [inFlight], [inProgress] and what tells of silence. Times are milliseconds of a steady clock. */
public class UpstreamActivity(private val nowMillis: () -> Long) {
    private val records = ConcurrentHashMap<UpstreamId, Record>()
    private val zones = HashMap<AvailabilityZoneId, Long>()

    /** Requests of this router in progress at [upstream]. Safe to call from any thread. */
    public fun inFlight(upstream: UpstreamId): Int = records[upstream]?.inFlight ?: 0

    /** Requests of this router in progress, without upstreams that have none. Safe to call from any thread. */
    public fun inProgress(): Map<UpstreamId, Int> = records.mapValues { it.value.inFlight }.filterValues { it > 0 }

    /** Prompt tokens that [upstream] is still to read for requests of this router. */
    public fun unreadTokens(upstream: UpstreamId): Int = records[upstream]?.unreadTokens ?: 0

    /** Whether requests should rather go elsewhere, since [upstream] did not answer lately. */
    public fun isSuspect(upstream: UpstreamId): Boolean =
        records[upstream]?.let { it.suspectUntilMillis > nowMillis() || it.isSilent(nowMillis()) } ?: false

    /** Whether [upstream] has requests of this router and said nothing for some time, though not so long ago. */
    public fun isSilent(upstream: UpstreamId): Boolean = records[upstream]?.isSilent(nowMillis()) ?: false

    public fun silentUpstreams(): Set<UpstreamId> {
        val now = nowMillis()
        return records.entries.filter { it.value.isSilent(now) }.mapTo(HashSet()) { it.key }
    }

    /** Whether [upstream] said anything lately. */
    public fun heardLately(upstream: UpstreamId): Boolean =
        records[upstream]?.heardAtMillis?.let { nowMillis() - it < SILENCE_MILLIS } ?: false

    /** Records that something came from [upstream]. */
    public fun heard(upstream: UpstreamId) {
        val record = record(upstream)
        record.heardAtMillis = nowMillis()
        record.quietSinceMillis = nowMillis()
    }

    /** Part of the answers of [upstream] that were failures, with more weight on the latest; 0 without any lately. */
    public fun failureRate(upstream: UpstreamId): Double = records[upstream]?.failureRate(nowMillis()) ?: 0.0

    /** Counts a request for which [upstream] has [tokens] prompt tokens to read. */
    public fun started(upstream: UpstreamId, tokens: Int) {
        val record = record(upstream)
        val quietFor = nowMillis() - record.quietSinceMillis
        // After some time a silent upstream is tried again, and that request is waited for anew.
        if (record.inFlight == 0 || quietFor > SILENCE_MILLIS + SILENT_FOR_MILLIS) record.quietSinceMillis = nowMillis()
        record.inFlight++
        record.unreadTokens += tokens
    }

    /** Counts the prompt of a request as read. */
    public fun read(upstream: UpstreamId, tokens: Int) {
        record(upstream).unreadTokens -= tokens
    }

    public fun ended(upstream: UpstreamId) {
        record(upstream).inFlight--
    }

    /** Records that an upstream in [zone] answered, well or not. */
    public fun answeredFrom(zone: AvailabilityZoneId) {
        zones[zone] = nowMillis()
    }

    /** Whether an upstream in [zone] answered lately. */
    public fun hearsFrom(zone: AvailabilityZoneId): Boolean =
        zones[zone]?.let { nowMillis() - it < HEARD_MILLIS } ?: false

    /** Records that [upstream] answered a request well. */
    public fun succeeded(upstream: UpstreamId) {
        val record = record(upstream)
        record.failuresInRow = 0
        record.suspectUntilMillis = 0
        record.observe(failure = 0.0, nowMillis())
    }

    /** Records that [upstream] answered a request with a failure of its own. */
    public fun failedRequest(upstream: UpstreamId) {
        record(upstream).observe(failure = 1.0, nowMillis())
    }

    /** Records that [upstream] could not be reached or broke an answer off. */
    public fun failed(upstream: UpstreamId) {
        val record = record(upstream)
        record.failuresInRow++
        record.observe(failure = 1.0, nowMillis())
        val pause = FIRST_PAUSE_MILLIS shl (record.failuresInRow - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        record.suspectUntilMillis = nowMillis() + pause
    }

    /** Forgets upstreams that are no longer known and have nothing in progress. */
    public fun retain(known: Set<UpstreamId>) {
        records.entries.removeIf { it.key !in known && it.value.inFlight == 0 }
    }

    private fun record(upstream: UpstreamId) = records.getOrPut(upstream) { Record() }

    private class Record {
        @Volatile
        var inFlight = 0

        @Volatile
        var quietSinceMillis = 0L

        @Volatile
        var heardAtMillis: Long? = null
        var unreadTokens = 0
        var failuresInRow = 0
        var suspectUntilMillis = 0L
        private var failures = 0.0
        private var answers = 0.0
        private var observedAtMillis = 0L

        fun isSilent(nowMillis: Long): Boolean =
            inFlight > 0 && nowMillis - quietSinceMillis in SILENCE_MILLIS..SILENCE_MILLIS + SILENT_FOR_MILLIS

        fun observe(failure: Double, nowMillis: Long) {
            fade(nowMillis)
            failures += failure
            answers += 1
        }

        /** Counted against a few good answers that were not seen, so that one failure alone says little. */
        fun failureRate(nowMillis: Long): Double {
            fade(nowMillis)
            return failures / (answers + ASSUMED_GOOD_ANSWERS)
        }

        private fun fade(nowMillis: Long) {
            val factor = exp(-(nowMillis - observedAtMillis) / MEMORY_MILLIS)
            failures *= factor
            answers *= factor
            observedAtMillis = nowMillis
        }
    }

    private companion object {
        const val FIRST_PAUSE_MILLIS = 250L
        const val HEARD_MILLIS = 700L

        /** Longer than an upstream with much to do takes to say something about one of its requests. */
        const val SILENCE_MILLIS = 1_200L

        /** Callers wait up to 15 s for requests that are lost at an upstream which may long have recovered. */
        const val SILENT_FOR_MILLIS = 3_000L
        const val MAXIMUM_DOUBLINGS = 3
        const val ASSUMED_GOOD_ANSWERS = 2.0
        const val MEMORY_MILLIS = 3_000.0
    }
}
