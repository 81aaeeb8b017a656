/*
 * Tests of the HTTP APIs of the three stand-ins: statuses, headers and connections that close early.
 */
package org.primrosesill.standin

import arrow.core.getOrElse
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StandInProtocolTest {
    private val anyPort = SocketAddress("127.0.0.1", 0)
    private val platform = startPlatform(PlatformSettings(anyPort, callsPerSecond = 100_000)).getOrElse { error("$it") }
    private val engine =
        startEngine(anyPort, EngineSettings(UpstreamId("e1"), answerTokens = 3, bears = 0, coldMillis = 60_000))
            .getOrElse { error("$it") }
    private val service = startService(anyPort, ServiceSettings(UpstreamId("s1"))).getOrElse { error("$it") }
    private val client = HttpClient.newHttpClient()

    @AfterAll
    fun stop() {
        listOf(platform, engine, service).forEach(StandIn::close)
    }

    private class Case(
        val name: String,
        val target: StandIn,
        val call: String,
        val body: String = "",
        val status: Int = 200,
        val expectedText: String = "",
        val headers: Map<String, String> = emptyMap(),
    )

    private val chat = """{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true}"""
    private val cases =
        listOf(
            Case(
                "a cold engine returns its capacity while cold and states that nothing was executed",
                engine,
                POST_CHAT,
                chat,
                503,
                headers = coldHeaders,
            ),
            Case("a failed engine has no load report", engine, "GET /load", status = 503),
            Case("the mode of an engine is set to warm", engine, "PUT /stand-in/mode", """{"mode":"warm"}"""),
            Case(
                "a stream ends with the usage and [DONE]",
                engine,
                POST_CHAT,
                chat,
                expectedText = "\nid: 6\ndata: [DONE]\n\n",
            ),
            Case("the usage reports cached tokens", engine, POST_CHAT, chat, expectedText = "\"cached_tokens\":0"),
            Case(
                "a response without streaming contains its request id",
                engine,
                POST_CHAT,
                chat.replace("true", "false"),
                expectedText = "r1 word1 word2",
            ),
            Case(
                "a stream resumes after an event",
                engine,
                "GET /v1/streams/r1",
                expectedText = "id: 3",
                headers = echoHeader,
            ),
            Case("an unknown stream is not found", engine, "GET /v1/streams/none", status = 404),
            Case("malformed chat JSON is rejected", engine, POST_CHAT, "{", 400),
            Case(
                "a document is published",
                platform,
                "PUT /stand-in/documents/contract/a",
                "{}",
                expectedText = "\"revision\":1",
            ),
            Case("a document that is not an object is rejected", platform, "PUT /stand-in/documents/fleet", "[]", 400),
            Case("a document over 1 MB is rejected", platform, "PUT /stand-in/documents/fleet", largeDocument, 413),
            Case(
                "a published document is returned",
                platform,
                "GET /v1/configuration?since=0",
                expectedText = "contract/a",
            ),
            Case("a VM with an id that differs from the path is rejected", platform, "PUT /stand-in/vms/v2", VM, 400),
            Case("the mode of a platform is set to down", platform, "PUT /stand-in/mode", """{"mode":"down"}"""),
            Case("a platform that is down responds with 503", platform, "GET /v1/vms", status = 503),
            Case("every call is counted", platform, "GET /stand-in/calls", expectedText = "\"total\":2"),
            Case(
                "a booking is executed and returns its request id",
                service,
                POST_BOOKING,
                BOOKING,
                201,
                "r1",
                echoHeader,
            ),
            Case("a repeated key is executed again", service, POST_BOOKING, BOOKING, 201),
            Case(
                "duplicate keys are listed",
                service,
                "GET /stand-in/executions",
                expectedText = "\"doubles\":[\"key1\"]",
            ),
            Case("each executed booking reduces the stock", service, "GET /stock/tent", expectedText = "\"left\":98"),
            Case("a fault is injected", service, PUT_FAULT, fault("refuse")),
            Case(
                "a rejection states that nothing was executed",
                service,
                POST_BOOKING,
                BOOKING,
                503,
                headers = mapOf("X-Not-Run" to "true"),
            ),
            Case("a fault is injected", service, PUT_FAULT, fault("close-after-read")),
            Case("the connection closes after the body was read", service, POST_BOOKING, BOOKING, status = NO_RESPONSE),
            Case("a fault is injected", service, PUT_FAULT, fault("cut")),
            Case("a response is truncated", service, POST_BOOKING, BOOKING, status = NO_RESPONSE),
            Case("a fault is injected", service, PUT_FAULT, fault("wrong-request-id")),
            Case(
                "a response has a different request id",
                service,
                POST_BOOKING,
                BOOKING,
                201,
                headers = mapOf("X-Request-Id" to "other-r1"),
            ),
            Case(
                "a fault ends after its count of requests",
                service,
                POST_BOOKING,
                BOOKING,
                201,
            ),
            Case(
                "every call except the rejected one was executed",
                service,
                "GET /stock/tent",
                expectedText = "\"left\":94",
            ),
        )

    // Guards against stand-ins whose responses differ from the protocols in the design document.
    @TestFactory
    fun protocol(): List<DynamicTest> = cases.map { DynamicTest.dynamicTest("${it.call}: ${it.name}") { check(it) } }

    // Guards against a stack trace, or a process without a listener, when the port is in use.
    @Test
    fun `a port in use returns a typed failure`() {
        val second = startService(engine.address, ServiceSettings(UpstreamId("s2")))
        expectThat(second.leftOrNull()).isA<StandInFailure.AddressNotUsable>()
    }

    private fun check(case: Case) {
        val (method, path) = case.call.split(' ')
        val request =
            HttpRequest
                .newBuilder(URI("http://${case.target.address}$path"))
                .timeout(Duration.ofSeconds(10))
                .method(method, HttpRequest.BodyPublishers.ofString(case.body))
                .header("X-Request-Id", "r1")
                .header("Idempotency-Key", "key1")
                .header("Last-Event-ID", "2")
                .build()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (_: IOException) {
                null
            }
        expectThat(response?.statusCode() ?: NO_RESPONSE).isEqualTo(case.status)
        expectThat(response?.body().orEmpty()).contains(case.expectedText)
        for ((name, value) in case.headers) {
            expectThat(response?.headers()?.firstValue(name)?.orElse(null)).isEqualTo(value)
        }
    }

    private companion object {
        const val NO_RESPONSE = 0
        const val POST_CHAT = "POST /v1/chat/completions"
        const val POST_BOOKING = "POST /bookings"
        const val PUT_FAULT = "PUT /stand-in/fault"
        const val BOOKING = """{"item":"tent"}"""
        const val VM = """{"id":"v1","availabilityZone":"a","kind":"engine","address":"127.0.0.1:1","state":"live"}"""
        val largeDocument = """{"a":"${"x".repeat(1_000_001)}"}"""
        val echoHeader = mapOf("X-Request-Id" to "r1")
        val coldHeaders = mapOf("X-Not-Run" to "true", "X-Upstream-State" to "cold", "X-Bears" to "0")

        fun fault(name: String): String = """{"fault":"$name","count":1}"""
    }
}
