/*
 * What the requests of one router show about an upstream that has stopped sending.
 */
package org.primrosesill.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class UpstreamActivityTest {
    /**
     * @property lastData when each upstream sent data last, in milliseconds; each has a request in flight
     * @property resumed upstreams that had sent data at 50 ms as well, and nothing in between
     * @property idle upstreams without a request in flight
     */
    private class Case(
        val name: String,
        val lastData: Map<String, Long>,
        val isSilent: Boolean,
        val idle: Set<String> = emptySet(),
        val resumed: Set<String> = emptySet(),
    )

    // Guards against a sound upstream that is taken for a hanging one because all of them pause at the same time (review/4),
    // and against a hanging one that is taken for sound because a few others hang with it.
    @TestFactory
    fun `an upstream is silent if it sends nothing while most others do`(): List<DynamicTest> =
        listOf(
            Case("no other upstream", mapOf("u1" to 50), isSilent = false),
            Case("the others are idle", mapOf("u1" to 50, "u2" to 40), isSilent = false, idle = setOf("u2")),
            Case("another one responds", mapOf("u1" to 50, "u2" to 700), isSilent = true),
            Case("another one has responded before it became idle", mapOf("u1" to 50, "u2" to 700), true, setOf("u2")),
            Case("another one pauses", mapOf("u1" to 50, "u2" to 60), isSilent = false),
            Case("another one began to pause a little later", mapOf("u1" to 50, "u2" to 350), isSilent = false),
            Case(
                "another one has just resumed",
                mapOf("u1" to 50, "u2" to 845),
                isSilent = false,
                resumed = setOf("u2"),
            ),
            Case("one responds, one pauses", mapOf("u1" to 50, "u2" to 60, "u3" to 800), isSilent = false),
            Case("a third pauses", mapOf("u1" to 50, "u2" to 60, "u3" to 800, "u4" to 800), isSilent = true),
            Case("it responds to other requests", mapOf("u1" to 700, "u2" to 800), isSilent = false),
            Case("an upstream of another pool responds", mapOf("u1" to 50, "other" to 800), isSilent = false),
        ).map { case ->
            dynamicTest(case.name) {
                var nowMillis = 0L
                val activity = UpstreamActivity { nowMillis }
                case.resumed.forEach { activity.recordStart(UpstreamId(it), 0) }
                nowMillis = 50
                case.resumed.forEach { activity.recordData(UpstreamId(it)) }
                for ((upstream, atMillis) in case.lastData.entries.sortedBy { it.value }) {
                    nowMillis = atMillis
                    if (upstream !in case.resumed) activity.recordStart(UpstreamId(upstream), 0)
                    activity.recordData(UpstreamId(upstream))
                }
                case.idle.forEach { activity.recordEnd(UpstreamId(it)) }
                nowMillis = 850
                val pool = listOf("u1", "u2", "u3", "u4").map(::UpstreamId)
                expectThat(activity.isSilentUnlikeOthers(UpstreamId("u1"), pool, 800.milliseconds))
                    .isEqualTo(case.isSilent)
            }
        }
}
