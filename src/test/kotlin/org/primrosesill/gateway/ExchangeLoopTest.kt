/*
 * What a gateway does with an announcement of a peer.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.silentEventLog
import org.primrosesill.exchange.NewsSource
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.SilentUpstreams
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.UpstreamLoads
import org.primrosesill.platform.usersPlatform
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Counts calls, none of which is answered. */
private class CountingClient : UpstreamClient {
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> {
        calls++
        return ExchangeResult.NotSent("no peer")
    }
}

private class LoopNode(number: Int, scope: TestScope) {
    val sent = mutableListOf<ExchangeMessage>()
    val client = CountingClient()
    private val events = silentEventLog()
    private val zone = AvailabilityZoneId("a")
    private val self = Member(RouterId("0123456789a$number"), "10.0.0.$number:80", zone, 0, 1, MemberState.LIVE)
    private val activity = UpstreamActivity { 0 }
    private val news =
        TrafficNews(UpstreamLoads(activity) { 0 }, PartIndex { 0 }, SilentUpstreams("self", activity) { 0 })
    private val fleet = Fleet(self, emptySet(), news, events, 0, noStartDuty, Random(1))
    val keeper: DirectoryKeeper =
        DirectoryKeeper(UpstreamDirectory(usersPlatform().itemDecoder), events, { 0 }, {}) {
            loop.announce(NewsSource.PLATFORM)
        }
    val loop: ExchangeLoop =
        ExchangeLoop(scope.backgroundScope, fleet, news, keeper, PeerClient(client), events, { 0 }) { _, message ->
            sent += message
        }

    fun learn(since: Long, revision: Long, value: String) {
        val item = PlatformItem("servers/engine-$revision", revision, value)
        keeper.take(since, PlatformChanges(revision, listOf(item)), "test")
    }
}

class ExchangeLoopTest {
    private class Case(val name: String, val padding: Int, val missesOne: Boolean, val calls: Int, val revision: Long)

    // Guards against a call for each change and gateway: seen with 69 gateways while many engines were replaced.
    @TestFactory
    fun `an announcement brings the changes, and only a gap or a large change is asked for`(): List<DynamicTest> =
        listOf(
            Case("a small change", padding = 10, missesOne = false, calls = 0, revision = 2),
            Case("a large change", padding = 9_000, missesOne = false, calls = 1, revision = 1),
            Case("a gap", padding = 10, missesOne = true, calls = 1, revision = 1),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val teller = LoopNode(1, this)
                    val hearer = LoopNode(2, this)
                    teller.learn(0, 1, entry(10))
                    hearer.learn(0, 1, entry(10))
                    advanceTimeBy(SETTLED_MILLIS)
                    val told = if (case.missesOne) 2L else 1L
                    if (case.missesOne) teller.learn(1, 2, entry(10))
                    advanceTimeBy(SETTLED_MILLIS)
                    teller.learn(told, told + 1, entry(case.padding))
                    advanceTimeBy(SETTLED_MILLIS)
                    hearer.loop.receive(teller.sent.last())
                    advanceTimeBy(SETTLED_MILLIS)
                    expectThat(hearer.client.calls).describedAs("calls").isEqualTo(case.calls)
                    expectThat(hearer.keeper.revision).isEqualTo(case.revision)
                }
            }
        }

    private class Listing(val name: String, val listedAfterMillis: Long?, val failedAfterMillis: Long?, val calls: Int)

    // Guards against a fleet in which each gateway fetches a large configuration twice after a loss of power.
    @TestFactory
    fun `a gateway that lists the platform at its start asks no peer for the same`(): List<DynamicTest> =
        listOf(
            Listing("the listing takes half a second", listedAfterMillis = 500, failedAfterMillis = null, calls = 0),
            Listing("the platform refuses it", listedAfterMillis = null, failedAfterMillis = 100, calls = 1),
            Listing("the platform says nothing", listedAfterMillis = null, failedAfterMillis = null, calls = 1),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val teller = LoopNode(1, this)
                    val starting = LoopNode(2, this)
                    teller.learn(0, 1, entry(9_000))
                    advanceTimeBy(SETTLED_MILLIS)
                    starting.loop.receive(teller.sent.last())
                    case.failedAfterMillis?.let {
                        advanceTimeBy(it)
                        starting.keeper.platformFailed(FeedError.Unavailable("status 503"))
                    }
                    case.listedAfterMillis?.let {
                        advanceTimeBy(it)
                        starting.learn(0, 1, entry(9_000))
                    }
                    advanceTimeBy(STARTED_MILLIS)
                    expectThat(starting.client.calls).describedAs("calls to peers").isEqualTo(case.calls)
                }
            }
        }

    private companion object {
        /** Longer than a listing is waited for. */
        const val STARTED_MILLIS = 1_500L

        /** Longer than news is gathered and waited for. */
        const val SETTLED_MILLIS = 300L
    }
}
