/*
 * An index of the prompt parts that engines have cached, built from the requests of this router and the messages of its
 * peers. The index is a hint: an engine may have evicted a part. A wrong entry costs time and work but does not affect
 * correctness.
 */
package org.primrosesill.placement

import org.primrosesill.model.UpstreamId

/** Parts that each engine has cached. */
public typealias PartsByEngine = Map<UpstreamId, List<PartCode>>

/** Thread-safe. Times are milliseconds of a monotonic clock. */
public class PromptCacheIndex(private val nowMillis: () -> Long) {
    private val enginesByPart = LinkedHashMap<PartCode, HashMap<UpstreamId, Long>>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val queuedUpdates = ArrayDeque<CachedPart>()
    private val activeUpdates = ArrayDeque<ActiveUpdate>()

    @get:Synchronized
    public val isEmpty: Boolean get() = enginesByPart.isEmpty()

    /**
     * Returns the number of tokens in the longest prefix of the shared parts of [prompt] that each engine has cached.
     * Engines that have cached none are absent.
     */
    @Synchronized
    public fun cachedTokens(prompt: Prompt): Map<UpstreamId, Int> {
        val cachedTokens = HashMap<UpstreamId, Int>()
        var engines: Set<UpstreamId>? = null
        for (part in prompt.sharedParts) {
            val holders = holdersOf(partCode(part.id))
            val remaining = engines?.intersect(holders) ?: holders
            remaining.forEach { cachedTokens.merge(it, part.tokens, Int::plus) }
            engines = remaining
        }
        return cachedTokens
    }

    /** Records that [upstream] has cached [parts] while it served a request of this router. */
    @Synchronized
    public fun recordCached(parts: List<PromptPart>, upstream: UpstreamId) {
        for (part in parts) {
            val code = partCode(part.id)
            if (put(code, upstream)) queuedUpdates.addLast(CachedPart(code, upstream))
        }
    }

    /**
     * Adds entries received from a peer. Entries that are new to this router are forwarded with its own
     * [recentUpdates].
     */
    @Synchronized
    public fun merge(parts: PartsByEngine) {
        for ((upstream, codes) in parts) {
            for (code in codes) if (put(code, upstream)) queuedUpdates.addLast(CachedPart(code, upstream))
        }
    }

    /** Returns the entries added recently. Each entry is repeated for [REPEAT_MILLIS], since messages may be lost. */
    @Synchronized
    public fun recentUpdates(): PartsByEngine {
        val now = nowMillis()
        while (activeUpdates.isNotEmpty() &&
            activeUpdates.first().sinceMillis < now - REPEAT_MILLIS
        ) {
            activeUpdates.removeFirst()
        }
        while (activeUpdates.size < MAXIMUM_ACTIVE_UPDATES && queuedUpdates.isNotEmpty()) {
            activeUpdates.addLast(ActiveUpdate(queuedUpdates.removeFirst(), now))
        }
        return activeUpdates.groupBy({ it.cached.upstream }, { it.cached.part })
    }

    /** Returns all entries, for a peer that has just started. */
    @Synchronized
    public fun snapshot(): PartsByEngine =
        enginesByPart.entries
            .flatMap { (part, engines) -> engines.keys.map { it to part } }
            .groupBy({ it.first }, { it.second })

    /** Removes all entries of [engines], which have stopped or restarted and lost their caches. */
    @Synchronized
    public fun removeEngines(engines: Set<UpstreamId>) {
        if (engines.isEmpty()) return
        enginesByPart.values.forEach { it.keys.removeAll(engines) }
        enginesByPart.values.removeIf { it.isEmpty() }
        queuedUpdates.removeIf { it.upstream in engines }
        activeUpdates.removeIf { it.cached.upstream in engines }
    }

    private fun holdersOf(part: PartCode): Set<UpstreamId> {
        val recordedAtMillis = enginesByPart[part] ?: return emptySet()
        val earliest = nowMillis() - EXPIRY_MILLIS
        recordedAtMillis.values.removeIf { it < earliest }
        return recordedAtMillis.keys.toSet()
    }

    /** Adds an entry or updates its time, and returns whether it is new. */
    private fun put(part: PartCode, upstream: UpstreamId): Boolean {
        val recordedAtMillis = enginesByPart.getOrPut(part) { HashMap() }
        val previous = recordedAtMillis.put(upstream, nowMillis())
        if (enginesByPart.size > MAXIMUM_PARTS) enginesByPart.remove(enginesByPart.keys.first())
        return previous == null
    }

    private class CachedPart(val part: PartCode, val upstream: UpstreamId)

    /** An entry that is sent to peers since [sinceMillis]. */
    private class ActiveUpdate(val cached: CachedPart, val sinceMillis: Long)

    private companion object {
        const val MAXIMUM_PARTS = 16_384
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f

        /** Engines evict the least recently used parts, so an entry that has not been refreshed for this long is dropped. */
        const val EXPIRY_MILLIS = 120_000L
        const val REPEAT_MILLIS = 1_200L

        /** Limits a message to about 5 KB when many parts are prefilled at once, as after a start. */
        const val MAXIMUM_ACTIVE_UPDATES = 1_000
    }
}
