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
import strikt.assertions.isGreaterThan

class ServiceRecordingTest {
    private class Case(val name: String, val reply: Reply, val isFull: Boolean)

    private val notExecuted = mapOf("X-Not-Executed" to "1")

    private fun rejection(status: Int, headers: Map<String, String>) =
        Reply.Response(status, listOf(BodyPart.End), headers)

    // Guards against requests that count as in progress for ever, and against upstreams that are taken as full for another
    // reason than their load.
    @TestFactory
    fun `attempts are recorded with their outcomes`(): List<DynamicTest> =
        listOf(
            Case("full", rejection(503, notExecuted), isFull = true),
            Case("too many requests", rejection(429, notExecuted), isFull = true),
            Case("other incarnation", rejection(421, mapOf("X-Instance-Id" to "other")), isFull = false),
            Case("not sent", Reply.NotSent, isFull = false),
            Case("connection lost", Reply.Reset, isFull = false),
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
                    expectThat(load.average.startsPerSecond).isGreaterThan(0.0)
                }
            }
        }
}
