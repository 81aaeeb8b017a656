/*
 * The prompt of a request to a model engine, divided into parts that engines cache.
 */
package org.primrosesill.placement

/** Identifies a prompt part. The same part has the same id in all requests. */
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}

/** One part of a prompt. An engine caches the parts that it has prefilled and reuses them for prompts that begin alike. */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/**
 * The prompt of one request.
 *
 * @property parts in the order of the prompt; the last one belongs only to this request or its session
 * @property promptTokens tokens to prefill
 * @property maximumOutputTokens upper bound of the tokens to generate
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maximumOutputTokens: Int) {
    /** The parts that other requests may share: all but the last. */
    val sharedParts: List<PromptPart> = parts.dropLast(1)

    val sharedTokens: Int = sharedParts.sumOf { it.tokens }
}
