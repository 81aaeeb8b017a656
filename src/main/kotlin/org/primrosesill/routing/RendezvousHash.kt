/*
 * Rendezvous hashing: every router ranks the same candidates for a key in the same order without any shared state, and
 * a candidate that joins or leaves changes the first place only of the keys that it wins or held.
 */
package org.primrosesill.routing

import com.dynatrace.hash4j.hashing.Hasher64
import com.dynatrace.hash4j.hashing.Hashing

private val hasher: Hasher64 = Hashing.komihash5_0()

/** Returns the hash of a key or of the id of a candidate. */
internal fun hashOf(text: String): Long = hasher.hashCharsToLong(text)

/**
 * Returns the score of a candidate for a key, uniform over all 64 bits. The highest score ranks first. Both hashes are
 * uniform already, so that hashing one word in place of two loses nothing and takes less time.
 */
internal fun scoreOf(keyHash: Long, candidateHash: Long): Long = hasher.hashLongToLong(keyHash xor candidateHash)

/** Returns the first [count] of [candidates] in the ranking of [keyHash]. */
internal fun <T> firstRanked(keyHash: Long, candidates: List<T>, count: Int, candidateHash: (T) -> Long): List<T> =
    candidates
        .map { it to scoreOf(keyHash, candidateHash(it)) }
        .sortedByDescending { it.second }
        .take(count)
        .map { it.first }
