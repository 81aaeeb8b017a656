/*
 * Which routers the member table holds for alive, and which it counts for a claim.
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

        fun note(changes: List<MemberChange>) =
            changes.mapTo(log) { "${it::class.simpleName?.lowercase()} ${it.member.router}" }

        fun counted(instant: Long) = table.mayHaveBeenAliveAt(instant).map { it.router.value }
    }

    // Guards against a router that routes around a live peer, or counts itself as the whole fleet.
    @TestFactory
    fun `the member table`(): List<DynamicTest> =
        listOf(
            check("reports join, silence and return once each", listOf("joined b", "lost b", "joined b")) {
                note(table.observe(member("b", 1), 0))
                (1L..8).forEach { note(table.tick(it * 1_000)) }
                note(table.observe(member("b", 1), 9_000))
                note(table.observe(member("b", 2), 9_500))
                log
            },
            check("keeps a router through flapping shorter than the timeout", listOf("joined b")) {
                (0L..20).forEach { step ->
                    if (step % 3 == 0L) note(table.observe(member("b", step), step * 1_500))
                    note(table.tick(step * 1_500))
                }
                log
            },
            check("reports a stopping router as leaving before it is lost", listOf("joined b", "leaving b", "lost b")) {
                note(table.observe(member("b", 1), 0))
                note(table.observe(member("b", 2, leaving = true), 500))
                (1L..8).forEach { note(table.tick(it * 1_000)) }
                log
            },
            check("loses nobody on waking from a pause", listOf("joined b")) {
                note(table.observe(member("b", 1), 0))
                note(table.tick(500))
                note(table.tick(60_000))
                note(table.tick(64_000))
                log
            },
            check("loses a silent router after waking too", listOf("joined b", "lost b")) {
                note(table.observe(member("b", 1), 0))
                note(table.tick(500))
                (60L..66).forEach { note(table.tick(it * 1_000)) }
                log
            },
            check("replaces an incarnation at the same address", listOf("joined b", "lost b", "joined b2")) {
                note(table.observe(member("b", 1), 0))
                note(table.observe(member("b2", 1, startedAt = 50, address = "b"), 100))
                note(table.observe(member("b", 9), 200))
                log
            },
            check("keeps heard routers under an empty VM list", listOf("b", "c", "self")) {
                table.updateVmList(setOf("self", "b", "c"))
                listOf("b", "c").forEach { table.observe(member(it), 0) }
                table.updateVmList(emptySet())
                table.live().map { it.router.value }
            },
            check("counts a listed address from which nothing was heard", listOf("self", "unheard@b")) {
                table.updateVmList(setOf("self", "b"))
                counted(1_000_000)
            },
            check("counts a silent router that is listed", listOf("b", "self")) {
                table.updateVmList(setOf("self", "b"))
                table.observe(member("b"), 0)
                (1L..20).forEach { table.tick(it * 1_000) }
                counted(19_000)
            },
            check(
                "drops a third that is silent and not listed",
                listOf("b", "self"),
            ) { vanish("b", silent = listOf("c")) },
            check(
                "believes no list that drops half",
                listOf("b", "c", "d", "self"),
            ) { vanish("b", silent = listOf("c", "d")) },
            check("counts a router lost after the instant", listOf("b", "c", "d", "self")) {
                listOf("b", "c", "d").forEach { table.observe(member(it), 0) }
                (1L..20).forEach { table.tick(it * 1_000) }
                counted(2_000)
            },
        )

    /** Leaves [heard] alive and the [silent] routers lost and not listed, and returns who counts for a new key. */
    private fun Case.vanish(heard: String, silent: List<String>): List<String> {
        (silent + heard).forEach { table.observe(member(it), 0) }
        table.updateVmList(setOf("self", heard))
        (1L..20).forEach {
            table.observe(member(heard, 1 + it), it * 1_000)
            table.tick(it * 1_000)
        }
        return counted(19_000)
    }

    private fun check(name: String, expected: List<String>, run: Case.() -> List<String>): DynamicTest =
        DynamicTest.dynamicTest(name) {
            expectThat(Case(MemberTable(member("self"), emptySet(), expectsVmList = true)).run()).isEqualTo(expected)
        }
}
