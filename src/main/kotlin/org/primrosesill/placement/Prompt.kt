/*
 * What a request asks of a model engine.
 */
package org.primrosesill.placement

/** Names a part of prompts. The same part has the same id in all requests. */
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}

/** One part of a prompt. Requests whose prompts begin with the same parts share what an engine has read of them. */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/**
 * The prompt of one request.
 *
 * @property parts in order; the last one belongs to the request or its session alone
 * @property promptTokens tokens to read
 * @property maximumAnswerTokens tokens to generate, at the most
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maximumAnswerTokens: Int) {
    /** The parts that other requests share. */
    val sharedParts: List<PromptPart> = parts.dropLast(1)

    val sharedTokens: Int = sharedParts.sumOf { it.tokens }
}
