/*
 * Which zones count as silent, and which gateways count as alive.
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

class RecentMembersTest {
    private val recentMembers = RecentMembers(AvailabilityZoneId("a"))

    private fun silentZones(at: Long) = recentMembers.silentZones(at).map { it.value }

    // Guards against requests to a partitioned zone.
    @Test
    fun `a zone without new heartbeats is silent`() {
        recentMembers.observe(member("a", 1), 0)
        recentMembers.observe(member("b", 1), 0)
        expectThat(silentZones(1_000)).isEqualTo(emptyList())
        recentMembers.observe(member("b", 1), 1_100)
        expectThat(silentZones(1_400)).describedAs("the same heartbeat again").isEqualTo(listOf("b"))
        recentMembers.observe(member("b", 2), 3_000)
        expectThat(silentZones(3_100)).describedAs("a new heartbeat").isEqualTo(emptyList())
        expectThat(silentZones(40_000)).describedAs("past the retention").isEqualTo(emptyList())
    }

    // Guards against budget shares that grow as soon as a part of the fleet is partitioned.
    @Test
    fun `a gateway counts for some time after its last heartbeat`() {
        recentMembers.observe(member("b", 1), 0)
        expectThat(recentMembers.recentlySeen(9_000).size).isEqualTo(1)
        expectThat(recentMembers.recentlySeen(11_000).size).isEqualTo(0)
    }
}
