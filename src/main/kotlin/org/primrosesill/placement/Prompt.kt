/*
 * What a request asks of a model engine.
 */
package org.primrosesill.placement

/** One part of a prompt. Requests whose prompts begin with the same parts share what an engine has read of them. */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * What a request asks of a model engine.
 *
 * @property parts in order; the last one belongs to the request or its session alone
 * @property promptTokens tokens to read
 * @property maximumAnswerTokens tokens to generate, at the most
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maximumAnswerTokens: Int)
