/*
 * What a caller gets for each way in which upstreams answer, and how often a request is sent for it.
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

private val cut = BodyPart.Cut("reset")

private fun answer(
    status: Int,
    body: String = "ok",
    headers: Map<String, String> = signed,
    end: BodyPart = BodyPart.End,
) = Reply.Answer(status, parts(body, end = end), headers)

private fun events(vararg ids: Int, end: BodyPart = BodyPart.End) =
    Reply.Answer(200, parts(*ids.map { "id: $it\ndata: x\n\n" }.toTypedArray(), end = end), signed)

private val ok = answer(200)
private val failed = answer(500, "failed")
private val notRun = answer(503, "", mapOf("X-Not-Executed" to "1"))
private val otherInstance = answer(421, "", mapOf("X-Instance-Id" to "other"))

class ForwarderTest {
    private class Case(
        val name: String,
        val target: String,
        val replies: List<Reply>,
        val result: String,
        val sends: Int = replies.size,
        val body: String? = null,
        val retryAfter: Boolean = false,
    )

    private fun tests(cases: List<Case>): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient(case.replies)
                    val answer = ForwardingFixture(client).send(case.target)
                    expectThat(answer.result).isEqualTo(case.result)
                    expectThat(client.calls.size).describedAs("sends").isEqualTo(case.sends)
                    case.body?.let { expectThat(answer.body.toString()).isEqualTo(it) }
                    val hint = expectThat(answer.head?.headers?.get("Retry-After"))
                    if (case.retryAfter) hint.isNotNull() else hint.isNull()
                }
            }
        }

    // Guards against a request that runs twice, and against a refusal that says "not run" of one that may have run.
    @TestFactory
    fun `a request that may run once is sent again only when it has not run`(): List<DynamicTest> =
        listOf("/unsafe/x", "/stream/x").flatMap { target ->
            tests(
                listOf(
                    Case("$target, not sent, then answered", target, listOf(Reply.NotSent, ok), "200"),
                    Case("$target, refused, then answered", target, listOf(notRun, ok), "200"),
                    Case("$target, another incarnation, then answered", target, listOf(otherInstance, ok), "200"),
                    Case("$target, never sent", target, List(3) { Reply.NotSent }, "503", retryAfter = true),
                    Case("$target, refused by all", target, List(3) { notRun }, "503", retryAfter = true),
                    Case("$target, broken", target, listOf(Reply.Broken), "502"),
                    Case("$target, refused, then broken", target, listOf(notRun, Reply.Broken), "502"),
                    Case("$target, no answer", target, listOf(Reply.TimedOut), "502"),
                    Case("$target, a failure of the upstream", target, listOf(failed), "500", body = "failed"),
                    Case("$target, cut", target, listOf(answer(500, end = cut)), "502"),
                    Case(
                        "$target, a success without signature",
                        target,
                        listOf(answer(200, headers = emptyMap())),
                        "502",
                    ),
                    Case(
                        "$target, an encoded success",
                        target,
                        listOf(
                            answer(
                                200,
                                headers =
                                    signed + ("Content-Encoding" to "gzip"),
                            ),
                        ),
                        "502",
                    ),
                    Case("$target, a refusal that does not say that nothing ran", target, listOf(answer(503)), "502"),
                    Case("$target, a limit that does not say that nothing ran", target, listOf(answer(429)), "502"),
                ),
            )
        }

    // Guards against a failure that the caller sees although another upstream would have answered.
    @TestFactory
    fun `an idempotent request is sent again within its attempts`(): List<DynamicTest> =
        tests(
            listOf(
                Case("broken, then answered", "/safe/x", listOf(Reply.Broken, ok), "200"),
                Case("cut, then answered", "/safe/x", listOf(answer(200, end = cut), ok), "200", body = "ok"),
                Case("failed, then answered", "/safe/x", listOf(failed, ok), "200"),
                Case("failed twice", "/safe/x", listOf(failed, failed), "500", body = "failed"),
                Case("failed, then broken", "/safe/x", listOf(failed, Reply.Broken), "500", body = "failed"),
                Case("broken twice", "/safe/x", listOf(Reply.Broken, Reply.Broken), "502"),
                Case("broken, then refused", "/safe/x", listOf(Reply.Broken, notRun, notRun), "502"),
                Case("a client error", "/safe/x", listOf(answer(404, "none")), "404", body = "none"),
            ),
        )

    // Guards against events that are lost, doubled or joined from two runs, and against a cut stream that looks whole.
    @TestFactory
    fun `streams pass event by event`(): List<DynamicTest> =
        tests(
            listOf(
                Case("whole", "/stream/x", listOf(events(1, 2)), "200", body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"),
                Case("cut", "/stream/x", listOf(events(1, end = cut)), "200 cut", body = "id: 1\ndata: x\n\n"),
                Case(
                    "cut within an event",
                    "/stream/x",
                    listOf(Reply.Answer(200, parts("id: 1\ndata: x\n\nid: 2\nda", end = cut), signed)),
                    "200 cut",
                    body = "id: 1\ndata: x\n\n",
                ),
                Case("cut before the first event", "/stream/x", listOf(events(end = cut)), "502"),
                Case(
                    "resumed",
                    "/resumable/x",
                    listOf(events(1, 2, end = cut), events(3)),
                    "200",
                    body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
                ),
                Case("cut twice", "/resumable/x", listOf(events(1, end = cut), events(2, end = cut)), "200 cut"),
                Case(
                    "resumed at an upstream that fails",
                    "/resumable/x",
                    listOf(events(1, end = cut), failed),
                    "200 cut",
                ),
                Case("failed, then whole", "/resumable/x", listOf(failed, events(1)), "200"),
            ),
        )

    // Guards against a stream that starts again from its beginning at the second upstream.
    @Test
    fun `a resumed stream names the last event that the caller has`() =
        runTest {
            val client = ScriptedClient(listOf(events(1, 2, end = cut), events(3)))
            ForwardingFixture(client).send("/resumable/x", headers = headerFieldsOf("Last-Event-Id" to "0"))
            expectThat(client.calls.map { it.headers.all("Last-Event-Id") }).containsExactly(listOf("0"), listOf("2"))
        }

    // Guards against a request that finds its upstream's connection closed and may have run.
    @Test
    fun `only idempotent requests use kept connections`() =
        runTest {
            val client = ScriptedClient(List(4) { ok })
            val fixture = ForwardingFixture(client)
            listOf("/safe/x", "/unsafe/x", "/stream/x").forEach { fixture.send(it) }
            expectThat(client.calls[0].connection).isA<ConnectionUse.Kept>()
            expectThat(client.calls[1].connection).isEqualTo(ConnectionUse.Fresh)
            expectThat(client.calls[2].connection).isEqualTo(ConnectionUse.Fresh)
        }

    private class Refusal(
        val name: String,
        val target: String,
        val status: Int,
        val headers: List<Pair<String, String>> = emptyList(),
    )

    // Guards against requests that a configuration does not allow, and against refusals of those that it does.
    @TestFactory
    fun `requests are refused by route and account`(): List<DynamicTest> =
        listOf(
            Refusal("no route", "/other/x", 404),
            Refusal("a path that ends before the prefix", "/safe", 404),
            Refusal("a key that nobody holds", "/safe/x", 401, listOf("Authorization" to "Bearer other")),
            Refusal("another scheme", "/safe/x", 401, listOf("Authorization" to "Basic $KEY")),
            Refusal("an open route without a key", "/open/x", 200, listOf("Authorization" to "")),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val fields = mapOf("Host" to "h.example", "Authorization" to "Bearer $KEY") + case.headers
                    val request =
                        InboundRequest(
                            "GET",
                            case.target,
                            headerFieldsOf(*fields.toList().toTypedArray()),
                            ByteArray(0),
                            kotlin.time.TimeSource.Monotonic
                                .markNow(),
                        )
                    val answer = RecordingAnswer()
                    ForwardingFixture(ScriptedClient(listOf(ok))).handler.handle(request, answer)
                    expectThat(answer.head?.status).isEqualTo(case.status)
                }
            }
        }

    // Guards against an answer that says a route or key is unknown when nothing is known yet.
    @Test
    fun `without a configuration every request is to come back`() =
        runTest {
            val answer = ForwardingFixture(ScriptedClient(emptyList()), configuration = null).send("/safe/x")
            expectThat(answer.head?.status).isEqualTo(503)
            expectThat(answer.head?.headers?.get("Retry-After")).isNotNull()
        }

    // Guards against retries that exceed the bound of the fleet.
    @Test
    fun `nothing is sent again when the retry budget is used up`() =
        runTest {
            val client = ScriptedClient(listOf(Reply.Broken))
            val fixture = ForwardingFixture(client, retryBound = RetryBound(0.0, 10_000, 0))
            expectThat(fixture.send("/safe/x").result).isEqualTo("502")
        }

    // Guards against a request that is held after its caller or route has given up on it.
    @Test
    fun `a request that upstreams do not answer ends with the time of its route`() =
        runTest {
            val client = ScriptedClient(List(2) { Reply.TimedOut })
            ForwardingFixture(client).send("/short/x", headers = headerFieldsOf("X-Deadline-Ms" to "5000"))
            val left =
                client.calls
                    .first()
                    .headers["X-Deadline-Ms"]
                    ?.toLong() ?: Long.MAX_VALUE
            expectThat(left in 0..100).describedAs("$left ms passed on").isEqualTo(true)
        }

    // Guards against counts that drift, so that an upstream seems busy for ever.
    @TestFactory
    fun `each way an attempt ends gives its place back`(): List<DynamicTest> =
        listOf(ok, failed, notRun, Reply.Broken, Reply.NotSent, Reply.TimedOut, events(1, end = cut)).map { reply ->
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
