/*
 * Tests of the state of the stand-in platform under virtual time.
 */
package org.primrosesill.standin

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.DocumentName
import org.primrosesill.model.VmId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class PlatformStateTest {
    private val body = JsonObject(emptyMap())
    private val vm =
        VmEntry(VmId("v1"), AvailabilityZoneId("a"), VmKind.ENGINE, "127.0.0.1:1", VmState.LIVE)

    // Guards against tests of late, lost and stale configuration that use a platform without lag, limit or revisions.
    @TestFactory
    fun platformBehaviour(): List<DynamicTest> =
        listOf(
            case("a long poll ends when a change is published, not before") {
                val state = state()
                val watch = async { state.watchDocuments(0, 10_000) to testScheduler.currentTime }
                delay(3_000)
                state.publish(DocumentName("fleet"), body)
                expectThat(watch.await().second).isEqualTo(3_000)
                expectThat(watch.await().first.names()).containsExactly("fleet")
            },
            case("a long poll without a change ends after its wait time with an empty page") {
                val state = state()
                expectThat(state.watchDocuments(0, 500).names()).isEqualTo(emptyList())
                expectThat(testScheduler.currentTime).isEqualTo(500)
            },
            case("a long poll ends as soon as the platform goes down") {
                val state = state()
                val watch = async { state.watchVms(0, 10_000) }
                delay(100)
                state.changeBehaviour(PlatformBehaviour(PlatformMode.DOWN))
                watch.await()
                expectThat(testScheduler.currentTime).isEqualTo(100)
            },
            case("a page contains the latest revision of each document, including tombstones") {
                val state = state()
                for (name in listOf("fleet", "contract/a", "fleet")) state.publish(DocumentName(name), body)
                state.publish(DocumentName("contract/a"), null)
                val page = state.configurationPage(1)
                expectThat(page.propertyEntries.map { it.revision }).containsExactly(3, 4)
                expectThat(page.propertyEntries.last().deleted).isTrue()
            },
            case("consecutive pages have no gap") {
                val state = state(entriesPerPage = 2)
                repeat(5) { state.publish(DocumentName("contract/c$it"), body) }
                val pages =
                    generateSequence(state.configurationPage(0)) {
                        if (it.more) state.configurationPage(it.revision) else null
                    }.toList()
                expectThat(pages.map { it.propertyEntries.size }).containsExactly(2, 2, 1)
                expectThat(pages.last().revision).isEqualTo(5)
            },
            case("a stale platform returns an older revision until its mode is normal again") {
                val state = state()
                state.publish(DocumentName("fleet"), body)
                state.publish(DocumentName("contract/a"), body)
                state.changeBehaviour(PlatformBehaviour(PlatformMode.STALE, revision = 1))
                expectThat(state.configurationPage(0).names()).containsExactly("fleet")
                expectThat(state.configurationPage(0).revision).isEqualTo(1)
                state.changeBehaviour(PlatformBehaviour(PlatformMode.NORMAL))
                expectThat(state.configurationPage(1).names()).containsExactly("contract/a")
            },
            case("a change of the VM list is visible after the configured lag") {
                val state = state()
                state.putVm(vm.id, vm)
                delay(999)
                expectThat(state.vmList().vms).isEqualTo(emptyList())
                expectThat(state.watchVms(0, 10_000).vms).containsExactly(vm)
                expectThat(testScheduler.currentTime).isEqualTo(1_000)
            },
            case("calls above the limit per second are rejected and counted") {
                val limiter = CallRateLimiter(2)
                expectThat(listOf(0L, 1L, 2L, 1_000L).map { limiter.admit("/v1/vms", it) })
                    .containsExactly(true, true, false, true)
                expectThat(limiter.counts()).isEqualTo(CallCounts(4, 1, 3, mapOf("/v1/vms" to 4)))
            },
            case("transfers share the bandwidth of the weight store") {
                val limiter = BandwidthLimiter(bytesPerSecond = 1_000)
                expectThat(List(3) { limiter.reserve(500, 0) }).containsExactly(500, 1_000, 1_500)
            },
        )

    private fun case(name: String, body: suspend TestScope.() -> Unit): DynamicTest =
        DynamicTest.dynamicTest(name) { runTest(testBody = body) }

    private fun TestScope.state(entriesPerPage: Int = 100) = PlatformState(backgroundScope, 1_000, entriesPerPage)

    private fun ConfigurationPage.names(): List<String> = propertyEntries.map { it.name.value }
}
