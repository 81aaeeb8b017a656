/*
 * What this router has in progress at each upstream, and what it has seen of each lately.
 */
package org.primrosesill.placement

import org.primrosesill.model.UpstreamId

/** Owned by the traffic thread. Times are milliseconds of a steady clock. */
public class UpstreamActivity(private val nowMillis: () -> Long) {
    private val records = HashMap<UpstreamId, Record>()

    @Volatile
    private var published: Map<UpstreamId, Int> = emptyMap()

    /** Requests of this router in progress at [upstream]. */
    public fun inFlight(upstream: UpstreamId): Int = records[upstream]?.inFlight ?: 0

    /** Requests of this router in progress by upstream. Safe to call from any thread. */
    public fun counts(): Map<UpstreamId, Int> = published

    /** Whether requests should rather go elsewhere, since [upstream] did not answer lately. */
    public fun isSuspect(upstream: UpstreamId): Boolean =
        records[upstream]?.let { it.suspectUntilMillis > nowMillis() } ?: false

    public fun started(upstream: UpstreamId) {
        record(upstream).inFlight++
        publish()
    }

    public fun ended(upstream: UpstreamId) {
        record(upstream).inFlight--
        publish()
    }

    /** Records that [upstream] answered with sense. */
    public fun succeeded(upstream: UpstreamId) {
        val record = records[upstream] ?: return
        record.failures = 0
        record.suspectUntilMillis = 0
    }

    /** Records that [upstream] could not be reached or broke an answer off. */
    public fun failed(upstream: UpstreamId) {
        val record = record(upstream)
        record.failures++
        val pause = FIRST_PAUSE_MILLIS shl (record.failures - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        record.suspectUntilMillis = nowMillis() + pause
    }

    /** Forgets upstreams that are no longer known and have nothing in progress. */
    public fun retain(known: Set<UpstreamId>) {
        records.entries.removeIf { it.key !in known && it.value.inFlight == 0 }
    }

    private fun publish() {
        published = records.mapValues { it.value.inFlight }
    }

    private fun record(upstream: UpstreamId) = records.getOrPut(upstream) { Record() }

    private class Record {
        var inFlight = 0
        var failures = 0
        var suspectUntilMillis = 0L
    }

    private companion object {
        const val FIRST_PAUSE_MILLIS = 250L
        const val MAXIMUM_DOUBLINGS = 3
    }
}
