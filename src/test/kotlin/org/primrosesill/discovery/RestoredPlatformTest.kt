/*
 * What a directory makes of a platform that was restored from a copy, which lacks the last changes.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testPool
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Time at which the first content of the new era is received. */
private const val RESTORED_AT = 60_000L

/** Times after the restoration: before and after the time for which contradicting items are held. */
private const val SOON = RESTORED_AT + 1_500
private const val LATER = RESTORED_AT + 5_000

class RestoredPlatformTest {
    private var directory = UpstreamDirectory(TextItemDecoder)

    private fun state(key: String): String =
        when {
            key == "config" -> "version ${directory.view().configuration?.version}"
            key.startsWith("zone/") -> if (directory.view().evacuatedZones.isEmpty()) "in service" else "evacuated"
            else -> upstreamState(key.removePrefix("up/"))
        }

    private fun upstreamState(id: String): String {
        val view = directory.view()
        return when {
            view.eligible(testPool).any { it.id.value == id } -> "ready"
            view.upstreamIds.any { it.value == id } -> "draining"
            else -> "gone"
        }
    }

    private fun list(revision: PlatformRevision, items: List<PlatformItem>, at: Long): List<DirectoryChange> {
        directory.reachability.recordResponse(at)
        return directory.applyListing(PlatformListing(revision, items), at)
    }

    private fun change(item: PlatformItem, at: Long, era: Long = 1) {
        directory.applyChanges(
            directory.revision,
            PlatformChanges(PlatformRevision(item.revision, era), listOf(item)),
            at,
        )
    }

    private fun respondUntil(millis: Long) =
        (RESTORED_AT..millis step 500).forEach {
            directory.reachability.recordResponse(it)
            directory.tick(it)
        }

    /** Receives [known] and then [lost], which the copy does not have, in the first era. */
    private fun receive(known: PlatformItem?, lost: PlatformItem) {
        directory = UpstreamDirectory(TextItemDecoder)
        list(PlatformRevision(10, 1), listOfNotNull(anchor, known), at = 0)
        change(lost, at = 1_000)
        directory.tick(RESTORED_AT - 1_000)
        directory.reachability.recordResponse(RESTORED_AT)
    }

    /**
     * @property copied the item in the copy, or null if the copy lacks it
     * @property lost the last change before the restoration
     */
    private class Case(
        val name: String,
        val copied: PlatformItem?,
        val lost: PlatformItem,
        val soon: String,
        val later: String,
    )

    // Guards against a lost change that is undone before it is written again, and against items that stay for ever although
    // nobody writes them again.
    @TestFactory
    fun `a restored platform does not undo at once what was received before`(): List<DynamicTest> =
        listOf(
            Case("an upstream that joined", null, item("up/1", 20, "ready"), "ready", "gone"),
            Case(
                "an upstream that drains",
                item("up/1", 2, "ready"),
                item("up/1", 20, "draining"),
                "draining",
                "draining",
            ),
            Case("an upstream that left", item("up/1", 2, "ready"), item("up/1", 20, null), "gone", "ready"),
            Case(
                "a draining upstream that left",
                item("up/1", 2, "draining"),
                item("up/1", 20, null),
                "draining",
                "draining",
            ),
            Case("an upstream that joined draining", null, item("up/1", 20, "draining"), "gone", "gone"),
            Case("a zone that was evacuated", null, item("zone/a", 20, "1"), "evacuated", "in service"),
            Case("a zone back in service", item("zone/a", 2, "1"), item("zone/a", 20, null), "in service", "evacuated"),
            Case("a configuration", item("config", 2, "3"), item("config", 20, "7"), "version 7", "version 7"),
            Case("the first configuration", null, item("config", 20, "7"), "version 7", "version 7"),
        ).map { case ->
            dynamicTest(case.name) {
                receive(case.copied, case.lost)
                list(PlatformRevision(11, 2), listOfNotNull(anchor, case.copied), at = RESTORED_AT)
                respondUntil(SOON)
                expectThat(state(case.lost.key)).describedAs("soon").isEqualTo(case.soon)
                respondUntil(LATER)
                expectThat(state(case.lost.key)).describedAs("later").isEqualTo(case.later)
            }
        }

    /** @property rewritten the change in the new era, under a revision that was given out before */
    private class RewriteCase(val name: String, val lost: PlatformItem, val rewritten: PlatformItem, val state: String)

    // Guards against a change that is ignored because its revision was given out before the restoration.
    @TestFactory
    fun `what is written after the restoration is applied at once`(): List<DynamicTest> =
        listOf(
            RewriteCase("a configuration", item("config", 20, "7"), item("config", 12, "8"), "version 8"),
            RewriteCase("a lower version", item("config", 20, "7"), item("config", 12, "6"), "version 7"),
            RewriteCase("an upstream that left is back", item("up/1", 20, null), item("up/1", 12, "ready"), "ready"),
            RewriteCase("an upstream drains", item("up/1", 20, "ready"), item("up/1", 12, "draining"), "draining"),
            RewriteCase("a draining upstream leaves", item("up/1", 20, "draining"), item("up/1", 12, null), "gone"),
            RewriteCase(
                "a draining upstream restarts",
                item("up/1", 20, "draining"),
                item("up/1", 12, "ready"),
                "ready",
            ),
            RewriteCase("a zone is evacuated", item("zone/a", 20, null), item("zone/a", 12, "1"), "evacuated"),
        ).map { case ->
            dynamicTest(case.name) {
                receive(item("up/1", 2, "ready"), case.lost)
                list(PlatformRevision(11, 2), listOf(anchor, item("up/1", 2, "ready")), at = RESTORED_AT)
                change(case.rewritten, at = RESTORED_AT + 100, era = 2)
                expectThat(state(case.lost.key)).isEqualTo(case.state)
                respondUntil(LATER)
                expectThat(state(case.lost.key)).describedAs("later").isEqualTo(case.state)
            }
        }

    // Guards against a second restoration that undoes what was held during the first one.
    @Test
    fun `an upstream that left stays gone through two restorations`() {
        receive(item("up/1", 2, "ready"), item("up/1", 20, null))
        repeat(2) { round ->
            val at = RESTORED_AT + 1_000 * round
            list(PlatformRevision(11, 2L + round), listOf(anchor, item("up/1", 2, "ready")), at)
            expectThat(state("up/1")).isEqualTo("gone")
        }
    }

    // Guards against a live upstream that is held because its entry expired just before the restoration.
    @Test
    fun `an upstream whose entry expired a moment before stays in use`() {
        list(PlatformRevision(10, 1), listOf(anchor, item("up/1", 2, "ready")), at = RESTORED_AT - 500)
        change(item("up/1", 20, null), at = RESTORED_AT - 100)
        list(PlatformRevision(11, 2), listOf(anchor, item("up/1", 2, "ready")), at = RESTORED_AT)
        respondUntil(LATER)
        expectThat(state("up/1")).isEqualTo("ready")
    }

    // Guards against a late response of an older era that replaces the newer content.
    @Test
    fun `updates of an older era are rejected`() {
        list(PlatformRevision(11, 2), listOf(anchor), at = 0)
        val rejected = list(PlatformRevision(50, 1), listOf(item("up/1", 40, "ready")), at = 100)
        expectThat(rejected).any { isA<DirectoryChange.OlderEraRejected>() }
        change(item("up/1", 41, "ready"), at = 200, era = 1)
        expectThat(directory.revision).isEqualTo(PlatformRevision(11, 2))
        expectThat(state("up/1")).isEqualTo("gone")
    }

    // Guards against a view that mixes two eras, because a peer relayed only the last changes of the newer one.
    @Test
    fun `changes of a newer era are applied only with its complete content`() {
        receive(null, item("up/1", 20, "ready"))
        val changes = PlatformChanges(PlatformRevision(13, 2), listOf(item("up/2", 13, "ready")))
        directory.applyChanges(PlatformRevision(12, 2), changes, RESTORED_AT)
        expectThat(directory.revision).isEqualTo(PlatformRevision(20, 1))
        directory.applyChanges(PlatformRevision(20, 1), changes, RESTORED_AT)
        expectThat(directory.revision).isEqualTo(PlatformRevision(13, 2))
        expectThat(state("up/2")).isEqualTo("ready")
        respondUntil(LATER)
        expectThat(state("up/1")).describedAs("an upstream that the new era lacks").isEqualTo("gone")
    }

    // Guards against a gateway that starts after the restoration and receives an older configuration from its peers.
    @Test
    fun `peers receive the active configuration after the platform has lost it`() {
        receive(item("config", 2, "3"), item("config", 20, "7"))
        list(PlatformRevision(11, 2), listOf(anchor, item("config", 2, "3")), at = RESTORED_AT)
        val relayed = directory.itemsAfter(PlatformRevision(20, 1)).associate { it.key to it.value }
        expectThat(relayed).isEqualTo(mapOf<String, String?>(anchor.key to anchor.value, "config" to "7"))
        expectThat(directory.itemsAfter(PlatformRevision(11, 2)).map { it.key }).isEqualTo(emptyList())
        // What was deleted between revision 9 and the listing is unknown, so that a peer needs the complete content.
        expectThat(directory.itemsAfter(PlatformRevision(9, 2)).map { it.key }.toSet())
            .isEqualTo(setOf(anchor.key, "config"))
        expectThat(directory.itemsAfter(PlatformRevision(0, 2)).map { it.key }).contains("config")
    }

    private companion object {
        /** An item that no case changes. */
        val anchor = item("up/anchor", 1, "ready")
    }
}
