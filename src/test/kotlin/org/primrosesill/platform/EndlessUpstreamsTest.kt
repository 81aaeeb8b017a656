/*
 * Twenty upstreams that send without end to callers that do not read, and what the gateway buffers meanwhile.
 */
package org.primrosesill.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndlessUpstreamsTest {
    private class Case(val endless: String, val mode: UpstreamMode, val unreadTarget: String, val otherTarget: String)

    /** Sends a request whose response is not read. */
    private fun sendUnread(address: String, target: String, id: Int): Socket {
        val socket = Socket()
        socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
        socket.connect(InetSocketAddress("127.0.0.1", address.substringAfter(':').toInt()))
        val fields = "Host: h.example\r\nAuthorization: Bearer ${SiteStandIn.KEY}\r\nX-Attempt-Id: unread-$id\r\n"
        socket.getOutputStream().write("GET $target$id HTTP/1.1\r\n$fields\r\n".toByteArray())
        return socket
    }

    private suspend fun GatewayFixture.bufferedBytes(): Long =
        get(settings[0].metricsAddress, "/metrics")
            .body
            .lines()
            .first { it.startsWith("primrosesill_buffered_bytes ") }
            .substringAfter(' ')
            .toDouble()
            .toLong()

    // Guards against a gateway that runs out of memory because many responses each reach the limit of one response.
    @TestFactory
    fun `many responses without end are buffered up to the budget`(): List<DynamicTest> =
        tests(
            Case("desk", UpstreamMode.ENDLESS, "/stock/", "/chat/"),
            Case("desk", UpstreamMode.ENDLESS, "/book/", "/chat/"),
        )

    // Guards against the same with streams of valid events. Another request failed in some runs; see KNOWN-RED.txt.
    @Tag("known-red")
    @TestFactory
    fun `many streams without end are buffered up to the budget`(): List<DynamicTest> =
        tests(
            Case("engine", UpstreamMode.ENDLESS_EVENTS, "/chat/", "/stock/"),
            Case("engine", UpstreamMode.ENDLESS_EVENTS, "/long/", "/stock/"),
            Case("engine", UpstreamMode.ENDLESS, "/chat/", "/stock/"),
        )

    private fun tests(vararg cases: Case): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.endless}, ${case.mode}, ${case.unreadTarget}") {
                GatewayFixture(engines = 20, desks = 20).use { fixture ->
                    fixture.start()
                    fixture.site.upstreams
                        .filter { it.id.startsWith(case.endless) }
                        .forEach { it.mode = case.mode }
                    runBlocking { check(fixture, case) }
                }
            }
        }

    private suspend fun check(fixture: GatewayFixture, case: Case) {
        val callers = List(CALLERS) { sendUnread(fixture.settings[0].callerAddress, case.unreadTarget, it) }
        var mostBytes = 0L
        repeat(SAMPLES) {
            mostBytes = maxOf(mostBytes, fixture.bufferedBytes())
            val other = fixture.call(CallerRequest("${case.otherTarget}$it", "other-$it"))
            expectThat(other.status).describedAs("another request").isEqualTo(200)
            delay(SAMPLE_INTERVAL)
        }
        expectThat(mostBytes).describedAs("bytes buffered").isGreaterThan(0).isLessThan(MAXIMUM_BUFFERED_BYTES)
        awaitCondition("nothing is buffered after the deadlines", limit = 10.seconds) { fixture.bufferedBytes() == 0L }
        callers.forEach { it.close() }
    }

    private companion object {
        const val CALLERS = 110
        const val SAMPLES = 40
        val SAMPLE_INTERVAL = 20.milliseconds
        const val RECEIVE_BUFFER_BYTES = 4 * 1024

        /** The budget, and one read of 64 KB for each caller. */
        const val MAXIMUM_BUFFERED_BYTES = 32L * 1024 * 1024 + CALLERS * 64 * 1024
    }
}
