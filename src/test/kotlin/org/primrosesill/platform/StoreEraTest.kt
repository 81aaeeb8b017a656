/*
 * Listings and watches of a store that is restored from a copy while it is read.
 */
package org.primrosesill.platform

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

private class StoreReply(val status: Int, val era: String?, val body: String)

/** Returns one reply after the other. */
private class ScriptedStore(replies: List<StoreReply>) : UpstreamClient {
    private val remaining = ArrayDeque(replies)

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        val reply = remaining.removeFirst()
        val fields = reply.era?.let { headerFieldsOf("Store-Era" to it) } ?: headerFieldsOf()
        val parts = ArrayDeque(listOf(BodyPart.Bytes(reply.body.toByteArray()), BodyPart.End))
        return ExchangeResult.Responded(use(UpstreamResponse(reply.status, fields) { parts.removeFirst() }))
    }
}

private fun page(era: String?, at: Long, key: String, hasMore: Boolean) =
    StoreReply(200, era, """{"entries":[{"key":"$key","value":"","revision":$at}],"has_more":$hasMore,"at":$at}""")

private fun changes(era: String?, at: Long) = StoreReply(200, era, """{"events":[],"at":$at}""")

class StoreEraTest {
    private class Case(
        val name: String,
        val replies: List<StoreReply>,
        val watchAfter: PlatformRevision?,
        val result: String,
    )

    // Guards against a listing that joins two eras, and against a watch that misses changes because the restored store has
    // passed the requested revision.
    @TestFactory
    fun `what is read from a store belongs to one era`(): List<DynamicTest> =
        listOf(
            Case(
                "a listing",
                listOf(page("3", 9, "servers/a", true), page("3", 9, "servers/b", false)),
                null,
                "9 of era 3",
            ),
            Case("a store without eras", listOf(page(null, 9, "servers/a", false)), null, "9"),
            Case(
                "restored between two pages",
                listOf(page("3", 9, "servers/a", true), page("4", 5, "servers/b", false)),
                null,
                "Unavailable",
            ),
            Case("an invalid era", listOf(page("x", 9, "servers/a", false)), null, "Malformed"),
            Case("a watch", listOf(changes("3", 12)), PlatformRevision(9, 3), "12 of era 3"),
            Case("a watch of a newer era", listOf(changes("4", 12)), PlatformRevision(9, 3), "Compacted"),
            Case("a watch of an older era", listOf(changes("2", 12)), PlatformRevision(9, 3), "Unavailable"),
            Case("an era begins", listOf(changes("1", 12)), PlatformRevision(9), "Compacted"),
            Case("no such revision", listOf(StoreReply(410, "4", "")), PlatformRevision(9, 3), "Compacted"),
        ).map { case ->
            dynamicTest(case.name) {
                runTest { expectThat(read(case)).isEqualTo(case.result) }
            }
        }

    private suspend fun read(case: Case): String {
        val feed = storeFeed("10.0.0.1:1", ScriptedStore(case.replies))
        val revision = if (case.watchAfter == null) feed.list().map { it.revision } else watch(feed, case.watchAfter)
        return revision.fold(::nameOf) { it.toString() }
    }

    private suspend fun watch(feed: org.primrosesill.discovery.PlatformFeed, after: PlatformRevision) =
        feed.watch(after, 1.seconds).map { it.revision }

    private fun nameOf(error: FeedError): String =
        when (error) {
            is FeedError.Unavailable -> "Unavailable"
            is FeedError.Compacted -> "Compacted"
            is FeedError.Malformed -> "Malformed"
            is FeedError.Incomplete -> "Incomplete"
        }
}
