/*
 * Shares of one customer. Guards against a small customer that is refused or costs more than a call for each request, a
 * busy one that costs a call for each, a router with a small demand that starves beside a busy one, and wrong counts of
 * concurrent requests and tokens.
 */
package org.primrosesill.limit

import kotlinx.serialization.json.Json
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class CustomerSharesTest {
    @TestFactory
    fun `calls to the owner`() =
        listOf(
            Triple("are one for each request of a customer with 1 request a second over 330 routers", 330 to 1.0, 1.0),
            Triple("are one for each request of a customer with 1 request a second at one router", 1 to 1.0, 1.0),
            Triple("are far fewer for a customer with 200 requests a second at one router", 1 to 200.0, 0.1),
        ).map { (name, load, callsForEach) ->
            dynamicTest(name) {
                val (routers, rate) = load
                val outcome = runScenario(Scenario(name, routers, { contract(rate) }, { rate }, seconds = 60))
                println(
                    "calls seed=$SEED routers=$routers rate=$rate calls=${outcome.calls} of ${outcome.offered} refused=${outcome.refused}",
                )
                expectThat(outcome.refused.size).isEqualTo(0)
                expectThat(outcome.calls.toDouble()).isLessThanOrEqualTo(callsForEach * outcome.offered)
            }
        }

    @TestFactory
    fun `concurrent requests of 10 s over 8 routers stay within 20`() =
        listOf("at 5 a second" to 5.0, "at 1.5 a second, without a refusal" to 1.5).map { (name, offered) ->
            dynamicTest(name) {
                val contract = contract(rate = 8.0, concurrent = 20)
                val outcome = runScenario(Scenario(name, 8, { contract }, { offered }, requestMillis = 10_000))
                println(
                    "concurrency seed=$SEED offered=$offered most=${outcome.mostRunning} refused=${outcome.refused}",
                )
                expectThat(outcome.mostRunning).isLessThanOrEqualTo(21)
                if (offered <
                    2
                ) {
                    expectThat(outcome.refused.size).isEqualTo(0)
                } else {
                    expectThat(outcome.mostRunning).isGreaterThanOrEqualTo(18)
                }
            }
        }

    /** A busy router that asks at every instant must not take each start before a quiet one asks. */
    @Test
    fun `a router with a small demand is served beside one that takes all it can`() {
        val owner = CustomerOwner(0)
        val view = OwnerView(contract(rate = 100.0))
        var granted = 0
        for (millis in 0L until 60_000) {
            repeat(3) { ask(owner, view, "busy", millis, wanted = 20) }
            if (millis % 1_000 == 500L) granted += ask(owner, view, "quiet", millis).granted
        }
        expectThat(granted).isGreaterThanOrEqualTo(57)
    }

    /** A contract with a large burst and a low rate must give the burst to a customer that was silent, but only once. */
    @TestFactory
    fun `a silent customer with a burst of 50 may start`() =
        listOf(Triple("50 at its owner", -1L, 50), Triple("one at a router that has just taken over", 600_000L, 1))
            .map { (name, lossMillis, expected) ->
                dynamicTest(name) {
                    val owner = CustomerOwner(0)
                    (0L..600_000L step 1_000).forEach(owner::tick)
                    if (lossMillis >= 0) owner.forget(RouterId("lost"), lossMillis)
                    val view = OwnerView(contract(rate = 1.0, burst = 50))
                    expectThat((1..60).count { ask(owner, view, "r", 600_000).granted == 1 }).isEqualTo(expected)
                }
            }

    @Test
    fun `generated tokens over the limit refuse the next requests until they are paid off`() {
        val owner = CustomerOwner(0)
        val view = OwnerView(contract(rate = 100.0).copy(tokensPerSecond = 50.0))
        ask(owner, view, "r", 0)
        expectThat(ask(owner, view, "r", 1_000).granted).isEqualTo(1)
        expectThat(ask(owner, view, "r", 1_100, tokens = 500).limit).isEqualTo(LimitReason.TOKENS)
        (2_000L..5_000L step 1_000).forEach(owner::tick)
        expectThat(ask(owner, view, "r", 5_000).limit).isEqualTo(LimitReason.TOKENS)
        (6_000L..11_000L step 1_000).forEach(owner::tick)
        expectThat(ask(owner, view, "r", 11_500).granted).isEqualTo(1)
    }

    /**
     * Bounds the lease traffic of one node at the target size: what it sends and receives, as a router that asks and as an
     * owner. Fails at present, see KNOWN-RED.txt: almost every request is the only one of its customer at its router.
     */
    @Tag("known-red")
    @Test
    fun `leases of 41,000 customers at 7,600 requests a second fit the control traffic of a node`() {
        val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
        // Zipf with exponent 1 over 41,000 customers.
        val cumulative =
            DoubleArray(41_000).also { sums ->
                sums.indices.forEach { sums[it] = (if (it > 0) sums[it - 1] else 0.0) + 1.0 / (it + 1) }
            }
        val routers = 330
        val requests = 7_600
        val perRouterAndCustomer = HashMap<Pair<Int, Int>, Int>()
        repeat(requests) {
            val found = cumulative.binarySearch(random.nextDouble() * cumulative.last())
            val customer = if (found < 0) -found - 1 else found
            perRouterAndCustomer.merge(random.nextInt(routers) to customer, 1, Int::plus)
        }
        val request = LeaseRequest(CustomerId("customer-41000"), RouterId("0".repeat(32)), 1, 3)
        val bytes =
            Json.encodeToString(LeaseRequest.serializer(), request).length +
                Json.encodeToString(LeaseReply.serializer(), LeaseReply(1, LEASE_MILLIS, 1_000)).length + HEADER_BYTES
        val calls = perRouterAndCustomer.values.sumOf { it - it / 5 }
        val perNode = 2.0 * calls * bytes / routers
        println(
            "lease-traffic seed=$SEED calls-a-second=$calls bytes-a-call=$bytes node-bytes-a-second=%.0f".format(
                perNode,
            ),
        )
        expectThat(perNode).isLessThanOrEqualTo(18_000.0)
    }

    private fun ask(
        owner: CustomerOwner,
        view: OwnerView,
        router: String,
        millis: Long,
        wanted: Int = 1,
        tokens: Int = 0,
    ) = owner.grant(LeaseRequest(view.contract.customer, RouterId(router), wanted, 0, tokens), view, millis)
}

/** Request line, Host, Content-Type, Content-Length and the status line of both messages, without optional headers. */
private const val HEADER_BYTES = 260
