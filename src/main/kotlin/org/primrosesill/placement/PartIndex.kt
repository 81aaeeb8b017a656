/*
 * Which engines have read which parts of prompts, as far as this router and its peers know. The index is a hint: an engine
 * may have dropped a part, and nothing depends on it but time and work.
 */
package org.primrosesill.placement

import org.primrosesill.model.UpstreamId

/** Parts that engines have read. */
public typealias PartsByEngine = Map<UpstreamId, List<PartCode>>

/** Safe to use from any thread. Times are milliseconds of a steady clock. */
public class PartIndex(private val nowMillis: () -> Long) {
    private val holders = LinkedHashMap<PartCode, HashMap<UpstreamId, Long>>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val waitingNews = ArrayDeque<Holding>()
    private val currentNews = ArrayDeque<DatedHolding>()

    @get:Synchronized
    public val isEmpty: Boolean get() = holders.isEmpty()

    /** Returns the tokens of the longest beginning of [prompt] that each engine has read, without engines that hold none. */
    @Synchronized
    public fun heldTokens(prompt: Prompt): Map<UpstreamId, Int> {
        val held = HashMap<UpstreamId, Int>()
        var engines: Set<UpstreamId>? = null
        for (part in prompt.sharedParts) {
            val holders = holdersOf(partCode(part.id))
            val known = engines?.intersect(holders) ?: holders
            known.forEach { held.merge(it, part.tokens, Int::plus) }
            engines = known
        }
        return held
    }

    /** Records that [upstream] has read [parts] for a request of this router. */
    @Synchronized
    public fun learn(parts: List<PromptPart>, upstream: UpstreamId) {
        for (part in parts) {
            val code = partCode(part.id)
            if (put(code, upstream)) waitingNews.addLast(Holding(code, upstream))
        }
    }

    /** Takes what a peer knows. What is new to this router is passed on with its own [news]. */
    @Synchronized
    public fun accept(parts: PartsByEngine) {
        for ((upstream, codes) in parts) {
            for (code in codes) if (put(code, upstream)) waitingNews.addLast(Holding(code, upstream))
        }
    }

    /** What this router learned lately. Each part is told for some time, since messages get lost. */
    @Synchronized
    public fun news(): PartsByEngine {
        val now = nowMillis()
        while (currentNews.isNotEmpty() &&
            currentNews.first().sinceMillis < now - NEWS_MILLIS
        ) {
            currentNews.removeFirst()
        }
        while (currentNews.size < MAXIMUM_NEWS && waitingNews.isNotEmpty()) {
            currentNews.addLast(DatedHolding(waitingNews.removeFirst(), now))
        }
        return currentNews.groupBy({ it.holding.upstream }, { it.holding.part })
    }

    /** All that this router knows, for a peer that has just started. */
    @Synchronized
    public fun all(): PartsByEngine =
        holders.entries
            .flatMap { (part, engines) -> engines.keys.map { it to part } }
            .groupBy({ it.first }, { it.second })

    /** Forgets engines that hold nothing any more. */
    @Synchronized
    public fun forget(engines: Set<UpstreamId>) {
        if (engines.isEmpty()) return
        holders.values.forEach { it.keys.removeAll(engines) }
        holders.values.removeIf { it.isEmpty() }
        waitingNews.removeIf { it.upstream in engines }
        currentNews.removeIf { it.holding.upstream in engines }
    }

    private fun holdersOf(part: PartCode): Set<UpstreamId> {
        val known = holders[part] ?: return emptySet()
        val earliest = nowMillis() - EXPIRY_MILLIS
        known.values.removeIf { it < earliest }
        return known.keys.toSet()
    }

    /** Returns whether this is new. */
    private fun put(part: PartCode, upstream: UpstreamId): Boolean {
        val known = holders.getOrPut(part) { HashMap() }
        val before = known.put(upstream, nowMillis())
        if (holders.size > MAXIMUM_PARTS) holders.remove(holders.keys.first())
        return before == null
    }

    private class Holding(val part: PartCode, val upstream: UpstreamId)

    private class DatedHolding(val holding: Holding, val sinceMillis: Long)

    private companion object {
        const val MAXIMUM_PARTS = 16_384
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f

        /** Engines drop the parts that were not used for the longest time. */
        const val EXPIRY_MILLIS = 120_000L
        const val NEWS_MILLIS = 1_200L

        /** Bounds a message when many parts are read at once, as after a start: about 5 KB. */
        const val MAXIMUM_NEWS = 1_000
    }
}
