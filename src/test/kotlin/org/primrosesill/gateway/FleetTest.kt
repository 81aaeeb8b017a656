/*
 * What gateways tell each other of the members that they know.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.Test
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.silentEventLog
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.SilentUpstreams
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.UpstreamLoads
import org.primrosesill.platform.usersPlatform
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

private val noEvents = silentEventLog()

private class Node(number: Int) {
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
    val keeper = DirectoryKeeper(UpstreamDirectory(usersPlatform().itemDecoder), noEvents, { 0 }, {}) {}
    val fleet = Fleet(member, emptySet(), news(), noEvents, 0, noStartDuty, Random(1))

    fun message(): ExchangeMessage = fleet.message(keeper)

    private fun news() = TrafficNews(loads, PartIndex { 0 }, SilentUpstreams("self", activity) { 0 })
}

class FleetTest {
    private val first = Node(1)
    private val second = Node(2)
    private val third = Node(3)

    // Guards against gateways that never learn of a member that joined while they were cut off.
    @Test
    fun `a member that is asked for is introduced`() {
        second.fleet.take(third.message(), 0)
        first.fleet.take(second.message(), 0)
        val question = first.message()
        val answer = second.fleet.answerTo(question, second.keeper)
        expectThat(answer).isNotNull().get { parts.map { it.member.router } }.contains(third.member.router)
    }

    // Guards against two gateways that miss members and answer each other's questions without end.
    @Test
    fun `an answer asks nothing, and what nobody knows gets no answer`() {
        val joined = Node(4)
        second.fleet.take(third.message(), 0)
        listOf(first, joined).forEach { it.fleet.take(second.message(), 0) }
        expectThat(joined.fleet.answerTo(first.message(), joined.keeper)).describedAs("both miss one").isNull()
        val other = Node(5)
        other.fleet.take(Node(6).message(), 0)
        second.fleet.take(other.message(), 0)
        val answer = second.fleet.answerTo(first.message(), second.keeper)
        expectThat(answer).isNotNull().get { wanted }.isEqualTo("")
        expectThat(second.message().wanted).describedAs("asked in rounds").isNotEqualTo("")
    }

    // Guards against engines that a few gateways overload, as each sees its own requests only.
    @Test
    fun `gateways of a small fleet know each other's requests`() {
        val engine = UpstreamId("engine-1")
        val upstreams =
            PlatformListing(
                1,
                listOf(
                    PlatformItem(
                        "servers/engine-1",
                        1,
                        """{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","max_batch":9}""",
                    ),
                ),
            )
        listOf(first, second).forEach { it.keeper.take(upstreams, "test") }
        second.activity.started(engine, tokens = 0)
        first.fleet.take(second.message(), 0)
        first.fleet.nextRound(first.keeper)
        first.fleet.tick(0)
        expectThat(first.loads.of(engine)).describedAs("before the counts").isEqualTo(0)
        val news = expectThat(second.fleet.countNews()).isNotNull().subject
        first.fleet.take(news.message, 0)
        expectThat(first.loads.of(engine)).isEqualTo(1)
    }
}
