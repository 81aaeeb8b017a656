/*
 * A simple model of one engine: it reads prompts one after the other, writes all streams at once, and keeps prompt
 * prefixes in a limited cache with least-recently-used eviction.
 */
package org.primrosesill.experiment

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId

/**
 * One prompt: the tokens of the customer's system prompt, and those of the chat so far.
 *
 * @property chat identifies the chat over its requests
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

internal class TrialEngine(val index: Int, val zone: Int, private val cacheTokens: Int, private val bears: Int) {
    val id = UpstreamId("engine-$index")
    var present = false
    var cold = false
    var leaving = false

    /** Grows when the engine fails, so that streams of an earlier life do not end in a later one. */
    var life = 0
        private set
    var running = 0
        private set
    var slotsHeld = 0

    private val cache = LinkedHashMap<Long, Int>()
    private var cachedTokens = 0
    private var prefillFreeAt = 0.0

    val usable: Boolean get() = present && !leaving

    fun start(asCold: Boolean) {
        present = true
        leaving = false
        cold = asCold
    }

    fun fail() {
        present = false
        life++
        running = 0
        slotsHeld = 0
        loseCache()
    }

    fun loseCache() {
        cache.clear()
        cachedTokens = 0
    }

    fun bearsMore(): Boolean = !cold || running < bears

    /** Tokens of [prompt] in the cache. */
    fun cachedTokens(prompt: TrialPrompt): Int {
        val system = if (cache.containsKey(systemKey(prompt))) prompt.systemTokens else 0
        return system + minOf(cache[prompt.chat] ?: 0, prompt.chatTokens)
    }

    /** Takes a request, and returns the time until its first token in milliseconds. */
    fun admit(prompt: TrialPrompt, nowMillis: Long): Double {
        running++
        val uncached = prompt.tokens - cachedTokens(prompt)
        prefillFreeAt = maxOf(prefillFreeAt, nowMillis.toDouble()) + uncached * PREFILL_MILLIS_PER_TOKEN
        store(systemKey(prompt), prompt.systemTokens)
        store(prompt.chat, prompt.chatTokens + prompt.outputTokens)
        return prefillFreeAt - nowMillis + TOKEN_MILLIS
    }

    fun finish() {
        running--
    }

    fun report(nowMillis: Long): LoadReport =
        LoadReport(id, state(), running, queued = 0, bears = bears, reportedAtMillis = nowMillis)

    private fun state(): UpstreamState =
        when {
            leaving -> UpstreamState.LEAVING
            cold -> UpstreamState.COLD
            else -> UpstreamState.WARM
        }

    private fun store(key: Long, tokens: Int) {
        // Removed first, so that the entry becomes the youngest.
        cachedTokens += tokens - (cache.remove(key) ?: 0)
        cache[key] = tokens
        val oldest = cache.entries.iterator()
        while (cachedTokens > cacheTokens && oldest.hasNext()) {
            val entry = oldest.next()
            cachedTokens -= entry.value
            oldest.remove()
        }
    }

    private fun systemKey(prompt: TrialPrompt): Long = -1L - prompt.customer
}
