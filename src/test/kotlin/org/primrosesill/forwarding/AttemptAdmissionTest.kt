/*
 * The admission to a pool of engines in the forwarding of requests. Guards against refusals that an operator or a caller
 * cannot understand, and against refusals by a gateway that is not to schedule by load or knows nothing of the engines.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import org.primrosesill.load.ReportedLoad
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.Reply
import org.primrosesill.request.ScriptedClient
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

private val served =
    Reply.Response(
        200,
        listOf(BodyPart.Bytes("id: 1\ndata: x\n\n".toByteArray()), BodyPart.End),
        mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1"),
    )

class AttemptAdmissionTest {
    private class Case(
        val name: String,
        val isRefused: Boolean,
        val isLoadAware: Boolean = true,
        val reportedEngines: Int = 3,
        val hasPrompt: Boolean = true,
        val resumes: Boolean = false,
    )

    @TestFactory
    fun `a request to engines with long queues is refused with inputs and outcome`(): List<DynamicTest> =
        listOf(
            Case("long queues", isRefused = true),
            Case("scheduling does not use loads", isRefused = false, isLoadAware = false),
            Case("a gateway without reports", isRefused = false, reportedEngines = 0),
            Case("an engine without a report", isRefused = false, reportedEngines = 2),
            Case("a plain service", isRefused = false, hasPrompt = false),
            Case("a resumed stream", isRefused = false, resumes = true),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val client = ScriptedClient { served }
                    val fixture = ForwardingFixture(client, isLoadAware = case.isLoadAware)
                    val prompt =
                        if (case.hasPrompt) {
                            headerFieldsOf("X-Token-Usage" to "700,10", "X-Prefix-Hash" to "1ead:100,own1:600")
                        } else {
                            headerFieldsOf()
                        }
                    fixture.send("/stream/x", headers = prompt)
                    fixture.nowMillis += 100
                    fixture.view.upstreamIds.take(case.reportedEngines).forEach {
                        fixture.loads.recordReported(it, ReportedLoad(running = 6, waiting = 900, slots = 6))
                    }
                    val last = if (case.resumes) headerFieldsOf("Last-Event-ID" to "7") else headerFieldsOf()
                    val sentBefore = client.calls.size
                    val responses = List(9) { fixture.send("/stream/x", headers = prompt + last) }
                    val refused = responses.filter { it.head?.status == 503 }
                    if (case.isRefused) verifyRefused(fixture, refused.first())
                    expectThat(refused.isNotEmpty()).isEqualTo(case.isRefused)
                    expectThat(client.calls.size - sentBefore).isEqualTo(9 - refused.size)
                }
            }
        }

    private fun verifyRefused(fixture: ForwardingFixture, response: RecordingResponse) {
        expectThat(response.head?.headers?.get("Retry-After")).isNotNull()
        val cause = fixture.events.first { it.first == EventType.REQUEST_REFUSED }.second
        expectThat(cause).contains("refused-deadline").contains("best of 3 engines").contains("status 503")
        val change = fixture.events.first { it.first == EventType.ADMISSION_CHANGED }.second
        expectThat(change).contains("pool 'desk' is short of capacity")
    }
}
