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
private val chunked = "${EVENT.length.toString(radix = 16)}\r\n$EVENT\r\n0\r\n\r\n"
private val failed = RawResponse(502, "", true)

/** The printable characters of [text], and the codes of the others. */
private fun escaped(text: String): String =
    buildString { text.forEach { if (it in ' '..'~') append(it) else append("\\x%02x".format(it.code)) } }

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

    // Guards against a response in another protocol or version, whose framing may differ.
    @TestFactory
    fun `a response that is not in HTTP 1 is no response`(): List<DynamicTest> =
        listOf(
            "HTTP/0.9",
            "HTTP/1",
            "HTTP/1.10",
            "HTTP/2.0",
            "HTTP/2",
            "HTTPS/1.1",
            "ICY",
            "RTSP/1.0",
            "http/1.1",
            "1.1",
        ).flatMap { version ->
            val text = "$version 200 OK\r\n$SIGNED$LENGTH\r\n$EVENT"
            testsOf(MalformedResponse("version '$version'", text, ResponseDefect.VERSION))
        }

    // Guards against a response in which the name of a field is no token, and that reaches the caller with this line or
    // with a body that is framed by it (issue 52).
    @TestFactory
    fun `a response with an invalid field name is no response`(): List<DynamicTest> =
        listOf(
            "X Bad: 1",
            "X-Bad : 1",
            "X-Bad\t: 1",
            "X\tBad: 1",
            "X Bad",
            "X\u0000Bad: 1",
            "X\u0001Bad: 1",
            "X\rBad: 1",
            "X\u000bBad: 1",
            "X\u001fBad: 1",
            "X\u007fBad: 1",
            "X\u00e9Bad: 1",
            "X(Bad): 1",
            ": 1",
            "Content-Length : 2",
            "Content Length: 2",
            "Content-Length\u0001: 2",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding\u0001: chunked",
            "X-Server-Signature : s",
        ).flatMap { line ->
            listOf(
                "'${escaped(line)}' first" to "$line\r\n$SIGNED$LENGTH",
                "'${escaped(line)}' last" to "$SIGNED$LENGTH$line\r\n",
                "'${escaped(line)}' without a length" to "$SIGNED$line\r\n",
            )
        }.plus(
            listOf(" X-Bad: 1", "\tX-Bad: 1", " : 1", " ", " Content-Length: 2").map { line ->
                "folded first line '${escaped(line)}'" to "$line\r\n$SIGNED$LENGTH"
            },
        ).flatMap { (name, fields) ->
            testsOf(MalformedResponse(name, "$OK$fields\r\n$EVENT", ResponseDefect.FIELD_NAME))
        }

    // Guards against a line of the head that is no field and is ignored.
    @TestFactory
    fun `a response with a line without a colon is no response`(): List<DynamicTest> =
        testsOf(MalformedResponse("no colon", "${OK}X-Bad\r\n$SIGNED$LENGTH\r\n$EVENT", ResponseDefect.OTHER_HEAD))

    // Guards against a request that is sent again, or rejected as not run, by the word of a malformed response.
    @TestFactory
    fun `a malformed response does not show that the request has not run`(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 000 OK\r\n" to ResponseDefect.STATUS,
            "HTTP/1.1 503 Busy\r\nX Bad: 1\r\n" to ResponseDefect.FIELD_NAME,
            "HTTP/1.1 421 Other\r\nX Bad: 1\r\n" to ResponseDefect.FIELD_NAME,
        ).flatMap { (head, defect) ->
            val text = "$head${SIGNED}X-Not-Executed: 1\r\n$LENGTH\r\n$EVENT"
            testsOf(MalformedResponse("'${escaped(head)}'", text, defect))
        }

    // Guards against what follows a switch of protocols, which no request asks for, and is taken for a response.
    @TestFactory
    fun `what follows a switch of protocols is no response`(): List<DynamicTest> =
        listOf("", "Upgrade: websocket\r\n", "Upgrade: websocket\r\nSec-WebSocket-Accept: x\r\n", LENGTH)
            .flatMap { fields ->
                requests.map { request ->
                    dynamicTest("'${escaped(fields)}', ${request.method} ${request.target}") {
                        val head = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n$SIGNED$fields\r\n"
                        upstream(head + VALID_RESPONSE).use { upstream ->
                            expectThat(send(request, forwarding.fixture(listOf(upstream)))).isEqualTo(failed)
                        }
                    }
                }
            }

    // Guards against a body of which another parser would see another part, because its framing is ambiguous. A response
    // to HEAD has no body, whatever its head says.
    @TestFactory
    fun `a response with ambiguous framing is no response`(): List<DynamicTest> =
        listOf(
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" to chunked,
            "Transfer-Encoding: gzip, chunked\r\n" to chunked,
            "Transfer-Encoding: gzip\r\n" to EVENT,
            "Transfer-Encoding: gzip\r\n$LENGTH" to EVENT,
        ).flatMap { (framing, body) ->
            val text = "$OK$SIGNED$framing\r\n$body"
            testsOf(MalformedResponse("'${escaped(framing)}'", text, ResponseDefect.FRAMING), withHead = false)
        }

    // Guards against the same where Netty rejects the framing itself.
    @TestFactory
    fun `a response with two framings or without a valid length is no response`(): List<DynamicTest> =
        listOf(
            Triple("HTTP/1.1", "${LENGTH}Transfer-Encoding: chunked\r\n", chunked),
            Triple("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", chunked),
            Triple("HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunked),
            Triple("HTTP/1.1", "Content-Length: 2\r\n$LENGTH", EVENT),
            Triple("HTTP/1.1", "Content-Length: +15\r\n", EVENT),
            Triple("HTTP/1.1", "Content-Length: 0xf\r\n", EVENT),
        ).flatMap { (version, framing, body) ->
            val text = "$version 200 OK\r\n$SIGNED$framing\r\n$body"
            val response = MalformedResponse("$version, '${escaped(framing)}'", text, ResponseDefect.OTHER_HEAD)
            testsOf(response, withHead = "Transfer-Encoding" !in framing)
        }

    // Guards against a response that counts as complete although its end is malformed.
    @TestFactory
    fun `a response with an invalid trailer is truncated`(): List<DynamicTest> =
        listOf("X Bad: 1", "X-Bad : 1", "X\u0001Bad: 1", "X(Bad): 1", ": 1", "X-Bad").flatMap { line ->
            val text = "$OK${SIGNED}Transfer-Encoding: chunked\r\n\r\n${chunked.removeSuffix("\r\n")}$line\r\n\r\n"
            listOf("/safe/x" to failed, "/unsafe/x" to failed, "/stream/x" to RawResponse(200, EVENT, false))
                .map { (target, expected) ->
                    dynamicTest("'${escaped(line)}', $target") {
                        upstream(text).use { upstream ->
                            val fixture = forwarding.fixture(listOf(upstream))
                            expectThat(send(Request(target, "POST", repeatable = false), fixture)).isEqualTo(expected)
                        }
                    }
                }
        }

    private fun testsOf(response: MalformedResponse, withHead: Boolean = true): List<DynamicTest> =
        requests.filter { withHead || it.method != "HEAD" }.flatMap { request ->
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
            "HTTP/1.2 200 OK" to "",
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
