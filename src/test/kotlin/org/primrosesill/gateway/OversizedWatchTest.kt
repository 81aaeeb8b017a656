/*
 * A gateway whose platform has more changes than the response to a watch may have, in virtual time.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.platform.usersPlatformAdapter
import org.primrosesill.request.RecordingEvents
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class OversizedWatchTest {
    /** A platform that rejects watches over more than [maximumChanges] changes with [error]. */
    private class LimitedFeed(
        private val platform: SimulatedPlatform,
        private val maximumChanges: Int,
        private val error: FeedError,
    ) : PlatformFeed {
        var listings = 0

        override suspend fun list(): Either<FeedError, PlatformListing> {
            delay(CALL_DURATION)
            listings++
            return platform.list().right()
        }

        override suspend fun watch(revision: PlatformRevision, wait: Duration): Either<FeedError, PlatformChanges> {
            delay(CALL_DURATION)
            return if (platform.revision - revision.number >
                maximumChanges
            ) {
                error.left()
            } else {
                platform.watch(revision, wait)
            }
        }
    }

    private class Case(val name: String, val error: FeedError)

    // Guards against a fleet that stays at an old version until the platform drops its history: 24 versions in 1.5 s made each
    // watch too large, and it was repeated from the same revision (issue 20, review/2).
    @TestFactory
    fun `a version is in force after a burst of changes that no watch can return`(): List<DynamicTest> =
        listOf(
            Case("too large", FeedError.Malformed("the response is too large")),
            Case("too slow", FeedError.Incomplete("the response was incomplete after 4 s")),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val platform = SimulatedPlatform()
                    val feed = LimitedFeed(platform, maximumChanges = 4, case.error)
                    val decoder = usersPlatformAdapter().itemDecoder
                    val directory =
                        DirectoryManager(UpstreamDirectory(decoder), RecordingEvents(), { currentTime }, {}) {}
                    platform.write("servers/first", entry(10))
                    backgroundScope.launch { PlatformLoop(feed, directory) { true }.run() }
                    advanceTimeBy(SETTLED_MILLIS)
                    repeat(BURST_CHANGES) {
                        platform.write("servers/first", entry(10 + it))
                        delay(BURST_INTERVAL)
                    }
                    delay(IN_FORCE_WITHIN)
                    expectThat(directory.revision.number).isEqualTo(platform.revision)
                    expectThat(feed.listings).describedAs("listings").isLessThanOrEqualTo(MAXIMUM_LISTINGS)
                }
            }
        }

    private companion object {
        val CALL_DURATION = 300.milliseconds
        const val SETTLED_MILLIS = 2_000L
        const val BURST_CHANGES = 24
        val BURST_INTERVAL = 60.milliseconds
        val IN_FORCE_WITHIN = 2_000.milliseconds

        /** One at the start, and one for each half second of the burst. */
        const val MAXIMUM_LISTINGS = 1 + 4
    }
}
