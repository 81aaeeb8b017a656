/*
 * What gateways send each other about members and requests in flight.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.Test
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.platform.usersPlatformAdapter
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

private val noEvents = noOpEventLog()

private class FleetNode(number: Int) {
    val member =
        Member(
            RouterId("0123456789a$number"),
            "10.0.0.$number:80",
            AvailabilityZoneId("a"),
            0,
            1,
            MemberState.LIVE,
        )
    val activity = UpstreamActivity { 0 }
    val loads = UpstreamLoads(activity) { 0 }
    val directory = DirectoryManager(UpstreamDirectory(usersPlatformAdapter().itemDecoder), noEvents, { 0 }, {}) {}
    val fleet = Fleet(member, emptySet(), trafficGossip(), noEvents, 0, policyWithoutSeeds, Random(1))

    fun message(): ExchangeMessage = fleet.message(directory)

    private fun trafficGossip() =
        TrafficGossip(
            loads,
            PromptCacheIndex {
                0
            },
            SilentUpstreams("self", activity) { 0 },
            CrashingParts { 0 },
        )
}

class FleetTest {
    private val first = FleetNode(1)
    private val second = FleetNode(2)
    private val third = FleetNode(3)

    // Guards against gateways whose member lists permanently lack a member that joined while they were partitioned.
    @Test
    fun `a reply contains the members that the peer requests`() {
        second.fleet.applyMessage(third.message(), 0)
        first.fleet.applyMessage(second.message(), 0)
        val request = first.message()
        val reply = second.fleet.replyTo(request, second.directory)
        expectThat(reply).isNotNull().get { parts.map { it.member.router } }.contains(third.member.router)
    }

    // Guards against two gateways that lack members and reply to each other's requests without end.
    @Test
    fun `a reply requests no members, and a request for an unknown member gets no reply`() {
        val joined = FleetNode(4)
        second.fleet.applyMessage(third.message(), 0)
        listOf(first, joined).forEach { it.fleet.applyMessage(second.message(), 0) }
        expectThat(joined.fleet.replyTo(first.message(), joined.directory)).describedAs("both lack one").isNull()
        val other = FleetNode(5)
        other.fleet.applyMessage(FleetNode(6).message(), 0)
        second.fleet.applyMessage(other.message(), 0)
        val reply = second.fleet.replyTo(first.message(), second.directory)
        expectThat(reply).isNotNull().get { wanted }.isEqualTo("")
        expectThat(second.message().wanted).describedAs("requested in rounds").isNotEqualTo("")
    }

    // Guards against gateways that overload engines because each counts its own requests only.
    @Test
    fun `gateways of a small fleet count each other's requests`() {
        val engine = UpstreamId("engine-1")
        val upstreams =
            PlatformListing(
                PlatformRevision(1),
                listOf(
                    PlatformItem(
                        "servers/engine-1",
                        1,
                        """{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","max_batch":9}""",
                    ),
                ),
            )
        listOf(first, second).forEach { it.directory.applyListing(upstreams, "test") }
        second.activity.recordStart(engine, tokens = 0)
        first.fleet.applyMessage(second.message(), 0)
        first.fleet.nextRound(first.directory)
        first.fleet.tick(0)
        expectThat(
            first.loads.estimates(listOf(engine))[engine].inFlight,
        ).describedAs("before the counts").isEqualTo(0)
        val counts = expectThat(second.fleet.requestCountsMessage()).isNotNull().subject
        first.fleet.applyMessage(counts.message, 0)
        expectThat(first.loads.estimates(listOf(engine))[engine].inFlight).isEqualTo(1)
    }
}
