/*
 * Requests whose prompt holds a part that crashes each engine that serves it.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.Reply
import org.primrosesill.request.ScriptedClient
import org.primrosesill.request.UpstreamCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

private const val CRASHING = "bad0"
private const val LEADING = "1ead"
private const val INTERVAL_MILLIS = 600L

private val signed = mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1")

private fun events(end: BodyPart) =
    Reply.Response(200, listOf(BodyPart.Bytes("id: 1\ndata: x\n\n".toByteArray()), end), signed)

private fun prefixOf(call: UpstreamCall) = call.headers["X-Prefix-Hash"].orEmpty()

class CrashingPromptTest {
    private class Case(val name: String, val target: String, val crash: Reply, val attempts: Int)

    // Guards against requests of one kind that crash engine after engine, because each is placed like any other.
    @TestFactory
    fun `a prompt part that crashes engines reaches no further engine`(): List<DynamicTest> =
        listOf(
            Case("a stream that may not be repeated", "/stream/x", Reply.Reset, attempts = 1),
            Case(
                "a stream that ends in its first event",
                "/stream/x",
                events(BodyPart.Truncated("reset")),
                attempts = 1,
            ),
            Case("a stream with two attempts", "/resumable/x", Reply.Reset, attempts = 2),
            Case("a request with two attempts", "/safe/x", Reply.Reset, attempts = 2),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient { if (CRASHING in prefixOf(it)) case.crash else events(BodyPart.End) }
                    val fixture = ForwardingFixture(client)
                    repeat(20) { number ->
                        fixture.nowMillis += INTERVAL_MILLIS
                        fixture.send(case.target, headers = prompt(LEADING, CRASHING, "own-$number"))
                        fixture.nowMillis += INTERVAL_MILLIS
                        val sound = fixture.send(case.target, headers = prompt(LEADING, "sound", "sound-$number"))
                        expectThat(sound.result).describedAs("a sound prompt with the same first part").isEqualTo("200")
                    }
                    val reached = client.calls.count { CRASHING in prefixOf(it) }
                    expectThat(reached).describedAs("requests that reached engines").isLessThanOrEqualTo(5)
                    val rejected = fixture.send(case.target, headers = prompt("other", CRASHING, "own-last"))
                    expectThat(rejected.head?.status).describedAs("not run").isEqualTo(503)
                    expectThat(rejected.head?.headers?.get("Retry-After")).isNull()
                }
            }
        }

    private fun prompt(vararg parts: String) =
        headerFieldsOf("X-Token-Usage" to "30,10", "X-Prefix-Hash" to parts.joinToString(",") { "$it:10" })
}
