/*
 * What a caller receives, and how many attempts are made, for each kind of upstream response and failure.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.Reply
import org.primrosesill.request.ScriptedClient
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

private val signed = mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1")

private fun parts(vararg texts: String, end: BodyPart = BodyPart.End): List<BodyPart> =
    texts.map { BodyPart.Bytes(it.toByteArray()) } + end

private val reset = BodyPart.Truncated("reset")

private fun response(
    status: Int,
    body: String = "ok",
    headers: Map<String, String> = signed,
    end: BodyPart = BodyPart.End,
) = Reply.Response(status, parts(body, end = end), headers)

private fun events(vararg ids: Int, end: BodyPart = BodyPart.End) =
    Reply.Response(200, parts(*ids.map { "id: $it\ndata: x\n\n" }.toTypedArray(), end = end), signed)

private val ok = response(200)
private val error500 = response(500, "failed")
private val notRun = response(503, "", mapOf("X-Not-Executed" to "1"))
private val otherIncarnation = response(421, "", mapOf("X-Instance-Id" to "other"))

class ForwarderTest {
    private class Case(
        val name: String,
        val target: String,
        val replies: List<Reply>,
        val result: String,
        val attempts: Int = replies.size,
        val body: String? = null,
        val retryAfter: Boolean = false,
    )

    private fun tests(cases: List<Case>): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies)
                    val response = ForwardingFixture(client).send(case.target)
                    expectThat(response.result).isEqualTo(case.result)
                    expectThat(client.calls.size).describedAs("attempts").isEqualTo(case.attempts)
                    case.body?.let { expectThat(response.body.toString()).isEqualTo(it) }
                    val retryAfterHeader = expectThat(response.head?.headers?.get("Retry-After"))
                    if (case.retryAfter) retryAfterHeader.isNotNull() else retryAfterHeader.isNull()
                }
            }
        }

    // Guards against a request that is executed twice, and against a rejection that states "not run" for a request that
    // may have been executed.
    @TestFactory
    fun `a non-idempotent request is retried only when it has not been executed`(): List<DynamicTest> =
        listOf("/unsafe/x" to ok, "/stream/x" to events(1)).flatMap { (target, success) ->
            tests(
                listOf(
                    Case("$target, not sent, then success", target, listOf(Reply.NotSent, success), "200"),
                    Case("$target, rejected, then success", target, listOf(notRun, success), "200"),
                    Case(
                        "$target, different incarnation, then success",
                        target,
                        listOf(otherIncarnation, success),
                        "200",
                    ),
                    Case("$target, never sent", target, List(3) { Reply.NotSent }, "503", retryAfter = true),
                    Case("$target, rejected by all upstreams", target, List(3) { notRun }, "503", retryAfter = true),
                    Case("$target, connection failure", target, listOf(Reply.Reset), "502"),
                    Case("$target, rejected, then connection failure", target, listOf(notRun, Reply.Reset), "502"),
                    Case("$target, no response", target, listOf(Reply.TimedOut), "502"),
                    Case("$target, server error", target, listOf(error500), "500", body = "failed"),
                    Case("$target, truncated server error", target, listOf(response(500, end = reset)), "502"),
                    Case(
                        "$target, success without a signature",
                        target,
                        listOf(response(200, headers = emptyMap())),
                        "502",
                    ),
                    Case(
                        "$target, success with a content encoding",
                        target,
                        listOf(
                            response(
                                200,
                                headers =
                                    signed + ("Content-Encoding" to "gzip"),
                            ),
                        ),
                        "502",
                    ),
                    Case("$target, 503 without confirmation that it was not run", target, listOf(response(503)), "502"),
                    Case("$target, 429 without confirmation that it was not run", target, listOf(response(429)), "502"),
                ),
            )
        }

    // Guards against a failure that is reported to the caller although another upstream would have responded.
    @TestFactory
    fun `an idempotent request is retried up to its maximum number of attempts`(): List<DynamicTest> =
        tests(
            listOf(
                Case("connection failure, then success", "/safe/x", listOf(Reply.Reset, ok), "200"),
                Case(
                    "truncated, then success",
                    "/safe/x",
                    listOf(response(200, end = reset), ok),
                    "200",
                    body = "ok",
                ),
                Case("server error, then success", "/safe/x", listOf(error500, ok), "200"),
                Case("two server errors", "/safe/x", listOf(error500, error500), "500", body = "failed"),
                Case(
                    "server error, then connection failure",
                    "/safe/x",
                    listOf(error500, Reply.Reset),
                    "500",
                    body = "failed",
                ),
                Case("two connection failures", "/safe/x", listOf(Reply.Reset, Reply.Reset), "502"),
                Case("connection failure, then rejected", "/safe/x", listOf(Reply.Reset, notRun, notRun), "502"),
                Case("client error", "/safe/x", listOf(response(404, "none")), "404", body = "none"),
            ),
        )

    // Guards against events that are lost, duplicated or merged from two executions, and against a truncated stream
    // that appears complete.
    @TestFactory
    fun `streams are relayed in complete events`(): List<DynamicTest> =
        tests(
            listOf(
                Case(
                    "complete",
                    "/stream/x",
                    listOf(events(1, 2)),
                    "200",
                    body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
                ),
                Case(
                    "truncated",
                    "/stream/x",
                    listOf(events(1, end = reset)),
                    "200 aborted",
                    body = "id: 1\ndata: x\n\n",
                ),
                Case(
                    "truncated within an event",
                    "/stream/x",
                    listOf(Reply.Response(200, parts("id: 1\ndata: x\n\nid: 2\nda", end = reset), signed)),
                    "200 aborted",
                    body = "id: 1\ndata: x\n\n",
                ),
                Case(
                    "without a length, ended within an event",
                    "/stream/x",
                    listOf(Reply.Response(200, parts("id: 1\ndata: x\n\nid: 2\nda"), signed)),
                    "200 aborted",
                    body = "id: 1\ndata: x\n\n",
                ),
                Case(
                    "without a length, ended within its first event",
                    "/stream/x",
                    listOf(Reply.Response(200, parts("id: 1\nda"), signed)),
                    "502",
                ),
                Case(
                    "ended by a comment",
                    "/stream/x",
                    listOf(Reply.Response(200, parts("id: 1\ndata: x\n\n", ": end\n\n"), signed)),
                    "200",
                    body = "id: 1\ndata: x\n\n: end\n\n",
                ),
                Case("truncated before the first event", "/stream/x", listOf(events(end = reset)), "502"),
                Case(
                    "resumed",
                    "/resumable/x",
                    listOf(events(1, 2, end = reset), events(3)),
                    "200",
                    body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
                ),
                Case(
                    "truncated twice",
                    "/resumable/x",
                    listOf(events(1, end = reset), events(2, end = reset)),
                    "200 aborted",
                ),
                Case(
                    "resumed, then server error",
                    "/resumable/x",
                    listOf(events(1, end = reset), error500),
                    "200 aborted",
                ),
                Case("server error, then complete", "/resumable/x", listOf(error500, events(1)), "200"),
            ),
        )

    // Guards against a stream that restarts from its beginning at the second upstream.
    @Test
    fun `a request that resumes a stream has the id of the last event that the caller received`() =
        runTest {
            val client = ScriptedClient(listOf(events(1, 2, end = reset), events(3)))
            ForwardingFixture(client).send("/resumable/x", headers = headerFieldsOf("Last-Event-Id" to "0"))
            expectThat(client.calls.map { it.headers.all("Last-Event-Id") }).containsExactly(listOf("0"), listOf("2"))
        }

    // Guards against a non-idempotent request whose pooled connection is closed by the upstream, so that it may have
    // been executed.
    @Test
    fun `only idempotent requests use pooled connections`() =
        runTest {
            val client = ScriptedClient(List(4) { ok })
            val fixture = ForwardingFixture(client)
            listOf("/safe/x", "/unsafe/x", "/stream/x").forEach { fixture.send(it) }
            expectThat(client.calls[0].connection).isA<ConnectionUse.Pooled>()
            expectThat(client.calls[1].connection).isEqualTo(ConnectionUse.NewPersistent)
            expectThat(client.calls[2].connection).isEqualTo(ConnectionUse.NewPersistent)
        }

    private class AccessCase(
        val name: String,
        val target: String,
        val status: Int,
        val headers: List<Pair<String, String>> = emptyList(),
    )

    // Guards against requests that the configuration does not allow, and against rejecting those that it allows.
    @TestFactory
    fun `requests are accepted or rejected by route and client account`(): List<DynamicTest> =
        listOf(
            AccessCase("no route", "/other/x", 404),
            AccessCase("path shorter than the prefix", "/safe", 404),
            AccessCase("unknown credential", "/safe/x", 401, listOf("Authorization" to "Bearer other")),
            AccessCase(
                "unsupported authentication scheme",
                "/safe/x",
                401,
                listOf("Authorization" to "Basic $CREDENTIAL"),
            ),
            AccessCase("anonymous route without a credential", "/open/x", 200, listOf("Authorization" to "")),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val fields = mapOf("Host" to "h.example", "Authorization" to "Bearer $CREDENTIAL") + case.headers
                    val request =
                        InboundRequest(
                            "GET",
                            case.target,
                            headerFieldsOf(*fields.toList().toTypedArray()),
                            ByteArray(0),
                            kotlin.time.TimeSource.Monotonic
                                .markNow(),
                        )
                    val response = RecordingResponse()
                    ForwardingFixture(ScriptedClient(listOf(ok))).handler.handle(request, response)
                    expectThat(response.head?.status).isEqualTo(case.status)
                }
            }
        }

    // Guards against reporting an unknown route or credential before the first configuration has been received.
    @Test
    fun `without a configuration requests are rejected with a Retry-After header`() =
        runTest {
            val response = ForwardingFixture(ScriptedClient(emptyList()), configuration = null).send("/safe/x")
            expectThat(response.head?.status).isEqualTo(503)
            expectThat(response.head?.headers?.get("Retry-After")).isNotNull()
        }

    // Guards against retries that exceed the limit of the fleet.
    @Test
    fun `requests are not retried when the retry budget is exhausted`() =
        runTest {
            val client = ScriptedClient(listOf(Reply.Reset))
            val fixture = ForwardingFixture(client, retryLimit = RetryLimit(0.0, 10_000, 0))
            expectThat(fixture.send("/safe/x").result).isEqualTo("502")
        }

    // Guards against a request that is kept open after the timeout of its caller or route.
    @Test
    fun `a request without a response ends at the timeout of its route`() =
        runTest {
            val client = ScriptedClient(List(2) { Reply.TimedOut })
            ForwardingFixture(client).send("/short/x", headers = headerFieldsOf("X-Deadline-Ms" to "5000"))
            val deadlineMillis =
                client.calls
                    .first()
                    .headers["X-Deadline-Ms"]
                    ?.toLong() ?: Long.MAX_VALUE
            expectThat(deadlineMillis in 0..100).describedAs("$deadlineMillis ms forwarded").isEqualTo(true)
        }

    // Guards against in-flight counts that are not decremented, so that an upstream appears busy forever.
    @TestFactory
    fun `every outcome of an attempt decrements the in-flight count`(): List<DynamicTest> =
        listOf(ok, error500, notRun, Reply.Reset, Reply.NotSent, Reply.TimedOut, events(1, end = reset)).map { reply ->
            dynamicTest(reply.toString()) {
                runTest {
                    val fixture = ForwardingFixture(ScriptedClient(listOf(reply, ok, ok)))
                    fixture.send("/safe/x")
                    val inFlight = fixture.view.upstreamIds.map { fixture.activity.inFlight(it) }
                    expectThat(inFlight.filter { it != 0 }).isEmpty()
                    expectThat(inFlight).isNotEmpty()
                }
            }
        }
}
