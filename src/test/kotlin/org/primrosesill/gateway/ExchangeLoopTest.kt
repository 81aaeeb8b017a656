/*
 * How a gateway processes the announcement of a peer that holds a newer revision.
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
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.noOpEventLog
import org.primrosesill.exchange.UpdateSource
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.platform.usersPlatformAdapter
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Counts calls, all of which fail. */
private class CountingClient : UpstreamClient {
    var calls = 0

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        calls++
        return ExchangeResult.NotSent("no peer")
    }
}

private class LoopNode(number: Int, scope: TestScope) {
    val sent = mutableListOf<ExchangeMessage>()
    val client = CountingClient()
    private val events = noOpEventLog()
    private val zone = AvailabilityZoneId("a")
    private val self = Member(RouterId("0123456789a$number"), "10.0.0.$number:80", zone, 0, 1, MemberState.LIVE)
    private val activity = UpstreamActivity { 0 }
    private val trafficGossip =
        TrafficGossip(
            UpstreamLoads(activity) {
                0
            },
            PromptCacheIndex { 0 },
            SilentUpstreams("self", activity) { 0 },
            CrashingParts { 0 },
        )
    private val fleet = Fleet(self, emptySet(), trafficGossip, events, 0, policyWithoutSeeds, Random(1))
    val directory: DirectoryManager =
        DirectoryManager(UpstreamDirectory(usersPlatformAdapter().itemDecoder), events, { 0 }, {}) {
            loop.announce(UpdateSource.PLATFORM)
        }
    val loop: ExchangeLoop =
        ExchangeLoop(
            scope.backgroundScope,
            fleet,
            trafficGossip,
            directory,
            PeerClient(client),
            events,
            { 0 },
        ) { _, message -> sent += message }

    /** Applies one change from the platform: the entry of an upstream. */
    fun applyChange(since: Long, revision: Long) =
        applyItem(since, PlatformItem("servers/engine-$revision", revision, entry(10)))

    /** Applies a configuration from the platform, the only item whose value may be large. */
    fun applyConfiguration(since: Long, revision: Long) =
        applyItem(since, PlatformItem("op/config", revision, testConfiguration(routes = 60, accounts = 10).text))

    private fun applyItem(since: Long, item: PlatformItem) {
        directory.applyChanges(
            PlatformRevision(since),
            PlatformChanges(PlatformRevision(item.revision), listOf(item)),
            "test",
        )
    }
}

class ExchangeLoopTest {
    private class Case(
        val name: String,
        val isLarge: Boolean,
        val lacksOne: Boolean,
        val calls: Int,
        val revision: Long,
    )

    // Guards against a call per change and gateway, which was seen with 69 gateways while many engines were replaced.
    @TestFactory
    fun `an announcement carries its changes, and only a gap or a large change is fetched`(): List<DynamicTest> =
        listOf(
            Case("a small change", isLarge = false, lacksOne = false, calls = 0, revision = 2),
            Case("a large change", isLarge = true, lacksOne = false, calls = 1, revision = 1),
            Case("a gap", isLarge = false, lacksOne = true, calls = 1, revision = 1),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val sender = LoopNode(1, this)
                    val receiver = LoopNode(2, this)
                    sender.applyChange(0, 1)
                    receiver.applyChange(0, 1)
                    advanceTimeBy(SETTLED_MILLIS)
                    val announced = if (case.lacksOne) 2L else 1L
                    if (case.lacksOne) sender.applyChange(1, 2)
                    advanceTimeBy(SETTLED_MILLIS)
                    if (case.isLarge) {
                        sender.applyConfiguration(announced, announced + 1)
                    } else {
                        sender.applyChange(announced, announced + 1)
                    }
                    advanceTimeBy(SETTLED_MILLIS)
                    receiver.loop.receive(sender.sent.last())
                    advanceTimeBy(SETTLED_MILLIS)
                    expectThat(receiver.client.calls).describedAs("calls").isEqualTo(case.calls)
                    expectThat(receiver.directory.revision.number).isEqualTo(case.revision)
                }
            }
        }

    private class ListingCase(
        val name: String,
        val listedAfterMillis: Long?,
        val failedAfterMillis: Long?,
        val calls: Int,
    )

    // Guards against a fleet in which each gateway fetches a large configuration twice after a power loss.
    @TestFactory
    fun `a starting gateway that lists the platform does not fetch the same items from a peer`(): List<DynamicTest> =
        listOf(
            ListingCase("the listing takes 500 ms", listedAfterMillis = 500, failedAfterMillis = null, calls = 0),
            ListingCase("the platform rejects the call", listedAfterMillis = null, failedAfterMillis = 100, calls = 1),
            ListingCase("the platform does not respond", listedAfterMillis = null, failedAfterMillis = null, calls = 1),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val sender = LoopNode(1, this)
                    val starting = LoopNode(2, this)
                    sender.applyConfiguration(0, 1)
                    advanceTimeBy(SETTLED_MILLIS)
                    starting.loop.receive(sender.sent.last())
                    case.failedAfterMillis?.let {
                        advanceTimeBy(it)
                        starting.directory.recordPlatformFailure(FeedError.Unavailable("status 503"))
                    }
                    case.listedAfterMillis?.let {
                        advanceTimeBy(it)
                        starting.applyConfiguration(0, 1)
                    }
                    advanceTimeBy(STARTED_MILLIS)
                    expectThat(starting.client.calls).describedAs("calls to peers").isEqualTo(case.calls)
                }
            }
        }

    private companion object {
        /** Longer than the timeout for a listing. */
        const val STARTED_MILLIS = 1_500L

        /** Longer than an announcement is delayed, and than a fetch waits for it. */
        const val SETTLED_MILLIS = 300L
    }
}
