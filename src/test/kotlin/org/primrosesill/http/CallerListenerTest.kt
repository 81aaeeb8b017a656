/*
 * Tests the caller listener on the wire: one typed problem for each invalid request, and responses that are complete or
 * detectably truncated.
 */
package org.primrosesill.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.Failure
import org.primrosesill.request.BodyPart
import org.primrosesill.request.CHAT_BODY
import org.primrosesill.request.Reply
import org.primrosesill.request.RequestFixture
import org.primrosesill.request.ScriptedClient
import org.primrosesill.request.TOKEN
import org.primrosesill.request.stallMarker
import org.primrosesill.transport.headerOf
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.net.SocketException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val AUTHORIZATION = "Authorization: Bearer $TOKEN\r\n"

private class Case(val name: String, val status: Int, val type: String, val request: String)

private fun post(path: String, body: String, headers: String = AUTHORIZATION, length: Int = body.length) =
    "POST $path HTTP/1.1\r\nHost: h\r\n${headers}Content-Length: $length\r\nConnection: close\r\n\r\n$body"

private fun chat(body: String, headers: String = AUTHORIZATION) = post("/v1/chat/completions", body, headers)

private fun get(path: String, headers: String = AUTHORIZATION, method: String = "GET") =
    "$method $path HTTP/1.1\r\nHost: h\r\n${headers}Connection: close\r\n\r\n"

private val settings = CallerListenerSettings(bodyTimeout = 300.milliseconds, writeTimeout = 300.milliseconds)

/** Sends [request] and returns the received bytes up to the end of the response or of the connection. */
internal fun sendRaw(port: Int, request: String): String =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        socket.getOutputStream().write(request.toByteArray())
        val received = StringBuilder()
        try {
            while (!isComplete(received)) {
                val byte = socket.getInputStream().read()
                if (byte < 0) break
                received.append(byte.toChar())
            }
        } catch (_: SocketException) {
            received.append("<reset>")
        }
        received.toString()
    }

internal fun isComplete(response: CharSequence): Boolean {
    val headLength = response.indexOf("\r\n\r\n") + 4
    if (headLength < 4) return false
    val length = headerOf(response.substring(0, headLength), "content-length")?.toInt()
    return if (length == null) response.endsWith("\r\n0\r\n\r\n") else response.length == headLength + length
}

class CallerListenerTest {
    private fun <T> withListener(fixture: RequestFixture, block: (Int) -> T): T =
        runBlocking {
            val listener = callerListener("127.0.0.1", 0, fixture.flow, settings)
            val port = listener.start()
            try {
                block(port)
            } finally {
                listener.stop(1.seconds)
            }
        }

    private val invalidRequests =
        listOf(
            Case("no credential", 401, "unknown-customer", chat(CHAT_BODY, "")),
            Case("an unknown credential", 401, "unknown-customer", chat(CHAT_BODY, "Authorization: Bearer x\r\n")),
            Case("another scheme", 401, "unknown-customer", chat(CHAT_BODY, "Authorization: Basic $TOKEN\r\n")),
            Case("two credentials", 400, "malformed-request", chat(CHAT_BODY, AUTHORIZATION + AUTHORIZATION)),
            Case("an unknown path", 404, "unknown-path", get("/v1/models")),
            Case("a wrong method", 405, "method-not-allowed", get("/v1/chat/completions")),
            Case("an unusual method", 405, "method-not-allowed", get("/v1/services/stock/b", method = "TRACE")),
            Case("an unknown model", 404, "unknown-pool", chat(CHAT_BODY.replace("\"m\"", "\"x\""))),
            Case(
                "a model that the fleet does not have",
                404,
                "unknown-pool",
                chat(CHAT_BODY.replace("\"m\"", "\"gone\"")),
            ),
            Case("an unknown service", 404, "unknown-pool", get("/v1/services/x/b")),
            Case("a model as a service", 404, "unknown-pool", get("/v1/services/m/b")),
            Case("a body that is not JSON", 400, "malformed-request", chat("{\"model\":")),
            Case("a JSON list", 400, "malformed-request", chat("[]")),
            Case("a model that is a number", 400, "malformed-request", chat("{\"model\":1,\"messages\":[]}")),
            Case("no messages", 400, "malformed-request", chat("{\"model\":\"m\",\"messages\":[]}")),
            Case("a message without role", 400, "malformed-request", chat("{\"model\":\"m\",\"messages\":[{}]}")),
            Case("stream as a string", 400, "malformed-request", chat(CHAT_BODY.replace("true", "\"yes\""))),
            Case("a body over the limit", 413, "body-too-large", chat(" ".repeat(4_097))),
            Case(
                "an endless chunked body",
                413,
                "body-too-large",
                get("/v1/chat/completions", AUTHORIZATION + "Transfer-Encoding: chunked\r\n", "POST") +
                    "400\r\n${" ".repeat(1024)}\r\n".repeat(5),
            ),
            Case("a body that does not arrive", 408, "body-incomplete", post("/v1/chat/completions", "{", length = 9)),
            Case(
                "a large header",
                400,
                "malformed-request",
                chat(CHAT_BODY, AUTHORIZATION + "X-A: ${"a".repeat(4_097)}\r\n"),
            ),
            Case("a long path", 400, "malformed-request", get("/v1/services/stock/" + "a".repeat(4_097))),
            Case(
                "many headers",
                400,
                "malformed-request",
                chat(
                    CHAT_BODY,
                    AUTHORIZATION + "X-A: ${"a".repeat(4_000)}\r\n".repeat(5),
                ),
            ),
            Case("a path that is not encoded", 400, "malformed-request", get("/v1/services/stock/a|b")),
            Case("a relative path", 400, "malformed-request", get("/v1/services/stock/%2e%2e/load")),
            Case("a booking without a key", 400, "key-required", post("/v1/services/booking/b", "{}")),
            Case(
                "a key that is too long",
                400,
                "key-invalid",
                post("/v1/services/booking/b", "{}", AUTHORIZATION + "Idempotency-Key: ${"k".repeat(256)}\r\n"),
            ),
            Case(
                "a long conversation id",
                400,
                "malformed-request",
                chat(
                    CHAT_BODY,
                    AUTHORIZATION + "X-Conversation-Id: ${"i".repeat(257)}\r\n",
                ),
            ),
        )

    // Guards against untyped errors, and against errors that do not state whether the request was executed.
    @TestFactory
    fun `an invalid request is rejected with its typed problem`(): List<DynamicTest> =
        invalidRequests.map { case ->
            dynamicTest(case.name) {
                val fixture = RequestFixture(ScriptedClient(emptyList()))
                val request = case.request.replaceFirst("Host: h", "Host: h\r\nX-Request-Id: id-1")
                val response = withListener(fixture) { sendRaw(it, request) }
                expectThat(response).startsWith("HTTP/1.1 ${case.status} ")
                expectThat(headerOf(response, "content-type")).isEqualTo("application/problem+json")
                expectThat(headerOf(response, "x-request-id")).isEqualTo("id-1")
                expectThat(response).contains("urn:primrosesill:problem:${case.type}\"").contains("\"ran\":\"not-run\"")
                expectThat(fixture.leaks()).isEmpty()
            }
        }
}
