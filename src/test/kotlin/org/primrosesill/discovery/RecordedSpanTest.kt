/*
 * Since which revision a directory has recorded all changes, after listings and pages of peers.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RecordedSpanTest {
    private class Case(val name: String, val result: Pair<Long, Long>, val change: RecordedSpan.() -> RecordedSpan)

    private fun span(since: Long, upTo: Long) = RecordedSpan(PlatformRevision(since), PlatformRevision(upTo))

    // Guards against a directory that states to know deletions which it has not received.
    @TestFactory
    fun `the span of recorded changes has no gap`(): List<DynamicTest> =
        listOf(
            Case("a listing begins a new span", 30L to 30L) { afterListing(PlatformRevision(30)) },
            Case("a listing as of an earlier revision", 10L to 20L) { afterListing(PlatformRevision(15)) },
            Case("changes that follow", 10L to 25L) { mergedWith(span(20, 25)) },
            Case("changes that overlap", 10L to 25L) { mergedWith(span(12, 25)) },
            Case("changes that begin earlier", 5L to 25L) { mergedWith(span(5, 25)) },
            Case("changes that are known", 10L to 20L) { mergedWith(span(12, 15)) },
            Case("changes that end earlier", 5L to 20L) { mergedWith(span(5, 12)) },
            Case("changes after a gap", 22L to 25L) { mergedWith(span(22, 25)) },
            Case("changes before a gap", 10L to 20L) { mergedWith(span(2, 5)) },
        ).map { case ->
            dynamicTest(case.name) {
                expectThat(span(10, 20).run(case.change)).isEqualTo(span(case.result.first, case.result.second))
            }
        }
}
