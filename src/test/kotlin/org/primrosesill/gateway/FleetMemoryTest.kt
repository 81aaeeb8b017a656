/*
 * Which zones and gateways count as alive.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.Test
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private fun member(zone: String, heartbeat: Long) =
    Member(RouterId("router-$zone"), "10.0.0.$zone:80", AvailabilityZoneId(zone), 0, heartbeat, MemberState.LIVE)

class FleetMemoryTest {
    private val memory = FleetMemory(AvailabilityZoneId("a"))

    private fun silent(at: Long) = memory.silentZones(at).map { it.value }

    // Guards against requests to a zone that is cut off.
    @Test
    fun `a zone is silent when no new heartbeat comes from it`() {
        memory.heard(member("a", 1), 0)
        memory.heard(member("b", 1), 0)
        expectThat(silent(1_000)).isEqualTo(emptyList())
        memory.heard(member("b", 1), 1_100)
        expectThat(silent(1_400)).describedAs("the same heartbeat again").isEqualTo(listOf("b"))
        memory.heard(member("b", 2), 3_000)
        expectThat(silent(3_100)).describedAs("a new heartbeat").isEqualTo(emptyList())
        expectThat(silent(40_000)).describedAs("long gone").isEqualTo(emptyList())
    }

    // Guards against budgets that grow the moment a part of the fleet is cut off.
    @Test
    fun `a gateway counts for some time after it was last heard`() {
        memory.heard(member("b", 1), 0)
        expectThat(memory.recent(9_000).size).isEqualTo(1)
        expectThat(memory.recent(11_000).size).isEqualTo(0)
    }
}
