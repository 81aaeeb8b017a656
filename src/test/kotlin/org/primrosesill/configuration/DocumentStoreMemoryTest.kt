/*
 * Memory use of the document store and duration of a change at the target size, for the capacity page. Guards against a
 * store that exceeds the 32 MB for the control state of a router.
 */
package org.primrosesill.configuration

import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.primrosesill.generated.ConfigurationPage
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

@Tag("benchmark")
class DocumentStoreMemoryTest {
    @Test
    fun `41,000 contracts fit into the control memory of a router`() {
        val before = usedBytes()
        val store = DocumentStore()
        for (first in 1L..41_000L step 1_000) {
            val entries =
                (first until first + 1_000).map {
                    contractEntry(
                        "customer-$it",
                        it,
                        5,
                        "%064x".format(it).take(2),
                    )
                }
            store.apply(ConfigurationPage(first + 999, entries.map(::withDistinctCredential)), 0)
        }
        val bytes = usedBytes() - before
        val startedNanos = System.nanoTime()
        store.apply(page(contractEntry("customer-1", 50_000)), 0)
        val applyMillis = (System.nanoTime() - startedNanos) / 1e6
        println(
            "memory contracts=${store.snapshot.contracts.size} bytes=$bytes apply-one-change-millis=%.1f".format(
                applyMillis,
            ),
        )
        expectThat(bytes).isLessThanOrEqualTo(32_000_000L)
    }

    /** Gives every contract a distinct credential, as in a production fleet. */
    private fun withDistinctCredential(entry: org.primrosesill.generated.ConfigurationEntry) =
        entry.copy(
            body =
                kotlinx.serialization.json.JsonObject(
                    entry.body.orEmpty() +
                        (
                            "credentialHashes" to
                                kotlinx.serialization.json.Json
                                    .parseToJsonElement("[\"%064x\"]".format(entry.revision))
                        ),
                ),
        )

    private fun usedBytes(): Long {
        repeat(5) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}
