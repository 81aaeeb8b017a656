/*
 * The upstream table: which inputs change the state of an upstream, and which are ignored.
 */
package org.primrosesill.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.VmState
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class UpstreamTableTest {
    /**
     * One case: [act] on a table with warm engine-1 (zone a) and engine-2 (zone b) at 1 s, the expected state of
     * upstreams at [atMillis] ("lost" if it was removed), and the events since 1 s.
     */
    private class Case(
        val name: String,
        val expected: Map<String, String>,
        val events: List<EventType> = emptyList(),
        val atMillis: Long = 1_500,
        val act: UpstreamTable.() -> Unit,
    )

    private val both = mapOf("engine-1" to "warm", "engine-2" to "warm")

    private val cases =
        listOf(
            Case("an empty VM list removes no upstream", both) { applyVmList(vms(2), 1_200) },
            Case("an older VM list changes nothing", both) {
                applyVmList(vms(0, engine("engine-1", state = VmState.LEAVING)), 1_200)
            },
            Case("an unlisted upstream that responds to load polls is kept", both, atMillis = 60_000) {
                applyVmList(vms(2, engine("engine-1")), 1_200)
                applyReports(listOf(report("engine-1", 59_900), report("engine-2", 59_900)), 59_900)
            },
            Case(
                "an unlisted upstream without reports is lost",
                mapOf("engine-1" to "warm", "engine-2" to "lost"),
                listOf(EventType.UPSTREAM_LOST),
                atMillis = 12_000,
            ) {
                applyVmList(vms(2, engine("engine-1")), 1_200)
                applyReports(listOf(report("engine-1", 11_900)), 11_900)
            },
            Case(
                "an unlisted upstream is lost after its expiry although it reports",
                mapOf("engine-1" to "warm", "engine-2" to "lost"),
                listOf(EventType.UPSTREAM_LOST),
                atMillis = 700_000,
            ) {
                applyVmList(vms(2, engine("engine-1")), 1_200)
                applyReports(listOf(report("engine-1", 699_900), report("engine-2", 699_900)), 699_900)
            },
            Case(
                "an upstream stays leaving although a later VM list and report list it as live",
                mapOf("engine-1" to "the upstream is leaving", "engine-2" to "warm"),
                listOf(EventType.UPSTREAM_LEAVING),
            ) {
                applyVmList(vms(2, engine("engine-1", state = VmState.LEAVING), engine("engine-2", "b")), 1_200)
                applyVmList(vms(3, engine("engine-1"), engine("engine-2", "b")), 1_300)
                applyReports(listOf(report("engine-1", 1_400)), 1_400)
            },
            Case(
                "an upstream that was lost while leaving is leaving when it is listed again",
                mapOf("engine-1" to "the upstream is leaving"),
                listOf(EventType.UPSTREAM_LEAVING, EventType.UPSTREAM_LOST, EventType.UPSTREAM_JOINED),
                atMillis = 20_200,
            ) {
                applyReports(listOf(report("engine-1", 1_100, UpstreamState.LEAVING)), 1_200)
                applyVmList(vms(2, engine("engine-2", "b")), 1_200)
                applyReports(listOf(report("engine-2", 20_000)), 20_000)
                earlierChanges += tick(20_000).changes
                applyVmList(vms(3, engine("engine-1"), engine("engine-2", "b")), 20_100)
            },
            Case(
                "a zone is out of service only while the fleet document takes it out",
                mapOf("engine-1" to "zone 'a' is out of service", "engine-2" to "warm"),
                listOf(EventType.ZONE_OUT, EventType.ZONE_BACK, EventType.ZONE_OUT),
            ) {
                applyFleet(fleet("a"))
                applyFleet(fleet())
                applyFleet(fleet("a"))
                applyVmList(vms(2, engine("engine-1"), engine("engine-2", "b")), 1_200)
            },
            Case(
                "a VM is out of service while the fleet document takes it out",
                mapOf("engine-1" to "warm", "engine-2" to "the VM is out of service"),
                listOf(EventType.VM_OUT),
            ) { applyFleet(fleet(vmsOut = listOf("engine-2"))) },
            Case(
                "a report that is not newer than the last one changes nothing",
                both,
            ) { applyReports(listOf(report("engine-1", 1_000, UpstreamState.COLD)), 1_200) },
            Case(
                "an upstream without a report for over 3 s is cold",
                mapOf("engine-1" to "cold", "engine-2" to "cold"),
                listOf(EventType.UPSTREAM_COLD, EventType.UPSTREAM_COLD),
                atMillis = 4_001,
            ) {},
            Case(
                "a report repeated by an exchange does not keep an upstream warm",
                mapOf("engine-1" to "cold", "engine-2" to "cold"),
                listOf(EventType.UPSTREAM_COLD, EventType.UPSTREAM_COLD),
                atMillis = 4_001,
            ) { applyReports(listOf(report("engine-1", 1_000), report("engine-2", 1_000)), 3_500) },
            Case(
                "a plain service without a report is warm",
                mapOf("service-1" to "warm"),
                listOf(EventType.UPSTREAM_JOINED, EventType.UPSTREAM_WARM),
            ) {
                applyVmList(vms(2, engine("engine-1"), engine("engine-2", "b"), service("service-1")), 1_200)
            },
            Case(
                "a cold response overrides an older warm report",
                mapOf("engine-1" to "cold", "engine-2" to "warm"),
                listOf(EventType.UPSTREAM_COLD),
            ) {
                recordCold(UpstreamId("engine-1"), 2, 1_300)
                applyReports(listOf(report("engine-1", 1_250)), 1_400)
            },
        )

    private val earlierChanges = mutableListOf<RoutingChange>()

    // Guards against upstreams that a wrong VM list, a late report or an old document adds, removes or revives.
    @TestFactory
    fun `the table applies the newest input for each upstream`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                earlierChanges.clear()
                val table = UpstreamTable()
                table.applyFleet(fleet())
                table.applyVmList(vms(1, engine("engine-1"), engine("engine-2", "b")), 1_000)
                table.applyReports(listOf(report("engine-1", 1_000), report("engine-2", 1_000)), 1_000)
                table.tick(1_000)
                case.act(table)
                val update = table.tick(case.atMillis)
                val views =
                    update.snapshot.pools
                        .getValue(pool)
                        .upstreams
                        .associateBy { it.id.value }
                case.expected.forEach { (name, state) ->
                    val view = views[name]
                    expectThat(view?.let { it.ineligibleReason ?: it.state.value } ?: "lost").isEqualTo(state)
                }
                expectThat((earlierChanges + update.changes).map { it.type }).containsExactly(case.events)
            }
        }
}
