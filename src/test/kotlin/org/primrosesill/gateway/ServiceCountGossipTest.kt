/*
 * The requests at small services in gossip messages.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.exchange.shortCode
import org.primrosesill.load.GatewayUse
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.UpstreamUse
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

class ServiceCountGossipTest {
    private val upstreams = List(4) { UpstreamId("service-$it") }
    private val byCode = upstreams.associateBy { shortCode(it.value) }

    private fun use(gateway: Int, ageMillis: Long = 0, inProgress: Double = 1.0) =
        GatewayUse(shortCode("gateway-$gateway"), ageMillis, upstreams.associateWith { UpstreamUse(inProgress, 20.0) })

    // Guards against figures that arrive as other ones, and against copies that seem newer than the figures.
    @TestFactory
    fun `figures are decoded as they were encoded`(): List<DynamicTest> =
        listOf(0.0 to 0.0..0.0, 0.05 to 0.045..0.055, 1.0 to 0.9..1.1, 30.0 to 27.0..33.0, 5_000.0 to 250.0..300.0)
            .map { (figure, expected) ->
                dynamicTest("$figure in progress") {
                    val decoded = decodeServiceCounts(encodeServiceCounts(listOf(use(1, 310, figure))), byCode).single()
                    expectThat(decoded.ageMillis).isEqualTo(400)
                    expectThat(decoded.upstreams).hasSize(4)
                    expectThat(decoded.upstreams.getValue(upstreams[2]).inProgress).isIn(expected)
                }
            }

    // Guards against messages of other releases or of faulty gateways that stop a gateway or enter wrong figures.
    @TestFactory
    fun `malformed entries are ignored`(): List<DynamicTest> {
        val text = encodeServiceCounts(listOf(use(1)))
        return listOf("", "?", text.dropLast(1), "aaaa?D" + text.drop(6), "aaaaA9" + text, "aaaaAA")
            .map { dynamicTest("'$it'") { expectThat(decodeServiceCounts(it, byCode)).isEmpty() } } +
            dynamicTest("an unknown upstream") { expectThat(decodeServiceCounts(text, emptyMap())).isEmpty() }
    }

    // Guards against datagrams that grow with the fleet.
    @TestFactory
    fun `the field is bounded`(): List<DynamicTest> =
        listOf(28, 64, 91, 330).map { gateways ->
            dynamicTest("$gateways gateways") {
                val length = encodeServiceCounts(List(gateways) { use(it) }).length
                println("$gateways gateways, four upstreams: $length characters")
                expectThat(length).isLessThanOrEqualTo(1_200)
            }
        }

    // Guards against requests of a gateway that has stopped or is cut off, and against old copies that replace newer figures.
    @Test
    fun `the use of a gateway expires and is removed with it`() {
        var now = 10_000L
        val services = ServiceConcurrency("self") { now }

        fun others() = services.loads(upstreams) { 6 }.getValue(upstreams[0]).others
        services.merge(listOf(use(1, inProgress = 2.0), use(2, inProgress = 1.0), use(3, ageMillis = 1_400)))
        services.merge(listOf(use(1, ageMillis = 500, inProgress = 7.0)))
        expectThat(others()).isEqualTo(3.0)
        services.retainGateways(setOf(shortCode("gateway-1")))
        now += 50
        expectThat(others()).isEqualTo(2.0)
        now += 1_301
        expectThat(others()).isEqualTo(0.0)
        expectThat(services.uses()).hasSize(1)
    }

    // Guards against a field in the messages of gateways that do not schedule by load.
    @Test
    fun `a gateway that sends nothing to small services relays nothing`() {
        val services = ServiceConcurrency("self") { 0 }
        services.merge(listOf(use(1)))
        expectThat(encodeServiceCounts(services.uses())).isEqualTo("")
    }
}
