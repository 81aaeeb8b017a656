/*
 * Lookups in the index of cached prompt parts, and the updates that it sends to peers.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.Test
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private fun part(id: String, tokens: Int) = PromptPart(PromptPartId(id), tokens)

class PromptCacheIndexTest {
    private var now = 0L
    private val index = PromptCacheIndex { now }
    private val prompt = Prompt(listOf(part("a", 100), part("b", 50), part("own", 10)), 160, 10)
    private val one = UpstreamId("one")
    private val two = UpstreamId("two")

    // Guards against counting a cached part although the engine lacks an earlier part of the prompt.
    @Test
    fun `cached tokens count up to the first part that an engine lacks`() {
        index.recordCached(listOf(part("a", 100), part("b", 50)), one)
        index.recordCached(listOf(part("b", 50)), two)
        expectThat(index.cachedTokens(prompt)).isEqualTo(mapOf(one to 150))
        index.recordCached(listOf(part("a", 100)), two)
        expectThat(index.cachedTokens(prompt)).isEqualTo(mapOf(one to 150, two to 150))
        expectThat(index.cachedTokens(Prompt(listOf(part("own", 10)), 10, 10))).isEqualTo(emptyMap())
    }

    // Guards against entries that remain in the index after an engine has restarted with an empty cache.
    @Test
    fun `a removed engine has no entries`() {
        index.recordCached(listOf(part("a", 100)), one)
        index.removeEngines(setOf(one))
        expectThat(index.cachedTokens(prompt)).isEqualTo(emptyMap())
        expectThat(index.recentUpdates()).isEqualTo(emptyMap())
    }

    // Guards against updates that are lost with a single message, and against updates that are repeated without end.
    @Test
    fun `updates are repeated for a limited time and forwarded once`() {
        val peer = PromptCacheIndex { now }
        index.recordCached(listOf(part("a", 100)), one)
        expectThat(index.recentUpdates()).isEqualTo(mapOf(one to listOf(partCode(PromptPartId("a")))))
        peer.merge(index.recentUpdates())
        peer.merge(index.recentUpdates())
        expectThat(peer.recentUpdates()).isEqualTo(mapOf(one to listOf(partCode(PromptPartId("a")))))
        now = 2_000
        expectThat(index.recentUpdates()).isEqualTo(emptyMap())
        expectThat(peer.snapshot()).isEqualTo(mapOf(one to listOf(partCode(PromptPartId("a")))))
    }

    // Guards against a message whose size is not limited when many parts are added at once.
    @Test
    fun `many updates are spread over several messages`() {
        index.merge(mapOf(one to List(2_500) { PartCode("p$it") }))
        val received = HashSet<PartCode>()
        repeat(4) {
            val batch = index.recentUpdates().values.flatten()
            expectThat(batch.size <= 1_000).isEqualTo(true)
            received += batch
            now += 1_300
        }
        expectThat(received.size).isEqualTo(2_500)
    }
}
