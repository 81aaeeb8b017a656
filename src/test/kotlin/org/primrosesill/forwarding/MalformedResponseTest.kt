/*
 * What a caller receives, over raw sockets on both sides, when the head of an upstream's response violates HTTP.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import org.primrosesill.model.ResponseDefect
import org.primrosesill.transport.RawCaller
import org.primrosesill.transport.RawResponse
import org.primrosesill.transport.RawUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val SIGNED = "X-Attempt-Id: $RAW_REQUEST_ID\r\nX-Server-Signature: s\r\n"
private const val EVENT = "id: 1\ndata: x\n\n"
private const val LENGTH = "Content-Length: ${EVENT.length}\r\n"
private const val OK = "HTTP/1.1 200 OK\r\n"
private const val VALID_RESPONSE = "$OK$SIGNED$LENGTH\r\n$EVENT"
private val failed = RawResponse(502, "", true)

/** The printable characters of [text], and the codes of the others. */
private fun escaped(text: String) =
    text
        .map {
            if (it in
                ' '..'~'
            ) {
                "$it"
            } else {
                "\\x%02x".format(it.code)
            }
        }.joinToString("")

/** A response whose head has [defect]. */
private class MalformedResponse(val name: String, val text: String, val defect: ResponseDefect)

/** A request, and whether it may be sent to a second upstream. */
private class Request(val target: String, val method: String, val repeatable: Boolean)

class MalformedResponseTest {
    private val forwarding = RawForwarding()

    @AfterEach
    fun close() = forwarding.close()

    private val requests =
        listOf(
            Request("/safe/x", "POST", repeatable = true),
            Request("/safe/x", "HEAD", repeatable = true),
            Request("/unsafe/x", "POST", repeatable = false),
            Request("/unsafe/x", "HEAD", repeatable = false),
            Request("/stream/x", "POST", repeatable = false),
            Request("/resumable/x", "POST", repeatable = true),
        )

    // Guards against a response whose status is no status of HTTP and that reaches the caller as a response (issue 52).
    @TestFactory
    fun `a response with an invalid status is no response`(): List<DynamicTest> =
        listOf("000", "001", "099", "600", "999", "20", "2000", "0200", "+200", "-200", "2x0", "0x1", "").flatMap {
            val text = "HTTP/1.1 $it OK\r\n$SIGNED$LENGTH\r\n$EVENT"
            testsOf(MalformedResponse("status '$it'", text, ResponseDefect.STATUS))
        }

    private fun testsOf(response: MalformedResponse): List<DynamicTest> =
        requests.flatMap { request ->
            val name = "${response.name}, ${request.method} ${request.target}"
            listOfNotNull(
                dynamicTest("$name, first attempt") { checkFirstAttempt(response, request) },
                dynamicTest("$name, second attempt") { checkSecondAttempt(response, request) }
                    .takeIf { request.repeatable },
                dynamicTest("$name, reused connection") { checkReused(response, request) }
                    .takeIf { request.target == "/safe/x" },
            )
        }

    private fun checkFirstAttempt(response: MalformedResponse, request: Request) =
        upstream(response.text).use { first ->
            upstream(VALID_RESPONSE).use { second ->
                val fixture = forwarding.fixture(listOf(first, second))
                val body = if (request.method == "HEAD") "" else EVENT
                val expected = if (request.repeatable) RawResponse(200, body, true) else failed
                expectThat(send(request, fixture)).isEqualTo(expected)
                expectThat(second.connections.get()).isEqualTo(if (request.repeatable) 1 else 0)
                expectThat(unknownOutcomes(fixture)).isEqualTo(listOf("outcome unknown: ${response.defect}"))
            }
        }

    private fun checkSecondAttempt(response: MalformedResponse, request: Request) =
        RawUpstream { it.readRequest() }.use { first ->
            upstream(response.text).use { second ->
                val fixture = forwarding.fixture(listOf(first, second))
                expectThat(send(request, fixture)).isEqualTo(failed)
                expectThat(unknownOutcomes(fixture).last()).isEqualTo("outcome unknown: ${response.defect}")
            }
        }

    private fun checkReused(response: MalformedResponse, request: Request) =
        upstream(VALID_RESPONSE, response.text).use { upstream ->
            val fixture = forwarding.fixture(listOf(upstream))
            expectThat(send(requests.first(), fixture)).isEqualTo(RawResponse(200, EVENT, true))
            expectThat(send(request, fixture)).isEqualTo(failed)
            expectThat(upstream.connections.get()).isEqualTo(1)
        }

    /** An upstream that sends one of [responses] after each request, and then waits for the end of the connection. */
    private fun upstream(vararg responses: String) =
        RawUpstream { connection ->
            for (response in responses) {
                connection.readRequest()
                connection.write(response)
            }
            connection.awaitClosed(timeoutMillis = 300)
        }

    private fun send(request: Request, fixture: ForwardingFixture): RawResponse =
        forwarding.send(fixture) { port, headers ->
            RawCaller(port, method = request.method).send(request.target, headers)
        }

    /** The recorded outcomes of attempts that are unknown, without how long the attempts took. */
    private fun unknownOutcomes(fixture: ForwardingFixture): List<String> =
        fixture.events
            .filter { (type, _) -> type == EventType.OUTCOME_UNKNOWN }
            .map { (_, cause) -> cause.substringBefore(", attempt took") }

    // Guards against checks that reject what HTTP allows.
    @TestFactory
    fun `a response with a valid head is delivered`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 200" to "",
            "HTTP/1.1 200 " to "",
            "HTTP/1.0 200 OK" to "",
            "HTTP/1.1 299 Other" to "",
            "HTTP/1.1 404 Not Found" to "",
            "HTTP/1.1 599 Other" to "",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" to "",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK" to "",
            "HTTP/1.1 200 OK" to "!#$%&'*+-.^_`|~09AZaz: 1\r\n",
            "HTTP/1.1 200 OK" to "X-Empty:\r\nX-Long: a\r\n b\r\n",
        ).map { (statusLine, fields) ->
            dynamicTest("${escaped(statusLine)}, '${escaped(fields)}'") {
                val status = statusLine.substringAfterLast("HTTP/").substring(4, 7).toInt()
                upstream("$statusLine\r\n$SIGNED$fields$LENGTH\r\n$EVENT").use { upstream ->
                    val received = send(Request("/unsafe/x", "POST", false), forwarding.fixture(listOf(upstream)))
                    expectThat(received).isEqualTo(RawResponse(status, EVENT, true))
                }
            }
        }
}
