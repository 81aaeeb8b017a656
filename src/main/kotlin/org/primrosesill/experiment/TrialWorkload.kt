/*
 * The requests of a routing trial: customers of very different sizes, chats that return with growing prompts, surges of
 * new chats, and one affinity key that many requests share during a surge.
 */
package org.primrosesill.experiment

import com.dynatrace.hash4j.hashing.Hashing
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ln

private const val CUSTOMERS = 10
private const val THINK_MILLIS = 20_000.0
private const val FIRST_PROMPT_TOKENS = 1_500.0
private const val TURN_PROMPT_TOKENS = 150
private const val SYSTEM_PROMPT_TOKENS = 600
private const val HOT_CHAT = 1L

private val hasher = Hashing.komihash5_0()

/** Ranks engines for the baselines. */
internal fun trialScore(chat: Long, engine: Int): ULong = hasher.hashLongLongToLong(chat, engine.toLong()).toULong()

/** Draws from an exponential distribution with [mean]. */
internal fun UniformRandomProvider.nextExponential(mean: Double): Double = -ln(1.0 - nextDouble()) * mean

internal class TrialWorkload(private val settings: RoutingTrialSettings, private val random: UniformRandomProvider) {
    private var nextChat = 100L

    /** Requests of the trial for each millisecond outside a surge. */
    private val requestsPerMilli = settings.meanLoad * settings.engines / MEAN_REQUEST_MILLIS

    fun millisToNextChat(nowMillis: Long): Double =
        random.nextExponential(MEAN_TURNS / (requestsPerMilli * surge(nowMillis)))

    private fun surge(nowMillis: Long): Double = if (nowMillis in settings.surgeMillis) settings.surgeFactor else 1.0

    /** Returns the first prompt of a new chat. A few large customers send most of them. */
    fun newChat(nowMillis: Long): TrialPrompt {
        val customer = (CUSTOMERS * random.nextDouble() * random.nextDouble() * random.nextDouble()).toInt()
        val hot = nowMillis in settings.surgeMillis && random.nextDouble() < settings.hotShare
        val chat = if (hot) HOT_CHAT else nextChat++
        return TrialPrompt(customer, chat, SYSTEM_PROMPT_TOKENS, firstPromptTokens(), outputTokens())
    }

    /** Returns the next prompt of the same chat, or null when the chat has ended. */
    fun nextTurn(last: TrialPrompt): TrialPrompt? {
        if (random.nextDouble() < 1 / MEAN_TURNS) return null
        val chatTokens = last.chatTokens + last.outputTokens + TURN_PROMPT_TOKENS
        val grown = if (last.chat == HOT_CHAT) last.chatTokens else chatTokens
        return TrialPrompt(last.customer, last.chat, SYSTEM_PROMPT_TOKENS, grown, outputTokens())
    }

    fun thinkMillis(): Double = random.nextExponential(THINK_MILLIS)

    private fun firstPromptTokens(): Int = 1 + random.nextExponential(FIRST_PROMPT_TOKENS).toInt()

    private fun outputTokens(): Int = 1 + random.nextExponential(MEAN_OUTPUT_TOKENS).toInt()
}
