/*
 * Upstreams on raw sockets that send an endless byte stream without a response to the request.
 */
package org.primrosesill.transport

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.HeadMatch
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isLessThan
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

class EndlessInputTest {
    private val loop = TrafficLoop(throwingReporter)
    private val client = nettyUpstreamClient(loop)

    @AfterEach
    fun close() = loop.close()

    private class Case(val name: String, val prefix: String, val repeated: String)

    // Guards against a request that consumes CPU until its deadline for input that is never used.
    @TestFactory
    fun `input without a response closes the connection`(): List<DynamicTest> =
        listOf(
            Case("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
            Case(
                "responses to another request",
                "",
                "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000\r\n\r\n$kilobyte",
            ),
            Case(
                "one response to another request",
                "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999\r\n\r\n",
                kilobyte,
            ),
            Case("input after a switch of protocols", SWITCH_OF_PROTOCOLS, kilobyte),
            Case("responses after a switch of protocols", SWITCH_OF_PROTOCOLS, CHUNKED_HEAD),
            Case("control characters", "", "\u0000".repeat(1_000)),
            Case("empty lines", "", "\r\n".repeat(500)),
            Case("garbage", "", kilobyte),
            Case("an unterminated status line", "HTTP/1.1 200 ", kilobyte),
            Case("an unterminated header field", "HTTP/1.1 200 OK\r\nX-Id: ", kilobyte),
            Case("endless header fields", "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"),
        ).map { case ->
            dynamicTest(case.name) {
                val sent = AtomicLong()
                val result =
                    endlessUpstream(
                        case,
                        sent,
                    ).use { runBlocking { client.exchange(callTo(it.address)) { "responded" } } }
                expectThat(result).isA<ExchangeResult.ConnectionFailed>()
                expectThat(sent.get()).describedAs("bytes sent").isLessThan(MAXIMUM_SENT_BYTES)
            }
        }

    // Guards against input after the head of a response that is buffered without a limit.
    @TestFactory
    fun `malformed input within a body closes the connection`(): List<DynamicTest> =
        listOf(
            Case("an unterminated chunk size", CHUNKED_HEAD, "0".repeat(1_000)),
            Case("an unterminated chunk extension", "${CHUNKED_HEAD}1;x=", kilobyte),
            Case("an unterminated trailer", "${CHUNKED_HEAD}0\r\nX-Field: ", kilobyte),
            Case("trailers", "${CHUNKED_HEAD}0\r\n", "X-Field: 1\r\n"),
        ).map { case ->
            dynamicTest(case.name) {
                val sent = AtomicLong()
                val result =
                    endlessUpstream(
                        case,
                        sent,
                    ).use { runBlocking { client.exchange(callTo(it.address), ::endOf) } }
                expectThat(result).isA<ExchangeResult.Responded<BodyPart>>().get { value }.isA<BodyPart.Truncated>()
                expectThat(sent.get()).describedAs("bytes sent").isLessThan(MAXIMUM_SENT_BYTES)
            }
        }

    private suspend fun endOf(response: UpstreamResponse): BodyPart {
        while (true) {
            val part = response.body.next()
            if (part !is BodyPart.Bytes) return part
        }
    }

    private fun endlessUpstream(case: Case, sent: AtomicLong) =
        RawUpstream { connection ->
            connection.readRequest()
            connection.write(case.prefix)
            try {
                while (sent.get() < MAXIMUM_SENT_BYTES) {
                    connection.write(case.repeated)
                    sent.addAndGet(case.repeated.length.toLong())
                }
            } catch (_: IOException) {
                // The client has closed the connection.
            }
        }

    private fun callTo(address: String) =
        UpstreamCall(
            UpstreamId("u"),
            address,
            "GET",
            "/",
            "r1",
            HeaderFields(),
            body = null,
            timeout = 20.seconds,
            matchHead = { if (it["X-Id"] == "other") HeadMatch.OTHER_CALL else HeadMatch.THIS_CALL },
        )

    private companion object {
        val kilobyte = "x".repeat(1_000)
        const val SWITCH_OF_PROTOCOLS = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        /** Above the client's limit plus the capacity of the socket buffers. */
        const val MAXIMUM_SENT_BYTES = 32L * 1024 * 1024
    }
}
