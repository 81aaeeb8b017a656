/*
 * What a request asks of a model engine.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing

/** One part of a prompt. Requests whose prompts begin with the same parts share what an engine has read of them. */
public data class PromptPart(public val id: String, public val tokens: Int)

/** Names a beginning of prompts: the parts up to some point, by a hash of their ids. */
@JvmInline
public value class PrefixId(public val value: Long)

/** A beginning of a prompt that other requests share, with [tokens] tokens in all its parts. */
public data class SharedPrefix(public val id: PrefixId, public val tokens: Int)

/**
 * The prompt of one request.
 *
 * @property parts in order; the last one belongs to the request or its session alone
 * @property promptTokens tokens to read
 * @property maximumAnswerTokens tokens to generate, at the most
 */
public data class Prompt(val parts: List<PromptPart>, val promptTokens: Int, val maximumAnswerTokens: Int) {
    /** The beginnings that other requests share, from the shortest to the longest. */
    val sharedPrefixes: List<SharedPrefix> = sharedPrefixesOf(parts)
}

private fun sharedPrefixesOf(parts: List<PromptPart>): List<SharedPrefix> {
    val hash = Hashing.komihash5_0().hashStream()
    var tokens = 0
    return parts.dropLast(1).map { part ->
        hash.putString(part.id)
        tokens += part.tokens
        SharedPrefix(PrefixId(hash.asLong), tokens)
    }
}
