/*
 * Requests that a stopping gateway receives late, over a raw socket.
 */
package org.primrosesill.platform

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

class LateRequestTest {
    private var fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    /**
     * @property headAtMillis time from the beginning of the stop until the head of the request is sent
     * @property bodyAtMillis time until its body is complete
     */
    private class Case(
        val name: String,
        val target: String,
        val headAtMillis: Long,
        val bodyAtMillis: Long,
        val status: Int,
    )

    // Guards against requests that are passed on although the gateway stops before they can end, so that they are cut without
    // a response, those that may not be repeated among them. The grace period ends 3.5 s after the stop began.
    @TestFactory
    fun `a request that may outlast the grace period is rejected as not run`(): List<DynamicTest> =
        listOf(
            Case("a booking whose body ends late", "/book/1", headAtMillis = 2_000, bodyAtMillis = 2_900, status = 503),
            Case("a stream whose body ends late", "/chat/1", headAtMillis = 2_000, bodyAtMillis = 2_900, status = 503),
            Case("a booking at once", "/book/2", headAtMillis = 1_000, bodyAtMillis = 1_000, status = 503),
            Case("a read at once", "/stock/2", headAtMillis = 1_000, bodyAtMillis = 1_000, status = 200),
        ).map { case -> dynamicTest(case.name) { play(case) } }

    private fun play(case: Case) {
        fixture.close()
        fixture = GatewayFixture()
        fixture.start()
        val (address, port) = fixture.settings[0].callerAddress.split(':')
        val received =
            runBlocking {
                val stop = async(Dispatchers.IO) { fixture.gateways[0].stop() }
                delay(case.headAtMillis.milliseconds)
                val response = async(Dispatchers.IO) { Socket(address, port.toInt()).use { exchange(it, case) } }
                response.await().also { stop.await() }
            }
        expectThat(received).startsWith("HTTP/1.1 ${case.status} ")
        if (case.status ==
            503
        ) {
            expectThat(received.lowercase()).contains("retry-after: 0.1").contains("connection: close")
        }
        val executions = fixture.site.upstreams.sumOf { it.executed.size }
        expectThat(executions).describedAs("executions").isEqualTo(if (case.status == 200) 1 else 0)
    }

    /** Sends the request of [case] in two parts and returns what is received until the connection is closed. */
    private fun exchange(socket: Socket, case: Case): String {
        socket.soTimeout = 5_000
        val head =
            "POST ${case.target} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer ${SiteStandIn.KEY}\r\n" +
                "X-Attempt-Id: late\r\nContent-Length: 4\r\n\r\n"
        socket.getOutputStream().write((head + "ab").toByteArray())
        Thread.sleep(case.bodyAtMillis - case.headAtMillis)
        socket.getOutputStream().write("cd".toByteArray())
        return socket.getInputStream().readBytes().decodeToString()
    }
}
