/*
 * Listings of a store whose pages have large values, foreign keys, or no end.
 */
package org.primrosesill.platform

import arrow.core.Either
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.model.HeaderFields
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.URLDecoder
import java.util.Base64
import java.util.TreeMap

/** A store with pages of one megabyte. Calls whose number is in [failing] fail, counted from 1. */
private class LargeStore(private val failing: Set<Int> = emptySet()) : UpstreamClient {
    private val values = TreeMap<String, String>()
    var calls = 0
        private set

    /** Values under keys that share the same text, so that a test can have more than its memory. */
    fun put(keys: List<String>, value: String) {
        val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
        keys.forEach { values[it] = encoded }
    }

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        if (++calls in failing) return ExchangeResult.NotSent("refused")
        val after = URLDecoder.decode(call.path.substringAfter("&after=", ""), Charsets.UTF_8)
        val parts = ArrayDeque(listOf(BodyPart.Bytes(page(after).toByteArray()), BodyPart.End))
        return ExchangeResult.Responded(
            use(UpstreamResponse(200, HeaderFields(), body = UpstreamBody { parts.removeFirst() })),
        )
    }

    private fun page(after: String): String {
        val entries = ArrayList<String>()
        var characters = 0
        for ((key, value) in values.tailMap(after, false)) {
            if (entries.size == 500 || characters >= 1_000_000) break
            entries += """{"key":"$key","value":"$value","revision":7}"""
            characters += value.length
        }
        val last = entries.size.let { if (it == 0) null else values.tailMap(after, false).keys.elementAt(it - 1) }
        val hasMore = last != null && values.higherKey(last) != null
        return """{"at":9,"entries":[${entries.joinToString(",")}],"has_more":$hasMore}"""
    }
}

private const val ENTRY =
    """{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","max_batch":96,"state":"ready"}"""

class StoreListingTest {
    private fun keys(prefix: String, count: Int) = List(count) { "$prefix${1_000_000 + it}" }

    private class Case(val name: String, val maximumCalls: Int, val fill: LargeStore.() -> Unit)

    // Guards against a listing that is given up for its size, although the store's pages are finite and in order, and whose
    // memory grows with values that nobody can use (issue 55, review/9).
    @TestFactory
    fun `a listing has the sound entries, and a bounded part of all others`(): List<DynamicTest> =
        listOf(
            Case("300 values of 1 MB, no text", 310) { put(keys("servers/m", 300), "\u0001".repeat(1_000_000)) },
            Case("300 values of 1 MB, JSON with a long field", 310) {
                put(keys("servers/m", 300), """{"state":"${"x".repeat(1_000_000)}"}""")
            },
            Case("50,000 values of 300 bytes", 110) { put(keys("servers/m", 50_000), "x".repeat(300)) },
            Case("300 values of 1 MB before the operator's keys", 5) { put(keys("a/", 300), "x".repeat(1_000_000)) },
            Case("300 values of 1 MB between the keys in use", 5) { put(keys("other/", 300), "x".repeat(1_000_000)) },
            Case("300 values of 1 MB after the servers' keys", 5) { put(keys("z/", 300), "x".repeat(1_000_000)) },
        ).map { case ->
            dynamicTest(case.name) {
                val store = LargeStore()
                store.put(listOf("op/evacuate/a", "servers/first", "servers/z-last"), ENTRY)
                case.fill(store)
                val listing = list(store).fold({ error("$it") }, { it })
                expectThat(listing.items.filter { it.value == ENTRY }.map { it.key })
                    .containsExactlyInAnyOrder("op/evacuate/a", "servers/first", "servers/z-last")
                expectThat(store.calls).describedAs("calls").isLessThanOrEqualTo(case.maximumCalls)
                val characters = listing.items.sumOf { it.key.length + checkNotNull(it.value).length }
                expectThat(characters).describedAs("characters kept").isLessThanOrEqualTo(MAXIMUM_KEPT_CHARACTERS)
            }
        }

    // Guards against a listing of a store that never stops to return further pages.
    @Test
    fun `a listing without end fails`() {
        val store = LargeStore()
        store.put(keys("servers/m", 600_000), "x")
        expectThat(list(store)).isA<Either.Left<FeedError>>()
        expectThat(store.calls).isLessThanOrEqualTo(1_000)
    }

    private class FailureCase(val name: String, val failing: Set<Int>, val isComplete: Boolean)

    // Guards against a listing of many pages that begins again at each failed call, and against more calls to a platform that
    // refuses the first one.
    @TestFactory
    fun `a failed call for a later page is repeated`(): List<DynamicTest> =
        listOf(
            FailureCase("none", emptySet(), isComplete = true),
            FailureCase("the first", setOf(1), isComplete = false),
            FailureCase("one", setOf(3), isComplete = true),
            FailureCase("two in a row", setOf(3, 4), isComplete = true),
            FailureCase("three in a row", setOf(3, 4, 5), isComplete = false),
        ).map { case ->
            dynamicTest(case.name) {
                val store = LargeStore(case.failing)
                store.put(keys("servers/m", 1_400), ENTRY)
                expectThat(list(store).isRight()).isEqualTo(case.isComplete)
                val pages = if (case.isComplete) 3 else case.failing.max() - case.failing.size
                expectThat(store.calls).describedAs("calls").isEqualTo(pages + case.failing.size)
            }
        }

    // Guards against sound entries that are known only after all pages of a long listing, and against a gateway that keeps any
    // number of others until then.
    @Test
    fun `the items in use of each page that is followed by another are reported once`() =
        runTest {
            val store = LargeStore()
            store.put(keys("servers/m", 1_400), ENTRY)
            store.put(keys("servers/a", 2_000), "unreadable")
            store.put(keys("op/other", 500), "unrelated")
            val reported = ArrayList<String>()
            storeFeed("10.0.0.1:80", store).list { page -> reported += page.items.map { it.key } }
            expectThat(reported.toList()).isEqualTo(keys("servers/m", 1_000))
        }

    private fun list(store: LargeStore): Either<FeedError, PlatformListing> {
        var result: Either<FeedError, PlatformListing>? = null
        runTest { result = storeFeed("10.0.0.1:80", store).list() }
        return checkNotNull(result)
    }

    private companion object {
        /** 4,096 items of 500 characters, those of the last page, and the keys. */
        const val MAXIMUM_KEPT_CHARACTERS = 3_000_000
    }
}
