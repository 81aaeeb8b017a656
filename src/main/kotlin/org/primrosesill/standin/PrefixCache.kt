/*
 * The prompt prefix cache of the stand-in engine: chains of token blocks in limited memory, the least recently used
 * evicted first, and the events that tell others what it holds.
 */
package org.primrosesill.standin

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider

/** Tokens in one cached block; a prefix is reused in whole blocks only. */
internal const val BLOCK_TOKENS: Int = 16

/** One block that the cache stored or evicted. A number that is missing was lost on the way. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: String, val block: String, val atMillis: Long)

/** The events after the number that was asked for, as far as they were published. */
@Serializable
internal data class CacheEventPage(val next: Long, val events: List<CacheEvent>)

/** Publishes cache events [lagMillis] late and loses each with probability [loss]. */
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
        val shown = events.filter { it.sequence > since && it.atMillis <= nowMillis - lagMillis }
        return CacheEventPage(shown.lastOrNull()?.sequence ?: since, shown)
    }

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}

/** Holds up to [capacityBlocks] blocks. Not safe for use by several threads. */
internal class PrefixCache(private val capacityBlocks: Int, private val log: CacheEventLog) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)

    /** Returns how many leading tokens of [tokens] are cached, and caches all whole blocks of them. */
    fun use(tokens: List<String>, nowMillis: Long): Int {
        val chain = chain(tokens)
        val cached = chain.takeWhile { it in blocks }.size
        chain.forEach { store(it, nowMillis) }
        return cached * BLOCK_TOKENS
    }

    private fun store(block: Long, nowMillis: Long) {
        if (blocks.put(block, Unit) == null) log.record("stored", block, nowMillis)
        if (blocks.size > capacityBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            log.record("evicted", oldest, nowMillis)
        }
    }

    private fun chain(tokens: List<String>): List<Long> =
        tokens
            .windowed(BLOCK_TOKENS, BLOCK_TOKENS)
            .runningFold(0L) { parent, block ->
                Hashing.komihash5_0().hashCharsToLong("$parent ${block.joinToString(" ")}")
            }.drop(1)
}
