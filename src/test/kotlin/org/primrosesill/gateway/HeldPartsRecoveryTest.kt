/*
 * When a gateway calls engines after its start for the prompt parts that they hold.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.placement.PromptPartId
import org.primrosesill.platform.usersPlatformAdapter
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private val CONFIGURATION =
    """{"version":1,"routes":[],"services":[{"name":"engines","health_path":"/healthz","max_conns":480,"warmup_s":3.0,
    "warmup_per_s":10.0,"engine":{"max_batch":96,"kv_capacity":216524}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""

private fun listing(engines: Int): PlatformListing {
    val entries =
        List(engines) {
            PlatformItem(
                "servers/engine-$it",
                1,
                """{"service":"engines","address":"10.0.1.$it:80","zone":"a","state":"ready","max_batch":96}""",
            )
        }
    return PlatformListing(PlatformRevision(1), entries + PlatformItem("op/config", 1, CONFIGURATION))
}

private object NoPeers : UpstreamClient {
    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> =
        ExchangeResult.NotSent("no peer")
}

class HeldPartsRecoveryTest {
    private class Case(val engines: Int, val calledAtOnce: Int)

    // Guards against calls of all gateways to all engines when a large fleet starts at once: 7,805 calls were seen with
    // 84 gateways and 98 engines.
    @TestFactory
    fun `many engines are called only when the fleet has settled`(): List<DynamicTest> =
        listOf(Case(engines = 18, calledAtOnce = 18), Case(engines = 98, calledAtOnce = 0)).map { case ->
            dynamicTest("${case.engines} engines") {
                runTest {
                    val events = noOpEventLog()
                    val activity = UpstreamActivity { 0 }
                    val silentUpstreams = SilentUpstreams("self", activity) { 0 }
                    val trafficGossip =
                        TrafficGossip(
                            UpstreamLoads(activity) { 0 },
                            PromptCacheIndex { 0 },
                            silentUpstreams,
                            CrashingParts { 0 },
                        )
                    val self = Member(RouterId("self"), "10.0.0.1:80", AvailabilityZoneId("a"), 0, 1, MemberState.LIVE)
                    val fleet =
                        Fleet(self, setOf("10.0.0.2:80"), trafficGossip, events, 0, policyWithoutSeeds, Random(1))
                    val directory =
                        DirectoryManager(UpstreamDirectory(usersPlatformAdapter().itemDecoder), events, { 0 }, {}) {}
                    directory.applyListing(listing(case.engines), "test")
                    var calls = 0
                    var current = 0
                    var mostAtOnce = 0
                    val fetchFromEngine: suspend (String) -> Either<FeedError, List<PromptPartId>> = {
                        calls++
                        mostAtOnce = maxOf(mostAtOnce, ++current)
                        delay(5)
                        current--
                        emptyList<PromptPartId>().right()
                    }
                    val recovery =
                        HeldPartsRecovery(
                            false,
                            directory,
                            fleet,
                            PeerClient(NoPeers),
                            trafficGossip,
                            events,
                            {},
                            fetchFromEngine,
                        )
                    backgroundScope.launch { recovery.run() }
                    advanceTimeBy(1_000)
                    expectThat(calls).describedAs("at once").isEqualTo(case.calledAtOnce)
                    fleet.tick(0)
                    fleet.tick(1_900)
                    fleet.tick(3_100)
                    advanceTimeBy(1_000)
                    expectThat(calls).describedAs("later").isEqualTo(case.engines)
                    // Each of these engines may send a response of the maximum length.
                    expectThat(mostAtOnce).describedAs("calls at the same time").isLessThanOrEqualTo(4)
                }
            }
        }
}
