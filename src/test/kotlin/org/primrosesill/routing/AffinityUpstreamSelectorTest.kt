/*
 * Contract of the selector: who may take a request, and who takes it.
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

    private fun UpstreamSelector.pick(key: String? = "chat", excluded: Set<UpstreamId> = emptySet()): String? =
        choose(
            RoutingRequest(pool, key, excluded),
        ).fold({ null }, { "${it.upstream.id}${if (it.slotNeeded) " slot" else ""}" })

    private fun UpstreamSelector.picks(count: Int): List<String?> = List(count) { pick("chat $it") }

    private val one = UpstreamId("one")

    private val cases =
        listOf<Triple<String, List<Any?>, () -> List<Any?>>>(
            Triple("nothing eligible is a refusal", listOf(null)) {
                selector(view("one", blocked = "out"), view("two", UpstreamState.LEAVING)).picks(1)
            },
            Triple("requests of one chat at once stay under 1.25 times the mean", listOf(true)) {
                val selector = selector(view("one"), view("two"), view("three"), view("four"))
                repeat(40) { selector.pick() }
                listOf(selector.inFlight().values.max() <= 12)
            },
            Triple("the same chat returns to the same upstream", listOf(1)) {
                val selector = selector(*Array(13) { view("engine-$it") })
                listOf(List(20) { selector.pick().also { id -> selector.finish(UpstreamId(id!!)) } }.toSet().size)
            },
            Triple("the load of other routers counts", listOf(0)) {
                val selector = selector(view("one", others = 40), view("two", others = 20), view("three", others = 20))
                listOf(selector.picks(8).count { it == "one" })
            },
            Triple("the reported load counts", listOf(0)) {
                val selector =
                    selector(view("one", reported = 40), view("two", others = 20), view("three", others = 20))
                listOf(selector.picks(8).count { it == "one" })
            },
            Triple("the last places go to a part of the keys, the same part at each router", listOf(true, true)) {
                val views =
                    arrayOf(
                        view("one", others = 60),
                        view("two", others = 47),
                        view("three", others = 47),
                        view("four", others = 47),
                    )
                val first = selector(*views)
                val second = selector(*views)
                val pick = { selector: UpstreamSelector, key: String ->
                    selector.pick(key).also { selector.finish(UpstreamId(it!!)) }
                }
                val picks = List(400) { pick(first, "chat $it") }
                // With room for 3 requests out of 6.3 thinned ones, about half of its even share of 100 remains.
                listOf(picks.count { it == "one" } in 1..74, picks == List(400) { pick(second, "chat $it") })
            },
            Triple("a cold upstream takes what it bears and needs slots", listOf("one slot", "one slot", null)) {
                selector(view("one", UpstreamState.COLD, bears = 2)).picks(3)
            },
            Triple("a refusal that says cold counts at once and for 3 s", listOf("one slot", null, "one")) {
                val selector = selector(view("one"))
                selector.pick()
                selector.finish(one)
                selector.recordCold(one, 1)
                listOf(selector.pick(), selector.pick(), selector.also { nowMillis += 3_000 }.pick())
            },
            Triple("an excluded upstream is not chosen again", listOf("two")) {
                listOf(selector(view("one"), view("two")).pick(excluded = setOf(one)))
            },
            Triple("two failures leave the circuit closed", listOf("one")) {
                val selector = selector(view("one")).apply { pick() }
                repeat(2) { selector.recordConnection(one, false) }
                listOf(selector.pick())
            },
            Triple("three failures open the circuit for 5 s, then one trial", listOf(null, "one", null, "one")) {
                val selector = selector(view("one")).apply { pick() }
                repeat(3) { selector.recordConnection(one, false) }
                val results = mutableListOf<Any?>()
                nowMillis += 4_999
                results += selector.pick()
                nowMillis += 1
                results += selector.pick()
                results += selector.pick()
                selector.recordConnection(one, true)
                results.apply { add(selector.pick()) }
            },
            Triple("a failed trial opens the circuit again", listOf("one", null, "one")) {
                val selector = selector(view("one")).apply { pick() }
                repeat(3) { selector.recordConnection(one, false) }
                nowMillis += 5_000
                val results = mutableListOf<Any?>(selector.pick())
                selector.recordConnection(one, false)
                nowMillis += 4_999
                results += selector.pick()
                nowMillis += 1
                results.apply { add(selector.pick()) }
            },
        )

    // Guards against work at an upstream that may not or cannot take it, and against chats that wander.
    @TestFactory
    fun `a selector keeps the rules of eligibility`(): List<DynamicTest> =
        cases.map { (name, expected, act) -> dynamicTest(name) { expectThat(act()).isEqualTo(expected) } }
}
