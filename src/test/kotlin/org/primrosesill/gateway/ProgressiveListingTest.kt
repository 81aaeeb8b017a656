/*
 * What a gateway knows while it lists a platform that takes long.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextItemDecoder
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.noOpEventLog
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ProgressiveListingTest {
    /** A platform whose first page has up/1 and whose last one, after [duration], up/2; up/3 joins after 2.5 s. */
    private class SlowFeed(private val duration: Duration, private val watchError: FeedError?) : PlatformFeed {
        var watches = 0

        override suspend fun list(): Either<FeedError, PlatformListing> = list {}

        override suspend fun list(onProgress: (PlatformListing) -> Unit): Either<FeedError, PlatformListing> {
            val revision = PlatformRevision(2, 7)
            onProgress(PlatformListing(revision, listOf(upstream("up/1", 1))))
            delay(duration)
            return PlatformListing(revision, listOf(upstream("up/1", 1), upstream("up/2", 2))).right()
        }

        override suspend fun watch(revision: PlatformRevision, wait: Duration): Either<FeedError, PlatformChanges> {
            watches++
            if (watchError != null) return watchError.left()
            delay(500.milliseconds)
            if (revision.number > 2) delay(wait)
            return PlatformChanges(PlatformRevision(3, 7), listOf(upstream("up/3", 3))).right()
        }

        private fun upstream(key: String, revision: Long) = PlatformItem(key, revision, "ready")
    }

    /** @property known the upstreams that are known after 1, 2.1 and 3 seconds, and at the end */
    private class Case(
        val name: String,
        val duration: Duration,
        val known: List<String>,
        val watches: Int,
        val watchError: FeedError? = null,
    )

    // Guards against a gateway that knows nothing, or no change, until the end of a listing with many large values that nobody
    // can use (issue 55, review/9).
    @TestFactory
    fun `pages and changes are known before the end of a long listing`(): List<DynamicTest> =
        listOf(
            Case("a short listing", 1_500.milliseconds, listOf("", "1 2", "1 2", "1 2"), watches = 0),
            Case("a long listing", 10.seconds, listOf("", "1", "1 3", "1 2 3"), watches = 3),
            Case("without changes", 10.seconds, listOf("", "1", "1", "1 2"), 1, FeedError.Unavailable("test")),
        ).map { case ->
            dynamicTest(case.name) {
                runTest {
                    val feed = SlowFeed(case.duration, case.watchError)
                    val directory =
                        DirectoryManager(
                            UpstreamDirectory(TextItemDecoder),
                            noOpEventLog(),
                            { testScheduler.currentTime },
                            {},
                            {},
                        )
                    val listing =
                        async {
                            ProgressiveListing(feed, directory, "test", 5.seconds).run().onRight {
                                directory.applyListing(it, "test")
                            }
                        }
                    val known = ArrayList<String>()
                    for (wait in listOf(1_000, 1_100, 900)) {
                        delay(wait.milliseconds)
                        runCurrent()
                        known += directory.knownIds()
                    }
                    expectThat(listing.await().isRight()).isEqualTo(true)
                    known += directory.knownIds()
                    expectThat(known.toList()).containsExactly(case.known)
                    expectThat(feed.watches).describedAs("watches").isEqualTo(case.watches)
                }
            }
        }

    private fun DirectoryManager.knownIds(): String =
        view.upstreamIds
            .map { it.value }
            .sorted()
            .joinToString(" ")
}
