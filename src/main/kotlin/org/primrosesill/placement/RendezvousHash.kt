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
    rendezvousRank(parts, upstream).toDouble() / RANKS

/** Number of different ranks, which have 62 bits. */
private const val RANKS = (1L shl 62).toDouble()
