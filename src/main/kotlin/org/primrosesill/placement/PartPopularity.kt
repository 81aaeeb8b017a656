/*
 * Estimates from the recent requests of this router how many engines a popular part needs. In a large fleet no router sees more
 * than a sample of the requests, so the share of a part in this sample stands for its share in all.
 *
 * Load pattern: one shared part suddenly gets a tenth of all requests, many times what one engine can serve.
 */
package org.primrosesill.placement

import kotlin.math.ceil

/** Confined to the traffic thread. Times are milliseconds of a monotonic clock. */
internal class PartPopularity(private val nowMillis: () -> Long) {
    private val recent = ArrayDeque<RecentPrompt>()
    private val counts = HashMap<PromptPartId, Int>()

    /** Records a request for [prompt]. */
    fun record(prompt: Prompt) {
        val part = prompt.sharedParts.lastOrNull() ?: return
        recent.addLast(RecentPrompt(part.id, nowMillis()))
        counts.merge(part.id, 1, Int::plus)
        removeExpired()
    }

    /**
     * Returns over how many of [engines] engines the prompts are spread that have the shared parts of [prompt]. The first
     * request of a part says nothing about its share, and few requests say little.
     */
    fun replicas(prompt: Prompt, engines: Int): Int {
        removeExpired()
        val count = prompt.sharedParts.lastOrNull()?.let { counts[it.id] } ?: 0
        val share = (count - 1).toDouble() / (recent.size + PRIOR_REQUESTS)
        return ceil(share * engines * REPLICAS_PER_SHARE).toInt().coerceIn(1, engines)
    }

    private fun removeExpired() {
        val earliest = nowMillis() - WINDOW_MILLIS
        while (recent.isNotEmpty() && (recent.first().atMillis < earliest || recent.size > MAXIMUM_PROMPTS)) {
            counts.computeIfPresent(recent.removeFirst().part) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private class RecentPrompt(val part: PromptPartId, val atMillis: Long)

    private companion object {
        const val WINDOW_MILLIS = 5_000L
        const val MAXIMUM_PROMPTS = 10_000

        /** Requests for other parts that count in addition to the observed ones, so that a few requests do not yield a high share. */
        const val PRIOR_REQUESTS = 20

        /** The engines of a popular part serve other prompts as well. */
        const val REPLICAS_PER_SHARE = 2
    }
}
