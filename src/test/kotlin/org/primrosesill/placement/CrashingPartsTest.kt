/*
 * Which prompt parts are blocked because engines crash on them, by the evidence of one router and of its peers.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Returns a prompt with [shared] parts and a last part of its own. */
private fun promptOf(vararg shared: String): Prompt {
    val parts = (shared.toList() + "own").map { PromptPart(PromptPartId(it), 10) }
    return Prompt(parts, 30, 10)
}

/** Returns which of [parts] are blocked. */
private fun CrashingParts.blockedAmong(parts: Set<String>): Set<String> =
    parts.filterTo(HashSet()) { blockedPart(promptOf(it)) != null }

class CrashingPartsTest {
    private var now = 0L
    private val detector = CrashingParts { now }

    /** One request that ended at [atMillis]: it lost its connection to [engine], or completed if that is null. */
    private class Ended(val atMillis: Long, val engine: String?, vararg val shared: String)

    private class Case(val name: String, val requests: List<Ended>, val blocked: Set<String>)

    private fun crashes(vararg times: Long, shared: List<String> = listOf("bad")) =
        times.mapIndexed { number, atMillis -> Ended(atMillis, "engine-$number", *shared.toTypedArray()) }

    // Guards against requests that crash engine after engine, and against the rejection of sound requests that were in
    // flight at the engines that crashed.
    @TestFactory
    fun `a part is blocked when several engines crash on it and none completes it`(): List<DynamicTest> =
        listOf(
            Case("three crashes", crashes(1_000, 1_200, 1_600), setOf("bad")),
            Case("two crashes", crashes(1_000, 1_600), emptySet()),
            Case("engines that fail together", crashes(1_000, 1_010, 1_020, 1_030, 1_040), emptySet()),
            Case(
                "a completed request in between",
                crashes(1_000, 1_200) + Ended(1_300, null, "bad") + crashes(1_600),
                emptySet(),
            ),
            Case("requests at one engine", List(5) { Ended(1_000L + it * 150, "engine", "bad") }, emptySet()),
            Case(
                "an engine that crashes again and again",
                List(3) { Ended(it * 4_000L, "engine", "bad") },
                setOf("bad"),
            ),
            Case("crashes over more than a minute", crashes(1_000, 40_000, 80_000), emptySet()),
            Case(
                "a first part that other requests complete",
                listOf(Ended(10, null, "first", "sound")) +
                    crashes(1_000, 1_500, 2_000, shared = listOf("first", "bad")),
                setOf("bad"),
            ),
            Case(
                "a first part that no request has completed",
                crashes(1_000, 1_500, 2_000, shared = listOf("first", "bad")),
                setOf("bad"),
            ),
            Case(
                "a first part that crashes engines with any second part",
                List(8) { Ended(1_000L + it * 2_000, "engine-$it", "bad", "second-$it") },
                setOf("bad"),
            ),
            Case(
                "a part that was completed earlier",
                listOf(Ended(10, null, "first", "bad")) + crashes(1_000, 2_500, 4_000, shared = listOf("first", "bad")),
                setOf("bad"),
            ),
            Case(
                "a part that was completed earlier, and crashes within a second",
                listOf(Ended(10, null, "first", "popular")) +
                    crashes(1_000, 1_500, 2_000, shared = listOf("first", "popular")),
                emptySet(),
            ),
            Case(
                "popular parts in flight at each crash",
                (0L until 6).flatMap { number ->
                    val atMillis = 1_000 + number * 700
                    listOf("bad", "popular").map { Ended(atMillis, "engine-$number", "first", it) } +
                        Ended(atMillis + 300, null, "first", "popular")
                },
                setOf("bad"),
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val detector = CrashingParts { now }
                for (request in case.requests.sortedBy { it.atMillis }) {
                    now = request.atMillis
                    val prompt = promptOf(*request.shared)
                    if (request.engine == null) {
                        detector.recordCompleted(prompt)
                    } else {
                        detector.recordCrash(prompt, UpstreamId(request.engine))
                    }
                }
                val parts = case.requests.flatMapTo(HashSet()) { it.shared.toList() }
                expectThat(detector.blockedAmong(parts)).isEqualTo(case.blocked)
            }
        }

    private fun blockAt(atMillis: Long) {
        for (number in 0..2) {
            now = atMillis - 1_000 + number * 500
            detector.recordCrash(promptOf("bad"), UpstreamId("engine-$number"))
        }
    }

    // Guards against a part that is blocked forever, and against trials that each cost an engine while it is blocked.
    @Test
    fun `a part stays blocked for ten minutes after the last crash`() {
        blockAt(2_000)
        now = 2_000 + 599_000
        detector.drainChanges()
        expectThat(detector.blockedCount).isEqualTo(1)
        now = 2_000 + 600_000
        expectThat(detector.drainChanges().map { it.isBlocked }).isEqualTo(listOf(false))
        expectThat(detector.blockedPart(promptOf("bad"))).isNull()
    }

    // Guards against a part that is blocked although a request with it was still in flight and completed.
    @Test
    fun `a completed request unblocks its parts`() {
        blockAt(2_000)
        now = 2_100
        detector.recordCompleted(promptOf("bad"))
        detector.drainChanges()
        expectThat(detector.blockedPart(promptOf("bad"))).isNull()
    }

    // Guards against a router that starts, or returns after a partition, and sends requests with a part that has been
    // blocked for minutes.
    @Test
    fun `a router that receives the evidence blocks the part`() {
        blockAt(2_000)
        now += 300_000
        val started = CrashingParts { now }
        expectThat(started.merge(detector.evidence())).isTrue()
        expectThat(started.blockedAmong(setOf("bad"))).isEqualTo(setOf("bad"))
    }

    // Guards against a popular part that a router blocks since it has not seen the completed requests of its peers.
    @Test
    fun `a peer that has completed a request with a part refutes the evidence against it`() {
        val peer = CrashingParts { now }
        for (number in 0..1) {
            now = 1_000L + number * 500
            detector.recordCrash(promptOf("popular"), UpstreamId("engine-$number"))
        }
        now = 1_600
        peer.recordCompleted(promptOf("popular"))
        peer.merge(detector.evidence())
        detector.merge(peer.evidence())
        now = 1_700
        detector.recordCrash(promptOf("popular"), UpstreamId("engine-2"))
        expectThat(detector.blockedCount).isEqualTo(0)
    }

    // Guards against memory and messages that callers can fill with parts that they invent.
    @Test
    fun `the number of suspect parts and of reports to peers is limited`() {
        repeat(5_000) { number ->
            now += 10
            detector.recordCrash(promptOf("invented-$number", "other-$number"), UpstreamId("engine-$number"))
            detector.recordCompleted(promptOf("completed-$number"))
        }
        expectThat(detector.suspectCount).isLessThanOrEqualTo(512)
        expectThat(detector.evidence().crashes.size).isLessThanOrEqualTo(200)
        now += 120_000
        expectThat(detector.drainChanges()).isEmpty()
        expectThat(detector.suspectCount).isEqualTo(0)
    }
}
