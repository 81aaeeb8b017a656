/*
 * What the attempts of a request tell about the load of a small service.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.UpstreamId
import org.primrosesill.request.BodyPart
import org.primrosesill.request.Reply
import org.primrosesill.request.ScriptedClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ServiceRecordingTest {
    /** @property isStarted whether the attempt counts as started; a rejection, which takes no time, does not */
    private class Case(val name: String, val reply: Reply, val isFull: Boolean, val isStarted: Boolean)

    private val notExecuted = mapOf("X-Not-Executed" to "1")

    private fun rejection(status: Int, headers: Map<String, String>) =
        Reply.Response(status, listOf(BodyPart.End), headers)

    // Guards against requests that count as in progress for ever, against upstreams that are taken as full for another reason
    // than their load, and against upstreams that seem fast because they reject requests at once.
    @TestFactory
    fun `attempts are recorded with their outcomes`(): List<DynamicTest> =
        listOf(
            Case("full", rejection(503, notExecuted), isFull = true, isStarted = false),
            Case("too many requests", rejection(429, notExecuted), isFull = true, isStarted = false),
            Case("other incarnation", rejection(421, mapOf("X-Instance-Id" to "other")), false, isStarted = false),
            Case("not sent", Reply.NotSent, isFull = false, isStarted = true),
            Case("connection lost", Reply.Reset, isFull = false, isStarted = true),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val fixture = ForwardingFixture(ScriptedClient(listOf(case.reply) + List(2) { Reply.NotSent }))
                    val service = fixture.view.eligible(testPool).map { it.id }
                    fixture.services.loads(service) { 6 }
                    fixture.send("/unsafe/x")
                    val load = fixture.services.loads(service) { 6 }.getValue(UpstreamId("u1"))
                    expectThat(load.own).describedAs("in progress").isEqualTo(0)
                    expectThat(load.fullFor.isPositive()).describedAs("full").isEqualTo(case.isFull)
                    expectThat(load.average.startsPerSecond > 0).describedAs("started").isEqualTo(case.isStarted)
                }
            }
        }
}
