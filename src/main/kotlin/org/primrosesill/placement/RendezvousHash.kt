/*
 * Rendezvous hashing of prompts to engines. All routers compute the same order of engines for a prompt, without any messages,
 * and an engine that joins or leaves changes the order only where it stands first.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.UpstreamId

/** Returns the rank of [upstream] for prompts that begin with [parts]: not negative, the highest one is the first choice. */
internal fun rendezvousRank(parts: List<PromptPart>, upstream: UpstreamId): Long {
    val hash = Hashing.komihash5_0().hashStream()
    parts.forEach { hash.putString(it.id.value) }
    return hash.putString(upstream.value).asLong ushr 2
}

/** Returns a number from 0 (inclusive) to 1 (exclusive) that depends on [parts] and [upstream] only. */
internal fun rendezvousFraction(parts: List<PromptPart>, upstream: UpstreamId): Double =
    fractionOf(rendezvousRank(parts, upstream))

/** Returns a number from 0 (inclusive) to 1 (exclusive) that depends on [parts] only. */
internal fun promptFraction(parts: List<PromptPart>): Double {
    val hash = Hashing.komihash5_0().hashStream()
    parts.forEach { hash.putString(it.id.value) }
    return fractionOf(hash.asLong ushr 2)
}

/** Converts a hash of [RANK_BITS] bits; dropping the low bits keeps the result exact and below 1. */
private fun fractionOf(rank: Long): Double = (rank ushr RANK_BITS - FRACTION_BITS).toDouble() / (1L shl FRACTION_BITS)

private const val RANK_BITS = 62
private const val FRACTION_BITS = 52
