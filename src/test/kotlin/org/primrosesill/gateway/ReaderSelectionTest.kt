/*
 * Which gateways read the platform, and when a peer confirms that a view is fresh.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private fun fleet(size: Int, zones: Int) =
    List(size) {
        Member(RouterId("router-$it"), "10.0.0.$it:80", AvailabilityZoneId("z${it % zones}"), 0, 1, MemberState.LIVE)
    }

class ReaderSelectionTest {
    // Guards against calls to the platform that grow with the fleet, and against a zone or fleet without a reader.
    @TestFactory
    fun `one gateway of each zone reads, and at least three in total`(): List<DynamicTest> =
        listOf(
            Triple(1, 1, 1),
            Triple(2, 1, 2),
            Triple(6, 3, 3),
            Triple(8, 2, 3),
            Triple(84, 4, 4),
            Triple(328, 7, 7),
        ).map { (size, zones, readers) ->
            dynamicTest("$size gateways in $zones zones") {
                val live = fleet(size, zones)
                val reading = live.filter { readsPlatform(it, live, ageMillis = 0) }
                expectThat(reading.size).isEqualTo(readers)
                expectThat(reading.map { it.availabilityZone }.toSet().size).isEqualTo(minOf(zones, readers))
            }
        }

    // Guards against a fleet whose views stay stale when its readers cannot reach the platform.
    @TestFactory
    fun `other gateways read as soon as their views are stale`(): List<DynamicTest> =
        listOf(6 to listOf(1_000L, 1_400L, 1_600L), 84 to listOf(1_800L, 2_200L, 2_800L)).map { (size, ages) ->
            dynamicTest("$size gateways") {
                val live = fleet(size, 3)
                val reading = (listOf(0L) + ages).map { age -> live.count { readsPlatform(it, live, age) } }
                println("$size gateways: readers at ages 0 and $ages ms: $reading")
                expectThat(reading[0]).isEqualTo(3)
                expectThat(reading[1]).describedAs("readers while the view is fresh").isEqualTo(3)
                expectThat(reading[2] > 3).describedAs("additional readers").isEqualTo(true)
                expectThat(reading[3]).isEqualTo(size)
            }
        }

    // Guards against a zone whose gateways still send to a leaving upstream because the zone's only reader is stopping.
    @Test
    fun `a leaving gateway does not count as a reader`() {
        val live = fleet(6, 3)
        val first = live.first { readsPlatform(it, live, ageMillis = 0) }
        val afterwards = live.map { if (it == first) it.copy(state = MemberState.LEAVING) else it }
        val reading = afterwards.filter { readsPlatform(it, afterwards, ageMillis = 0) }
        expectThat(
            reading
                .filter { it.state == MemberState.LIVE }
                .map { it.availabilityZone }
                .toSet()
                .size,
        ).isEqualTo(3)
        expectThat(reading.size).isEqualTo(3)
    }

    // Guards against a gateway that waits for its peers before it has any view.
    @Test
    fun `a gateway without a view reads`() {
        val live = fleet(84, 3)
        expectThat(live.count { readsPlatform(it, live, ageMillis = null) }).isEqualTo(84)
    }

    private class Behind(val size: Int, val behindMillis: Long, val readers: Int)

    // Guards against a gateway that lacks a known change for long, as no peer delivers it, and does not read the
    // platform.
    @TestFactory
    fun `a gateway that is behind for more than a second reads`(): List<DynamicTest> =
        listOf(Behind(6, 1_000, 3), Behind(6, 1_001, 6), Behind(84, 1_000, 3), Behind(84, 1_001, 84)).map { case ->
            dynamicTest("${case.size} gateways, behind for ${case.behindMillis} ms") {
                val live = fleet(case.size, 3)
                val reading = live.count { readsPlatform(it, live, ageMillis = 0, case.behindMillis) }
                expectThat(reading).isEqualTo(case.readers)
            }
        }

    // Guards against confirmation of a view by a peer whose view is newer, or of another era of the platform.
    @TestFactory
    fun `only a response to a peer of the same era and no newer view confirms this view`(): List<DynamicTest> =
        listOf(
            Triple(PlatformRevision(5), PlatformRevision(5), 300L),
            Triple(PlatformRevision(4), PlatformRevision(5), 300L),
            Triple(PlatformRevision(6), PlatformRevision(5), null),
            Triple(PlatformRevision(6, era = 1), PlatformRevision(5, era = 2), null),
            Triple(PlatformRevision(4, era = 3), PlatformRevision(5, era = 2), null),
        ).map { (peer, own, age) ->
            dynamicTest("the peer is at revision $peer, this gateway at $own") {
                val freshness = PlatformFreshness()
                freshness.recordPeerAge(peer, own, ageMillis = 200, nowMillis = 1_000)
                expectThat(freshness.ageMillis(1_100)).isEqualTo(age)
                freshness.confirm(1_050)
                expectThat(freshness.ageMillis(1_100) ?: Long.MAX_VALUE).isLessThanOrEqualTo(50)
            }
        }
}
