/*
 * Leases of one customer. Guards against refusals of a customer with few requests, against more than one lease call per
 * request for it, against one call per request for a busy customer, against starvation of a router with a small demand,
 * and against wrong counts of concurrent requests and tokens.
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
            Triple(
                "are at most one per request of a customer with 1 request per second over 330 routers",
                330 to 1.0,
                1.0,
            ),
            Triple("are at most one per request of a customer with 1 request per second at one router", 1 to 1.0, 1.0),
            Triple(
                "are at most 0.1 per request of a customer with 200 requests per second at one router",
                1 to 200.0,
                0.1,
            ),
        ).map { (name, fleet, callsPerRequest) ->
            dynamicTest(name) {
                val (routers, rate) = fleet
                val result = runScenario(Scenario(name, routers, { contract(rate) }, { rate }, seconds = 60))
                println(
                    "calls seed=$SEED routers=$routers rate=$rate calls=${result.calls} of ${result.offered} refused=${result.refused}",
                )
                expectThat(result.refused.size).isEqualTo(0)
                expectThat(result.calls.toDouble()).isLessThanOrEqualTo(callsPerRequest * result.offered)
            }
        }

    @TestFactory
    fun `concurrent requests of 10 s over 8 routers stay within a limit of 20`() =
        listOf("at 5 per second" to 5.0, "at 1.5 per second, without a refusal" to 1.5).map { (name, offered) ->
            dynamicTest(name) {
                val contract = contract(rate = 8.0, concurrent = 20)
                val result = runScenario(Scenario(name, 8, { contract }, { offered }, requestMillis = 10_000))
                println(
                    "concurrency seed=$SEED offered=$offered maximum=${result.maximumRunning} refused=${result.refused}",
                )
                expectThat(result.maximumRunning).isLessThanOrEqualTo(21)
                if (offered <
                    2
                ) {
                    expectThat(result.refused.size).isEqualTo(0)
                } else {
                    expectThat(result.maximumRunning).isGreaterThanOrEqualTo(18)
                }
            }
        }

    /**
     * A router that requests leases every millisecond must not drain the bucket before another one requests a permit.
     */
    @Test
    fun `a router with a small demand receives permits while another one requests as many as it can`() {
        val owner = CustomerOwner(0)
        val context = GrantContext(contract(rate = 100.0))
        var granted = 0
        for (millis in 0L until 60_000) {
            repeat(3) { requestLease(owner, context, "busy", millis, wanted = 20) }
            if (millis % 1_000 == 500L) granted += requestLease(owner, context, "quiet", millis).granted
        }
        expectThat(granted).isGreaterThanOrEqualTo(57)
    }

    /** With a large burst and a low rate, a customer that was idle must receive the burst, but only once. */
    @TestFactory
    fun `an idle customer with a burst of 50 may start`() =
        listOf(
            Triple("50 requests at its owner", -1L, 50),
            Triple("one request at a router that has just become its owner", 600_000L, 1),
        ).map { (name, memberLossMillis, expected) ->
            dynamicTest(name) {
                val owner = CustomerOwner(0)
                (0L..600_000L step 1_000).forEach(owner::tick)
                if (memberLossMillis >= 0) owner.removeRouter(RouterId("lost"), memberLossMillis)
                val context = GrantContext(contract(rate = 1.0, burst = 50))
                expectThat(
                    (1..60).count { requestLease(owner, context, "r", 600_000).granted == 1 },
                ).isEqualTo(expected)
            }
        }

    @Test
    fun `requests are refused until the generated tokens over the limit are refilled`() {
        val owner = CustomerOwner(0)
        val context = GrantContext(contract(rate = 100.0).copy(tokensPerSecond = 50.0))
        requestLease(owner, context, "r", 0)
        expectThat(requestLease(owner, context, "r", 1_000).granted).isEqualTo(1)
        expectThat(requestLease(owner, context, "r", 1_100, tokens = 500).limit).isEqualTo(LimitReason.TOKENS)
        (2_000L..5_000L step 1_000).forEach(owner::tick)
        expectThat(requestLease(owner, context, "r", 5_000).limit).isEqualTo(LimitReason.TOKENS)
        (6_000L..11_000L step 1_000).forEach(owner::tick)
        expectThat(requestLease(owner, context, "r", 11_500).granted).isEqualTo(1)
    }

    /**
     * Bounds the lease traffic of one router at the target size: the bytes that it sends and receives, both as the
     * requesting router and as an owner. Fails at present, see KNOWN-RED.txt: almost every request is the only one of
     * its customer at its router, so that few requests share a lease call.
     */
    @Tag("known-red")
    @Test
    fun `leases of 41,000 customers at 7,600 requests a second fit the control traffic of a node`() {
        val random = RandomSource.XO_SHI_RO_256_PP.create(SEED)
        // Zipf distribution with exponent 1 over 41,000 customers.
        val cumulative =
            DoubleArray(41_000).also { sums ->
                sums.indices.forEach { sums[it] = (if (it > 0) sums[it - 1] else 0.0) + 1.0 / (it + 1) }
            }
        val routers = 330
        val requests = 7_600
        val requestsByRouterAndCustomer = HashMap<Pair<Int, Int>, Int>()
        repeat(requests) {
            val position = cumulative.binarySearch(random.nextDouble() * cumulative.last())
            val customer = if (position < 0) -position - 1 else position
            requestsByRouterAndCustomer.merge(random.nextInt(routers) to customer, 1, Int::plus)
        }
        val request = LeaseRequest(CustomerId("customer-41000"), RouterId("0".repeat(32)), 1, 3)
        val bytes =
            Json.encodeToString(LeaseRequest.serializer(), request).length +
                Json.encodeToString(LeaseReply.serializer(), LeaseReply(1, LEASE_MILLIS, 1_000)).length + HEADER_BYTES
        val calls = requestsByRouterAndCustomer.values.sumOf { it - it / 5 }
        val bytesPerNode = 2.0 * calls * bytes / routers
        println(
            "lease-traffic seed=$SEED calls-a-second=$calls bytes-a-call=$bytes node-bytes-a-second=%.0f".format(
                bytesPerNode,
            ),
        )
        expectThat(bytesPerNode).isLessThanOrEqualTo(18_000.0)
    }

    private fun requestLease(
        owner: CustomerOwner,
        context: GrantContext,
        router: String,
        millis: Long,
        wanted: Int = 1,
        tokens: Int = 0,
    ) = owner.grant(LeaseRequest(context.contract.customer, RouterId(router), wanted, 0, tokens), context, millis)
}

/** Request line, Host, Content-Type, Content-Length and the status line of both messages, without optional headers. */
private const val HEADER_BYTES = 260
