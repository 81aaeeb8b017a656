/*
 * Directories that relay the changes of a store to each other, in random orders of writes, listings, watches, pages,
 * announcements, restarts and compactions. Once all have caught up, each has what the store has.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** A store whose history reaches back to a compacted revision. */
private class RandomStore(private val random: Random, private val hasUnreadable: Boolean) {
    val items = HashMap<String, PlatformItem>()
    private var compactedRevision = 0L
    var revision = 0L
        private set

    /** The items that can be used. */
    val content: Map<String, String?> get() = usableContent(items.values)

    fun write() {
        val key = KEYS.random(random)
        val value =
            if (key.startsWith("zone/")) {
                "out"
            } else if (hasUnreadable && random.nextInt(3) == 0) {
                UNREADABLE
            } else if (random.nextInt(4) == 0) {
                "draining"
            } else {
                "ready"
            }
        val isDeletion = items[key]?.isDeleted == false && random.nextInt(2) == 0
        items[key] = PlatformItem(key, ++revision, if (isDeletion) null else value)
    }

    fun compact() {
        compactedRevision = revision
    }

    fun list() = PlatformListing(PlatformRevision(revision), items.values.filterNot { it.isDeleted })

    /** Returns the changes after [since], or null if they are compacted. */
    fun watch(since: PlatformRevision): PlatformChanges? {
        if (since.number < compactedRevision) return null
        return PlatformChanges(PlatformRevision(revision), items.values.filter { it.revision > since.number })
    }

    private companion object {
        val KEYS = List(5) { "up/$it" } + List(2) { "zone/$it" }
    }
}

/** A value that [TextItemDecoder] cannot decode. */
private const val UNREADABLE = "garbage"

private fun usableContent(items: Collection<PlatformItem>): Map<String, String?> =
    items.filterNot { it.isDeleted || it.value == UNREADABLE }.associate { it.key to it.value }

private class RandomFleet(private val random: Random, private val case: RelayCase) {
    private val store = RandomStore(random, case.hasUnreadable)
    private val directories = Array(DIRECTORIES) { newDirectory() }
    private val announcedRevisions = Array(DIRECTORIES) { PlatformRevision.NONE }

    /** Pages and announcements on their way. */
    private val messages = ArrayList<() -> Unit>()

    fun run(): List<String> {
        repeat(STEPS) { step() }
        messages.forEach { it() }
        directories.indices.forEach { watch(it) }
        directories.forEach { it.tick(Long.MAX_VALUE / 2) }
        return directories.indices.mapNotNull { difference(it) }
    }

    private fun step() {
        val node = random.nextInt(DIRECTORIES)
        when (random.nextInt(STEP_KINDS)) {
            0, 1, 2 -> store.write()
            3 -> if (case.repeatsListings || directories[node].revision == PlatformRevision.NONE) list(node)
            4 -> watch(node)
            5, 6 -> fetch(node, from = random.nextInt(DIRECTORIES))
            7 -> announce(node)
            8 -> if (messages.isNotEmpty()) messages.removeAt(random.nextInt(messages.size))()
            9 -> if (case.restarts && random.nextInt(3) == 0) restart(node)
            else -> if (case.repeatsListings && random.nextInt(3) == 0) store.compact()
        }
    }

    private fun list(node: Int) {
        directories[node].applyListing(store.list(), 0)
    }

    private fun watch(node: Int) {
        val directory = directories[node]
        val changes = if (directory.revision == PlatformRevision.NONE) null else store.watch(directory.revision)
        if (changes == null) list(node) else directory.applyChanges(directory.revision, changes, 0)
    }

    private fun fetch(node: Int, from: Int) = send(node, from, directories[node].revision)

    /** Sends the changes since the last announcement of [node] to all others. */
    private fun announce(node: Int) {
        val since = announcedRevisions[node]
        announcedRevisions[node] = directories[node].revision
        directories.indices.filter { it != node }.forEach { send(it, from = node, since) }
    }

    private fun send(to: Int, from: Int, since: PlatformRevision) {
        val sender = directories[from]
        val receiver = directories[to]
        if (sender.revision == PlatformRevision.NONE) return
        val recordedSince = sender.recordedSinceLaterThan(since).takeIf { case.reportsSpans }
        val page = PlatformChanges(sender.revision, sender.itemsAfter(since), recordedSince)
        messages += { if (directories[to] === receiver) receiver.applyChanges(since, page, 0) }
    }

    private fun newDirectory() =
        UpstreamDirectory(TextItemDecoder, DirectorySettings(maximumUnusedItems = case.maximumUnusedItems))

    private fun restart(node: Int) {
        directories[node] = newDirectory()
        announcedRevisions[node] = PlatformRevision.NONE
    }

    private fun difference(node: Int): String? {
        val directory = directories[node]
        val content = usableContent(directory.itemsAfter(PlatformRevision.NONE))
        if (content != store.content) return "directory $node has $content, the store ${store.content}"
        val listed = content.keys.filter { it.startsWith("up/") }.toSet()
        val used = directory.view().upstreamIds.mapTo(HashSet()) { "up/${it.value}" }
        return if (used == listed) null else "directory $node uses $used, the store lists $listed"
    }

    private companion object {
        const val DIRECTORIES = 4
        const val STEPS = 60
        const val STEP_KINDS = 11
    }
}

/**
 * @property reportsSpans whether directories report since when they have recorded all changes; earlier versions do not
 * @property hasUnreadable whether values are written that cannot be decoded
 * @property maximumUnusedItems number of deleted and unreadable items that directories keep
 */
private data class RelayCase(
    val name: String,
    val restarts: Boolean,
    val repeatsListings: Boolean,
    val reportsSpans: Boolean = true,
    val hasUnreadable: Boolean = false,
    val maximumUnusedItems: Int = 1_000,
)

class RelayedChangesTest {
    /** 500 in CI; a longer run sets the system property. */
    private val seeds = 1L..(Integer.getInteger("relayed.changes.seeds", 500))

    private val relayCases =
        listOf(
            RelayCase("neither restarts nor repeated listings", restarts = false, repeatsListings = false),
            RelayCase("restarts", restarts = true, repeatsListings = false),
            RelayCase("repeated listings", restarts = false, repeatsListings = true),
            RelayCase("restarts and repeated listings", restarts = true, repeatsListings = true),
        )

    private fun differences(case: RelayCase): List<String> =
        seeds.mapNotNull { seed ->
            RandomFleet(Random(seed), case).run().takeIf { it.isNotEmpty() }?.let { "seed $seed: $it" }
        }

    // Guards against a directory that keeps what was deleted, as the peer from which it fetched had not seen the deletion
    // (issue 41, review/3).
    @TestFactory
    fun `directories that have caught up have what the store has`(): List<DynamicTest> =
        relayCases.map { case -> dynamicTest(case.name) { expectThat(differences(case)).isEmpty() } }

    // Guards against a directory that uses an entry which another writer has made unreadable, or ignores one that is readable
    // again, as it has removed its record of that, or received it by relay (issue 55).
    @TestFactory
    fun `directories that keep few unusable items use what the store has`(): List<DynamicTest> =
        listOf(0, 1, 2, 4, 1_000).flatMap { kept ->
            relayCases.map { it.copy(hasUnreadable = true, maximumUnusedItems = kept) }.map { case ->
                dynamicTest("${case.name}, $kept kept") { expectThat(differences(case)).isEmpty() }
            }
        }

    // Shows that the orders above reach the fault when directories do not report since when they have recorded all changes.
    @Test
    fun `without the recorded spans some directories keep what was deleted`() {
        val case = RelayCase("no spans", restarts = true, repeatsListings = true, reportsSpans = false)
        val count = differences(case).size
        println("$count of ${seeds.count()} seeds differ without recorded spans")
        expectThat(count).isGreaterThan(0)
    }

    // Guards against the order of review/3: one gateway lists before the removal of an upstream, another one after it.
    @Test
    fun `an upstream that left between the listings of two gateways is removed at both`() {
        val first = UpstreamDirectory(TextItemDecoder)
        val second = UpstreamDirectory(TextItemDecoder)
        val kept = item("up/kept", 1, "ready")
        first.applyListing(PlatformListing(PlatformRevision(2), listOf(kept, item("up/left", 2, "ready"))), 0)
        second.applyListing(PlatformListing(PlatformRevision(3), listOf(kept)), 0)
        val recordedSince = second.recordedSinceLaterThan(first.revision)
        val page = PlatformChanges(second.revision, second.itemsAfter(first.revision), recordedSince)
        first.applyChanges(first.revision, page, 0)
        first.tick(Long.MAX_VALUE / 2)
        expectThat(first.view().upstreamIds.map { it.value }).isEqualTo(listOf("kept"))
    }
}
