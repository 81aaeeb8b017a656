/*
 * Contract of the three stand-ins over HTTP: statuses, headers and connections that end early.
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
        val at: StandIn,
        val call: String,
        val body: String = "",
        val status: Int = 200,
        val holds: String = "",
        val headers: Map<String, String> = emptyMap(),
    )

    private val chat = """{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true}"""
    private val cases =
        listOf(
            Case(
                "a cold engine says what it bears and that nothing ran",
                engine,
                CHAT,
                chat,
                503,
                headers = coldHeaders,
            ),
            Case("an engine that fell over has no load report", engine, "GET /load", status = 503),
            Case("an engine is set warm", engine, "PUT /stand-in/mode", """{"mode":"warm"}"""),
            Case("a stream ends with the usage and [DONE]", engine, CHAT, chat, holds = "\nid: 6\ndata: [DONE]\n\n"),
            Case("the usage reports cached tokens", engine, CHAT, chat, holds = "\"cached_tokens\":0"),
            Case(
                "a whole answer names its request",
                engine,
                CHAT,
                chat.replace("true", "false"),
                holds = "r1 word1 word2",
            ),
            Case(
                "a stream resumes after an event",
                engine,
                "GET /v1/streams/r1",
                holds = "id: 3",
                headers = echoHeader,
            ),
            Case("an unknown stream is not found", engine, "GET /v1/streams/none", status = 404),
            Case("malformed chat JSON is refused", engine, CHAT, "{", 400),
            Case(
                "a document is published",
                platform,
                "PUT /stand-in/documents/contract/a",
                "{}",
                holds = "\"revision\":1",
            ),
            Case("a document that is no object is refused", platform, "PUT /stand-in/documents/fleet", "[]", 400),
            Case("a value over 1 MB is refused", platform, "PUT /stand-in/documents/fleet", largeDocument, 413),
            Case("documents are read", platform, "GET /v1/configuration?since=0", holds = "contract/a"),
            Case("a VM under another id is refused", platform, "PUT /stand-in/vms/v2", VM, 400),
            Case("a platform goes down", platform, "PUT /stand-in/mode", """{"mode":"down"}"""),
            Case("a platform that is down answers 503", platform, "GET /v1/vms", status = 503),
            Case("every call is counted", platform, "GET /stand-in/calls", holds = "\"total\":2"),
            Case("a booking runs and echoes its request id", service, BOOK, ITEM, 201, "r1", echoHeader),
            Case("a second run of a key shows", service, BOOK, ITEM, 201),
            Case("doubles are listed", service, "GET /stand-in/executions", holds = "\"doubles\":[\"key1\"]"),
            Case("stock falls with each run", service, "GET /stock/tent", holds = "\"left\":98"),
            Case("a fault is set", service, FAULT, fault("refuse")),
            Case("a refusal says that nothing ran", service, BOOK, ITEM, 503, headers = mapOf("X-Not-Run" to "true")),
            Case("a fault is set", service, FAULT, fault("close-after-read")),
            Case("a connection closes after the body was read", service, BOOK, ITEM, status = NO_ANSWER),
            Case("a fault is set", service, FAULT, fault("cut")),
            Case("an answer is cut half way", service, BOOK, ITEM, status = NO_ANSWER),
            Case("a fault is set", service, FAULT, fault("wrong-request-id")),
            Case(
                "an answer carries another id",
                service,
                BOOK,
                ITEM,
                201,
                headers = mapOf("X-Request-Id" to "other-r1"),
            ),
            Case(
                "a fault ends after its count and none but the refusal kept a call from running",
                service,
                BOOK,
                ITEM,
                201,
            ),
            Case("stock shows each run", service, "GET /stock/tent", holds = "\"left\":94"),
        )

    // Guards against stand-ins that answer otherwise than the protocols of the design page say.
    @TestFactory
    fun protocol(): List<DynamicTest> = cases.map { DynamicTest.dynamicTest("${it.call}: ${it.name}") { check(it) } }

    // Guards against a stack trace or a process without a listener when the port is taken.
    @Test
    fun `a port in use is a typed failure`() {
        val second = startService(engine.address, ServiceSettings(UpstreamId("s2")))
        expectThat(second.leftOrNull()).isA<StandInFailure.AddressNotUsable>()
    }

    private fun check(case: Case) {
        val (method, path) = case.call.split(' ')
        val request =
            HttpRequest
                .newBuilder(URI("http://${case.at.address}$path"))
                .timeout(Duration.ofSeconds(10))
                .method(method, HttpRequest.BodyPublishers.ofString(case.body))
                .header("X-Request-Id", "r1")
                .header("Idempotency-Key", "key1")
                .header("Last-Event-ID", "2")
                .build()
        val answer =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (_: IOException) {
                null
            }
        expectThat(answer?.statusCode() ?: NO_ANSWER).isEqualTo(case.status)
        expectThat(answer?.body().orEmpty()).contains(case.holds)
        for ((name, value) in case.headers) {
            expectThat(answer?.headers()?.firstValue(name)?.orElse(null)).isEqualTo(value)
        }
    }

    private companion object {
        const val NO_ANSWER = 0
        const val CHAT = "POST /v1/chat/completions"
        const val BOOK = "POST /bookings"
        const val FAULT = "PUT /stand-in/fault"
        const val ITEM = """{"item":"tent"}"""
        const val VM = """{"id":"v1","availabilityZone":"a","kind":"engine","address":"127.0.0.1:1","state":"live"}"""
        val largeDocument = """{"a":"${"x".repeat(1_000_001)}"}"""
        val echoHeader = mapOf("X-Request-Id" to "r1")
        val coldHeaders = mapOf("X-Not-Run" to "true", "X-Upstream-State" to "cold", "X-Bears" to "0")

        fun fault(name: String): String = """{"fault":"$name","count":1}"""
    }
}
