/*
 * Generates the requests of a routing trial: customers with very different request rates, chats with growing prompts,
 * surges of new chats, and one affinity key that many requests share during a surge.
 */
package org.primrosesill.experiment

import com.dynatrace.hash4j.hashing.Hashing
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ln

private const val CUSTOMER_COUNT = 10
private const val MEAN_THINK_MILLIS = 20_000.0
private const val MEAN_FIRST_PROMPT_TOKENS = 1_500.0
private const val TURN_PROMPT_TOKENS = 150
private const val SYSTEM_PROMPT_TOKENS = 600
private const val HOT_CHAT = 1L

private val hasher = Hashing.komihash5_0()

/** Returns the score by which baselines rank [engine] for [chat]. */
internal fun baselineScore(chat: Long, engine: Int): ULong = hasher.hashLongLongToLong(chat, engine.toLong()).toULong()

/** Returns a sample of the exponential distribution with [mean]. */
internal fun UniformRandomProvider.nextExponential(mean: Double): Double = -ln(1.0 - nextDouble()) * mean

internal class TrialWorkload(private val settings: RoutingTrialSettings, private val random: UniformRandomProvider) {
    private var nextChat = 100L

    /** Requests per millisecond outside a surge. */
    private val requestsPerMillisecond = settings.meanLoad * settings.engines / MEAN_REQUEST_MILLIS

    fun millisToNextChat(nowMillis: Long): Double =
        random.nextExponential(MEAN_TURNS / (requestsPerMillisecond * surgeFactor(nowMillis)))

    private fun surgeFactor(nowMillis: Long): Double =
        if (nowMillis in
            settings.surgeMillis
        ) {
            settings.surgeFactor
        } else {
            1.0
        }

    /** Returns the first prompt of a new chat. A few large customers send most of the chats. */
    fun newChat(nowMillis: Long): TrialPrompt {
        val customer = (CUSTOMER_COUNT * random.nextDouble() * random.nextDouble() * random.nextDouble()).toInt()
        val hot = nowMillis in settings.surgeMillis && random.nextDouble() < settings.hotChatFraction
        val chat = if (hot) HOT_CHAT else nextChat++
        return TrialPrompt(customer, chat, SYSTEM_PROMPT_TOKENS, firstPromptTokens(), outputTokens())
    }

    /** Returns the next prompt of the same chat, or null when the chat has ended. */
    fun nextTurn(previous: TrialPrompt): TrialPrompt? {
        if (random.nextDouble() < 1 / MEAN_TURNS) return null
        val chatTokens = previous.chatTokens + previous.outputTokens + TURN_PROMPT_TOKENS
        val nextChatTokens = if (previous.chat == HOT_CHAT) previous.chatTokens else chatTokens
        return TrialPrompt(previous.customer, previous.chat, SYSTEM_PROMPT_TOKENS, nextChatTokens, outputTokens())
    }

    fun thinkMillis(): Double = random.nextExponential(MEAN_THINK_MILLIS)

    private fun firstPromptTokens(): Int = 1 + random.nextExponential(MEAN_FIRST_PROMPT_TOKENS).toInt()

    private fun outputTokens(): Int = 1 + random.nextExponential(MEAN_OUTPUT_TOKENS).toInt()
}
