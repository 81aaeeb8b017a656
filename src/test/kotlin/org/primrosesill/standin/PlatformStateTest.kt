/*
 * Contract of the stand-in platform's state, under virtual time.
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

    // Guards against tests of late, lost and stale configuration that meet a platform without lag, limit or revisions.
    @TestFactory
    fun platform(): List<DynamicTest> =
        listOf(
            case("a watch ends with the change and not before") {
                val state = state()
                val watch = async { state.watchPage(0, 10_000) to testScheduler.currentTime }
                delay(3_000)
                state.put(DocumentName("fleet"), body)
                expectThat(watch.await().second).isEqualTo(3_000)
                expectThat(watch.await().first.names()).containsExactly("fleet")
            },
            case("a watch without a change ends after its wait with an empty page") {
                val state = state()
                expectThat(state.watchPage(0, 500).names()).isEqualTo(emptyList())
                expectThat(testScheduler.currentTime).isEqualTo(500)
            },
            case("a watch ends as soon as the platform goes down") {
                val state = state()
                val watch = async { state.watchVms(0, 10_000) }
                delay(100)
                state.switch(PlatformBehaviour(PlatformMode.DOWN))
                watch.await()
                expectThat(testScheduler.currentTime).isEqualTo(100)
            },
            case("a page holds the latest revision of each document, tombstones included") {
                val state = state()
                for (name in listOf("fleet", "contract/a", "fleet")) state.put(DocumentName(name), body)
                state.put(DocumentName("contract/a"), null)
                val page = state.page(1)
                expectThat(page.propertyEntries.map { it.revision }).containsExactly(3, 4)
                expectThat(page.propertyEntries.last().deleted).isTrue()
            },
            case("pages follow each other without a gap") {
                val state = state(entriesPerPage = 2)
                repeat(5) { state.put(DocumentName("contract/c$it"), body) }
                val pages = generateSequence(state.page(0)) { if (it.more) state.page(it.revision) else null }.toList()
                expectThat(pages.map { it.propertyEntries.size }).containsExactly(2, 2, 1)
                expectThat(pages.last().revision).isEqualTo(5)
            },
            case("a stale platform shows an older revision until it is normal again") {
                val state = state()
                state.put(DocumentName("fleet"), body)
                state.put(DocumentName("contract/a"), body)
                state.switch(PlatformBehaviour(PlatformMode.STALE, revision = 1))
                expectThat(state.page(0).names()).containsExactly("fleet")
                expectThat(state.page(0).revision).isEqualTo(1)
                state.switch(PlatformBehaviour(PlatformMode.NORMAL))
                expectThat(state.page(1).names()).containsExactly("contract/a")
            },
            case("the VM list lags by the set time") {
                val state = state()
                state.putVm(vm.id, vm)
                delay(999)
                expectThat(state.vmList().vms).isEqualTo(emptyList())
                expectThat(state.watchVms(0, 10_000).vms).containsExactly(vm)
                expectThat(testScheduler.currentTime).isEqualTo(1_000)
            },
            case("calls over the limit of a second are refused and counted") {
                val limit = CallLimit(2)
                expectThat(listOf(0L, 1L, 2L, 1_000L).map { limit.admit("/v1/vms", it) })
                    .containsExactly(true, true, false, true)
                expectThat(limit.counts()).isEqualTo(CallCounts(4, 1, 3, mapOf("/v1/vms" to 4)))
            },
            case("transfers share the rate of the weight store") {
                val limit = TransferLimit(bytesPerSecond = 1_000)
                expectThat(List(3) { limit.reserve(500, 0) }).containsExactly(500, 1_000, 1_500)
            },
        )

    private fun case(name: String, body: suspend TestScope.() -> Unit): DynamicTest =
        DynamicTest.dynamicTest(name) { runTest(testBody = body) }

    private fun TestScope.state(entriesPerPage: Int = 100) = PlatformState(backgroundScope, 1_000, entriesPerPage)

    private fun ConfigurationPage.names(): List<String> = propertyEntries.map { it.name.value }
}
