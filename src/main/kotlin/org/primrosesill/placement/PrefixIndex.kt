/*
 * Which engines have read which beginnings of prompts, as far as this router and its peers have seen. The index is a hint:
 * an engine may have dropped a part, and nothing depends on it but time and work.
 */
package org.primrosesill.placement

import org.primrosesill.model.UpstreamId

/** News for peers: [upstream] has read [prefix]. */
public data class PrefixHolding(public val prefix: PrefixId, public val upstream: UpstreamId)

/** Owned by the traffic thread, but for [news] and [accept]. Times are milliseconds of a steady clock. */
public class PrefixIndex(private val nowMillis: () -> Long) {
    private val holders = LinkedHashMap<PrefixId, HashMap<UpstreamId, Long>>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val news = ArrayDeque<DatedHolding>()

    /** Returns the engines that have read [prefix]. */
    @Synchronized
    public fun holdersOf(prefix: PrefixId): Set<UpstreamId> {
        val known = holders[prefix] ?: return emptySet()
        val earliest = nowMillis() - EXPIRY_MILLIS
        known.values.removeIf { it < earliest }
        return known.keys.toSet()
    }

    /** Records that [upstream] has read [prefixes] for a request of this router. */
    @Synchronized
    public fun learn(prefixes: List<SharedPrefix>, upstream: UpstreamId) {
        for (prefix in prefixes) {
            if (put(prefix.id, upstream)) news.addLast(DatedHolding(PrefixHolding(prefix.id, upstream), nowMillis()))
        }
    }

    /** Takes the news of a peer. */
    @Synchronized
    public fun accept(holdings: List<PrefixHolding>) {
        holdings.forEach { put(it.prefix, it.upstream) }
    }

    /** What this router learned lately. It is told several times, since messages get lost. */
    @Synchronized
    public fun news(): List<PrefixHolding> {
        val earliest = nowMillis() - NEWS_MILLIS
        while (news.isNotEmpty() && news.first().atMillis < earliest) news.removeFirst()
        return news.map { it.holding }
    }

    /** Forgets engines that are no longer known. */
    @Synchronized
    public fun retain(known: Set<UpstreamId>) {
        holders.values.forEach { it.keys.retainAll(known) }
        holders.values.removeIf { it.isEmpty() }
    }

    /** Returns whether this is new. */
    private fun put(prefix: PrefixId, upstream: UpstreamId): Boolean {
        val known = holders.getOrPut(prefix) { HashMap() }
        val before = known.put(upstream, nowMillis())
        if (holders.size > MAXIMUM_PREFIXES) holders.remove(holders.keys.first())
        return before == null
    }

    private class DatedHolding(val holding: PrefixHolding, val atMillis: Long)

    private companion object {
        const val MAXIMUM_PREFIXES = 16_384
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f

        /** Engines drop the parts that were not used for the longest time. */
        const val EXPIRY_MILLIS = 120_000L
        const val NEWS_MILLIS = 1_000L
    }
}
