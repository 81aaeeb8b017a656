/*
 * Whether a gateway lists or watches the platform after calls that failed.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.gateway.PlatformCall.LIST
import org.primrosesill.gateway.PlatformCall.WATCH
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PlatformCallSequenceTest {
    /** @property calls the expected calls, each with its result */
    private class Case(
        val name: String,
        val calls: List<Pair<PlatformCall, FeedError?>>,
        val next: PlatformCall?,
        val delays: Boolean = false,
        val reads: Boolean = true,
        val revision: Long = 7,
    )

    private val tooLarge = FeedError.Malformed("the response is too large")
    private val incomplete = FeedError.Incomplete("incomplete after 4 s")
    private val compacted = FeedError.Compacted("410")
    private val unavailable = FeedError.Unavailable("no route")

    // Guards against a watch that cannot succeed and is repeated unchanged until the platform drops its history (review/2),
    // and against listings in quick succession.
    @TestFactory
    fun `a watch that cannot succeed is replaced by a listing`(): List<DynamicTest> =
        listOf(
            Case("at the start", emptyList(), LIST, revision = 0),
            Case("not a reader", emptyList(), null, reads = false),
            Case("after a listing", listOf(LIST to null), WATCH),
            Case("the changes are too large", listOf(WATCH to tooLarge), LIST),
            Case("the changes do not arrive in time", listOf(WATCH to incomplete), LIST),
            Case("the changes are compacted", listOf(WATCH to compacted), LIST),
            Case("compacted, no reader any more", listOf(WATCH to compacted), LIST, reads = false),
            Case("too large, no reader any more", listOf(WATCH to tooLarge), null, reads = false),
            Case("the platform does not respond", listOf(WATCH to unavailable), WATCH, delays = true),
            Case("listed instead", listOf(WATCH to tooLarge, LIST to null), WATCH),
            Case(
                "too large again after the listing",
                listOf(WATCH to tooLarge, LIST to null, WATCH to tooLarge),
                LIST,
                delays = true,
            ),
            Case("the listing is too large too", listOf(WATCH to tooLarge, LIST to tooLarge), WATCH, delays = true),
            Case("the listing fails after 410", listOf(WATCH to compacted, LIST to unavailable), LIST, delays = true),
            Case("both succeed again", listOf(WATCH to tooLarge, LIST to null, WATCH to null, WATCH to tooLarge), LIST),
        ).map { case ->
            dynamicTest(case.name) {
                val sequence = PlatformCallSequence()
                val revision = PlatformRevision(case.revision)
                for ((call, error) in case.calls) {
                    expectThat(sequence.next(if (call == LIST) PlatformRevision.NONE else revision, true))
                        .isEqualTo(call)
                    sequence.record(call, error)
                }
                expectThat(sequence.next(revision, case.reads)).isEqualTo(case.next)
                expectThat(sequence.needsDelay).describedAs("delay").isEqualTo(case.delays)
            }
        }
}
