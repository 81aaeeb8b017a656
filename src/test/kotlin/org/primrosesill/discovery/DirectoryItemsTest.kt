/*
 * The items that a directory keeps, of which only those in use may grow in number with what others write.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class DirectoryItemsTest {
    private val directory = UpstreamDirectory(TextItemDecoder, DirectorySettings(maximumUnusedItems = MAXIMUM))

    private fun apply(vararg items: PlatformItem) =
        directory.applyChanges(
            directory.revision,
            PlatformChanges(PlatformRevision(items.maxOf { it.revision }), items.toList()),
            0,
        )

    private fun listed(directory: UpstreamDirectory): List<String> {
        val ids = directory.view().upstreamIds
        return ids.map { it.value }.sorted()
    }

    private class Case(val name: String, val value: String?)

    // Guards against keys that others write or delete and that are recorded without a limit (issue 55).
    @TestFactory
    fun `the number of items without a use is limited, and those in use remain`(): List<DynamicTest> =
        listOf(Case("unreadable", "garbage"), Case("deleted", null)).map { case ->
            dynamicTest(case.name) {
                val directory = UpstreamDirectory(TextItemDecoder, DirectorySettings(maximumUnusedItems = MAXIMUM))
                val items = List(1_000) { item("up/other$it", 10L + it, case.value) }
                val listedRevision = PlatformRevision(1)
                directory.applyListing(PlatformListing(listedRevision, listOf(item("up/used", 1, "ready"))), 0)
                directory.applyChanges(listedRevision, PlatformChanges(PlatformRevision(2_000), items), 0)
                val kept = directory.itemsAfter(PlatformRevision.NONE)
                expectThat(kept.size).isLessThanOrEqualTo(MAXIMUM + 1)
                expectThat(kept.filter { it.value == "ready" }).hasSize(1)
                expectThat(directory.recordedSinceLaterThan(PlatformRevision(500))).isEqualTo(
                    PlatformRevision(1_009L - MAXIMUM / 2),
                )
                expectThat(directory.recordedSinceLaterThan(PlatformRevision(1_500))).isEqualTo(null)
            }
        }

    // Guards against a log line for each heartbeat of a writer whose entry nobody can read.
    @Test
    fun `an entry that becomes unreadable or readable is reported once`() {
        val changes =
            listOf("garbage", "garbage", "garbage", "ready", "ready", "garbage", null, "garbage", "ready").mapIndexed {
                index,
                value,
                ->
                apply(item("up/1", 1L + index, value)).filter {
                    it is DirectoryChange.ItemRejected || it is DirectoryChange.ItemAccepted
                }
            }
        val names = changes.map { reported -> reported.joinToString { checkNotNull(it::class.simpleName) } }
        expectThat(names).containsExactly(
            "ItemRejected",
            "",
            "",
            "ItemAccepted",
            "",
            "ItemRejected",
            "",
            "ItemRejected",
            "ItemAccepted",
        )
    }

    // Guards against one item that ends the update of all others, again and again.
    @Test
    fun `an item whose decoding fails does not end the update`() {
        val failing =
            object : PlatformItemDecoder by TextItemDecoder {
                override fun decode(item: PlatformItem, previous: DecodedItem.Configuration?): DecodedItem =
                    if (item.value == "poison") error("unexpected") else TextItemDecoder.decode(item)
            }
        val directory = UpstreamDirectory(failing)
        val items = listOf(item("up/1", 1, "ready"), item("up/2", 2, "poison"), item("up/3", 3, "ready"))
        directory.applyListing(PlatformListing(PlatformRevision(3), items), 0)
        expectThat(listed(directory)).containsExactly("1", "3")
        expectThat(directory.revision).isEqualTo(PlatformRevision(3))
    }

    // Guards against an update of which a part is lost for ever, because an error ended it between the record of an item and
    // its effect.
    @Test
    fun `an update that an error has ended takes effect when it is received again`() {
        var failures = 1
        val failing =
            object : PlatformItemDecoder by TextItemDecoder {
                override fun decode(item: PlatformItem, previous: DecodedItem.Configuration?): DecodedItem =
                    if (item.key == "up/2" && failures-- > 0) {
                        throw OutOfMemoryError("test")
                    } else {
                        TextItemDecoder.decode(item)
                    }
            }
        val directory = UpstreamDirectory(failing)
        val listing = PlatformListing(PlatformRevision(2), listOf(item("up/1", 1, "ready"), item("up/2", 2, "ready")))
        val first = runCatching { directory.applyListing(listing, 0) }
        expectThat(first.exceptionOrNull() is OutOfMemoryError).isEqualTo(true)
        directory.applyListing(listing, 0)
        expectThat(listed(directory)).containsExactly("1", "2")
    }

    private class IncompleteCase(val name: String, val era: Long)

    // Guards against a gateway that has no upstreams until the last page of a long listing, and against a first listing that
    // counts as a restoration of the platform.
    @TestFactory
    fun `the first pages of a listing are in use before its end`(): List<DynamicTest> =
        listOf(IncompleteCase("a platform without eras", 0), IncompleteCase("the third era", 3)).map { case ->
            dynamicTest(case.name) {
                val directory = UpstreamDirectory(TextItemDecoder)
                val first = listOf(item("up/1", 1, "ready"), item("up/2", 2, "ready"))
                val revision = PlatformRevision(9, case.era)
                directory.applyIncompleteListing(PlatformListing(revision, first), 0)
                expectThat(listed(directory)).containsExactly("1", "2")
                expectThat(directory.revision).isEqualTo(PlatformRevision.NONE)
                val changes =
                    directory.applyListing(PlatformListing(revision, first.take(1) + item("up/3", 3, "ready")), 0)
                expectThat(changes.filterIsInstance<DirectoryChange.PlatformRestored>()).isEmpty()
                directory.tick(Long.MAX_VALUE / 2)
                expectThat(listed(directory)).containsExactly("1", "3")
                expectThat(directory.revision).isEqualTo(revision)
            }
        }

    // Guards against a page of a listing that undoes or removes what a gateway knows already.
    @Test
    fun `a page of a listing in progress deletes nothing`() {
        apply(item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        directory.applyIncompleteListing(PlatformListing(PlatformRevision(5), listOf(item("up/3", 5, "ready"))), 0)
        directory.applyIncompleteListing(PlatformListing(PlatformRevision(5, 1), listOf(item("up/4", 5, "ready"))), 0)
        expectThat(listed(directory)).containsExactly("1", "2", "3")
        expectThat(directory.revision).isEqualTo(PlatformRevision(2))
    }

    private companion object {
        const val MAXIMUM = 100
    }
}
