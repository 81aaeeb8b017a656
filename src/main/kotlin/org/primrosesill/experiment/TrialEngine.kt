/*
 * A model of one engine. It processes prompts sequentially, generates all streams concurrently, and keeps prompt
 * prefixes in a cache of limited size with least-recently-used eviction.
 */
package org.primrosesill.experiment

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId

/**
 * One prompt.
 *
 * @property chat identifier that all requests of a chat share
 * @property systemTokens tokens of the customer's system prompt
 * @property chatTokens tokens of the chat so far
 */
internal class TrialPrompt(
    val customer: Int,
    val chat: Long,
    val systemTokens: Int,
    val chatTokens: Int,
    val outputTokens: Int,
) {
    val tokens: Int get() = systemTokens + chatTokens
}

internal class TrialEngine(
    val index: Int,
    val zone: Int,
    private val cacheTokens: Int,
    private val coldConcurrencyLimit: Int,
) {
    val id = UpstreamId("engine-$index")
    var present = false
    var cold = false
    var leaving = false

    /** Incremented when the engine fails, so that the end of an earlier stream does not affect a later incarnation. */
    var incarnation = 0
        private set
    var running = 0
        private set
    var claimedSlots = 0

    private val cache = LinkedHashMap<Long, Int>()
    private var cachedTokens = 0
    private var prefillEndMillis = 0.0

    val usable: Boolean get() = present && !leaving

    fun start(isCold: Boolean) {
        present = true
        leaving = false
        cold = isCold
    }

    fun fail() {
        present = false
        incarnation++
        running = 0
        claimedSlots = 0
        clearCache()
    }

    fun clearCache() {
        cache.clear()
        cachedTokens = 0
    }

    fun canAccept(): Boolean = !cold || running < coldConcurrencyLimit

    /** Returns the number of tokens of [prompt] in the cache. */
    fun cachedTokens(prompt: TrialPrompt): Int {
        val system = if (cache.containsKey(systemKey(prompt))) prompt.systemTokens else 0
        return system + minOf(cache[prompt.chat] ?: 0, prompt.chatTokens)
    }

    /** Starts a request and returns the time to its first token in milliseconds. */
    fun startRequest(prompt: TrialPrompt, nowMillis: Long): Double {
        running++
        val uncached = prompt.tokens - cachedTokens(prompt)
        prefillEndMillis = maxOf(prefillEndMillis, nowMillis.toDouble()) + uncached * PREFILL_MILLIS_PER_TOKEN
        store(systemKey(prompt), prompt.systemTokens)
        store(prompt.chat, prompt.chatTokens + prompt.outputTokens)
        return prefillEndMillis - nowMillis + TOKEN_MILLIS
    }

    fun finish() {
        running--
    }

    fun report(nowMillis: Long): LoadReport =
        LoadReport(id, state(), running, queued = 0, bears = coldConcurrencyLimit, reportedAtMillis = nowMillis)

    private fun state(): UpstreamState =
        when {
            leaving -> UpstreamState.LEAVING
            cold -> UpstreamState.COLD
            else -> UpstreamState.WARM
        }

    private fun store(key: Long, tokens: Int) {
        // The entry is removed first, so that insertion makes it the most recently used one.
        cachedTokens += tokens - (cache.remove(key) ?: 0)
        cache[key] = tokens
        val leastRecentlyUsed = cache.entries.iterator()
        while (cachedTokens > cacheTokens && leastRecentlyUsed.hasNext()) {
            val entry = leastRecentlyUsed.next()
            cachedTokens -= entry.value
            leastRecentlyUsed.remove()
        }
    }

    private fun systemKey(prompt: TrialPrompt): Long = -1L - prompt.customer
}
