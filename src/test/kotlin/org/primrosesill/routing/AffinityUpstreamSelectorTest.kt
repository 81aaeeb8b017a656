/*
 * The selection of an upstream: which upstreams are eligible for a request, and which one receives it.
 */
package org.primrosesill.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AffinityUpstreamSelectorTest {
    private var nowMillis = 0L

    private fun selector(vararg views: UpstreamView): UpstreamSelector {
        val view = snapshot(*views)
        nowMillis = 1_000
        return affinityUpstreamSelector({ view }, { nowMillis })
    }

    private fun UpstreamSelector.chooseId(key: String? = "chat", excluded: Set<UpstreamId> = emptySet()): String? =
        choose(
            RoutingRequest(pool, key, excluded),
        ).fold({ null }, { "${it.upstream.id}${if (it.requiresSlot) " slot" else ""}" })

    private fun UpstreamSelector.chooseIds(count: Int): List<String?> = List(count) { chooseId("chat $it") }

    private val one = UpstreamId("one")

    private val cases =
        listOf<Triple<String, List<Any?>, () -> List<Any?>>>(
            Triple("no eligible upstream is a refusal", listOf(null)) {
                selector(view("one", ineligibleReason = "out"), view("two", UpstreamState.LEAVING)).chooseIds(1)
            },
            Triple("concurrent requests of one chat stay under 1.25 times the mean", listOf(true)) {
                val selector = selector(view("one"), view("two"), view("three"), view("four"))
                repeat(40) { selector.chooseId() }
                listOf(selector.inFlight().values.max() <= 12)
            },
            Triple("the same chat returns to the same upstream", listOf(1)) {
                val selector = selector(*Array(13) { view("engine-$it") })
                listOf(List(20) { selector.chooseId().also { id -> selector.finish(UpstreamId(id!!)) } }.toSet().size)
            },
            Triple("the load of other routers counts", listOf(0)) {
                val selector = selector(view("one", others = 40), view("two", others = 20), view("three", others = 20))
                listOf(selector.chooseIds(8).count { it == "one" })
            },
            Triple("the reported load counts", listOf(0)) {
                val selector =
                    selector(view("one", reported = 40), view("two", others = 20), view("three", others = 20))
                listOf(selector.chooseIds(8).count { it == "one" })
            },
            Triple("the last capacity goes to a fraction of the keys, the same at each router", listOf(true, true)) {
                val views =
                    arrayOf(
                        view("one", others = 60),
                        view("two", others = 47),
                        view("three", others = 47),
                        view("four", others = 47),
                    )
                val first = selector(*views)
                val second = selector(*views)
                val chooseAndFinish = { selector: UpstreamSelector, key: String ->
                    selector.chooseId(key).also { selector.finish(UpstreamId(it!!)) }
                }
                val chosenIds = List(400) { chooseAndFinish(first, "chat $it") }
                // With capacity for 3 of 6.3 requests under partial admission, about half of its share of 100 remains.
                listOf(
                    chosenIds.count { it == "one" } in 1..74,
                    chosenIds == List(400) { chooseAndFinish(second, "chat $it") },
                )
            },
            Triple(
                "a cold upstream receives requests up to its concurrency limit and needs slots",
                listOf("one slot", "one slot", null),
            ) {
                selector(view("one", UpstreamState.COLD, coldConcurrencyLimit = 2)).chooseIds(3)
            },
            Triple("a cold response takes effect immediately and for 3 s", listOf("one slot", null, "one")) {
                val selector = selector(view("one"))
                selector.chooseId()
                selector.finish(one)
                selector.recordCold(one, 1)
                listOf(selector.chooseId(), selector.chooseId(), selector.also { nowMillis += 3_000 }.chooseId())
            },
            Triple("an excluded upstream is not chosen again", listOf("two")) {
                listOf(selector(view("one"), view("two")).chooseId(excluded = setOf(one)))
            },
            Triple("two failures leave the circuit closed", listOf("one")) {
                val selector = selector(view("one")).apply { chooseId() }
                repeat(2) { selector.recordConnection(one, false) }
                listOf(selector.chooseId())
            },
            Triple("three failures open the circuit for 5 s, then allow one probe", listOf(null, "one", null, "one")) {
                val selector = selector(view("one")).apply { chooseId() }
                repeat(3) { selector.recordConnection(one, false) }
                val results = mutableListOf<Any?>()
                nowMillis += 4_999
                results += selector.chooseId()
                nowMillis += 1
                results += selector.chooseId()
                results += selector.chooseId()
                selector.recordConnection(one, true)
                results.apply { add(selector.chooseId()) }
            },
            Triple("a failed probe opens the circuit again", listOf("one", null, "one")) {
                val selector = selector(view("one")).apply { chooseId() }
                repeat(3) { selector.recordConnection(one, false) }
                nowMillis += 5_000
                val results = mutableListOf<Any?>(selector.chooseId())
                selector.recordConnection(one, false)
                nowMillis += 4_999
                results += selector.chooseId()
                nowMillis += 1
                results.apply { add(selector.chooseId()) }
            },
        )

    // Guards against requests at an ineligible or full upstream, and against chats that move between upstreams.
    @TestFactory
    fun `the selector chooses only eligible upstreams`(): List<DynamicTest> =
        cases.map { (name, expected, act) -> dynamicTest(name) { expectThat(act()).isEqualTo(expected) } }
}
