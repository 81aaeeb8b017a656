/*
 * Rendezvous hashing: every router ranks the same candidates for a key in the same order without shared state. A
 * candidate that joins or leaves changes the first rank only for the keys that it gains or loses.
 */
package org.primrosesill.routing

import com.dynatrace.hash4j.hashing.Hasher64
import com.dynatrace.hash4j.hashing.Hashing

private val hasher: Hasher64 = Hashing.komihash5_0()

/** Returns the hash of a key or of the id of a candidate. */
internal fun hashOf(text: String): Long = hasher.hashCharsToLong(text)

/**
 * Returns the score of a candidate for a key, uniformly distributed over 64 bits. The highest score ranks first. Both
 * hashes are uniform already, so hashing their XOR in place of both words loses no quality and takes less time.
 */
internal fun scoreOf(keyHash: Long, candidateHash: Long): Long = hasher.hashLongToLong(keyHash xor candidateHash)

/** Returns the [count] highest-ranked of [candidates] for [keyHash]. */
internal fun <T> highestRanked(keyHash: Long, candidates: List<T>, count: Int, candidateHash: (T) -> Long): List<T> =
    candidates
        .map { it to scoreOf(keyHash, candidateHash(it)) }
        .sortedByDescending { it.second }
        .take(count)
        .map { it.first }
