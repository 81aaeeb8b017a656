/*
 * The prompt prefix cache of the stand-in engine: an LRU cache of limited size that holds chains of token blocks, and
 * the events that publish which blocks it stores and evicts.
 */
package org.primrosesill.standin

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider

/** Number of tokens in one cached block. Only whole blocks of a prefix are reused. */
internal const val BLOCK_TOKENS: Int = 16

/** A block that the cache stored or evicted. A gap in the [sequence] numbers stands for lost events. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: String, val block: String, val atMillis: Long)

/** The published events after a requested sequence number. [next] is the value of `since` for the next call. */
@Serializable
internal data class CacheEventPage(val next: Long, val events: List<CacheEvent>)

/** Publishes cache events after [lagMillis] and drops each with probability [loss]. Not thread-safe. */
internal class CacheEventLog(
    private val lagMillis: Long,
    private val loss: Double,
    private val random: UniformRandomProvider,
) {
    private val events = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    fun record(kind: String, block: Long, nowMillis: Long) {
        sequence++
        if (random.nextDouble() < loss) return
        events.addLast(CacheEvent(sequence, kind, java.lang.Long.toHexString(block), nowMillis))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    fun page(since: Long, nowMillis: Long): CacheEventPage {
        val published = events.filter { it.sequence > since && it.atMillis <= nowMillis - lagMillis }
        return CacheEventPage(published.lastOrNull()?.sequence ?: since, published)
    }

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}

/** Holds up to [capacityBlocks] blocks. Not thread-safe. */
internal class PrefixCache(private val capacityBlocks: Int, private val log: CacheEventLog) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)

    /** Adds all whole blocks of [tokens], and returns the number of leading tokens that were already cached. */
    fun add(tokens: List<String>, nowMillis: Long): Int {
        val chain = blockChain(tokens)
        val cached = chain.takeWhile { it in blocks }.size
        chain.forEach { addBlock(it, nowMillis) }
        return cached * BLOCK_TOKENS
    }

    private fun addBlock(block: Long, nowMillis: Long) {
        if (blocks.put(block, Unit) == null) log.record("stored", block, nowMillis)
        if (blocks.size > capacityBlocks) {
            val leastRecent = blocks.keys.first()
            blocks.remove(leastRecent)
            log.record("evicted", leastRecent, nowMillis)
        }
    }

    /** Returns the hash of each whole block, which depends on all blocks before it. */
    private fun blockChain(tokens: List<String>): List<Long> =
        tokens
            .windowed(BLOCK_TOKENS, BLOCK_TOKENS)
            .runningFold(0L) { parent, block ->
                Hashing.komihash5_0().hashCharsToLong("$parent ${block.joinToString(" ")}")
            }.drop(1)
}
