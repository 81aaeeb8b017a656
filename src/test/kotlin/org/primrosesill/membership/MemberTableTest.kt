/*
 * Which routers the member table reports as live, and which it counts for a claim.
 */
package org.primrosesill.membership

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class MemberTableTest {
    private fun member(
        name: String,
        heartbeat: Long = 1,
        startedAt: Long = 0,
        address: String = name,
        leaving: Boolean = false,
    ) = Member(
        RouterId(name),
        address,
        AvailabilityZoneId("a"),
        startedAt,
        heartbeat,
        if (leaving) MemberState.LEAVING else MemberState.LIVE,
    )

    private class Case(val table: MemberTable) {
        val log = ArrayList<String>()

        fun record(changes: List<MemberChange>) =
            changes.mapTo(log) { "${it::class.simpleName?.lowercase()} ${it.member.router}" }

        fun possiblyAliveSince(instant: Long) = table.possiblyAliveSince(instant).map { it.router.value }
    }

    // Guards against a router that ignores a live peer, or counts itself as the whole fleet.
    @TestFactory
    fun `the member table`(): List<DynamicTest> =
        listOf(
            memberTableCase("reports join, silence and return once each", listOf("joined b", "lost b", "joined b")) {
                record(table.observe(member("b", 1), 0))
                (1L..8).forEach { record(table.tick(it * 1_000)) }
                record(table.observe(member("b", 1), 9_000))
                record(table.observe(member("b", 2), 9_500))
                log
            },
            memberTableCase("keeps a router through flapping shorter than the timeout", listOf("joined b")) {
                (0L..20).forEach { step ->
                    if (step % 3 == 0L) record(table.observe(member("b", step), step * 1_500))
                    record(table.tick(step * 1_500))
                }
                log
            },
            memberTableCase(
                "reports a stopping router as leaving before it is lost",
                listOf("joined b", "leaving b", "lost b"),
            ) {
                record(table.observe(member("b", 1), 0))
                record(table.observe(member("b", 2, leaving = true), 500))
                (1L..8).forEach { record(table.tick(it * 1_000)) }
                log
            },
            memberTableCase("loses no router right after a pause", listOf("joined b")) {
                record(table.observe(member("b", 1), 0))
                record(table.tick(500))
                record(table.tick(60_000))
                record(table.tick(64_000))
                log
            },
            memberTableCase("loses a silent router when the timeout after a pause ends", listOf("joined b", "lost b")) {
                record(table.observe(member("b", 1), 0))
                record(table.tick(500))
                (60L..66).forEach { record(table.tick(it * 1_000)) }
                log
            },
            memberTableCase("replaces an incarnation at the same address", listOf("joined b", "lost b", "joined b2")) {
                record(table.observe(member("b", 1), 0))
                record(table.observe(member("b2", 1, startedAt = 50, address = "b"), 100))
                record(table.observe(member("b", 9), 200))
                log
            },
            memberTableCase("keeps live routers when the VM list is empty", listOf("b", "c", "self")) {
                table.updateVmList(setOf("self", "b", "c"))
                listOf("b", "c").forEach { table.observe(member(it), 0) }
                table.updateVmList(emptySet())
                table.live().map { it.router.value }
            },
            memberTableCase("counts a listed address without heartbeats", listOf("self", "unheard@b")) {
                table.updateVmList(setOf("self", "b"))
                possiblyAliveSince(1_000_000)
            },
            memberTableCase("counts a silent router that is listed", listOf("b", "self")) {
                table.updateVmList(setOf("self", "b"))
                table.observe(member("b"), 0)
                (1L..20).forEach { table.tick(it * 1_000) }
                possiblyAliveSince(19_000)
            },
            memberTableCase(
                "excludes a third that is silent and not listed",
                listOf("b", "self"),
            ) { loseUnlisted("b", silent = listOf("c")) },
            memberTableCase(
                "ignores a list that drops half",
                listOf("b", "c", "d", "self"),
            ) { loseUnlisted("b", silent = listOf("c", "d")) },
            memberTableCase("counts a router lost after the instant", listOf("b", "c", "d", "self")) {
                listOf("b", "c", "d").forEach { table.observe(member(it), 0) }
                (1L..20).forEach { table.tick(it * 1_000) }
                possiblyAliveSince(2_000)
            },
        )

    /**
     * Sends heartbeats of [alive] until the [silent] routers, which are not listed, are lost. Returns the routers that
     * count for a new key.
     */
    private fun Case.loseUnlisted(alive: String, silent: List<String>): List<String> {
        (silent + alive).forEach { table.observe(member(it), 0) }
        table.updateVmList(setOf("self", alive))
        (1L..20).forEach {
            table.observe(member(alive, 1 + it), it * 1_000)
            table.tick(it * 1_000)
        }
        return possiblyAliveSince(19_000)
    }

    private fun memberTableCase(name: String, expected: List<String>, run: Case.() -> List<String>): DynamicTest =
        DynamicTest.dynamicTest(name) {
            expectThat(Case(MemberTable(member("self"), emptySet(), expectsVmList = true)).run()).isEqualTo(expected)
        }
}
