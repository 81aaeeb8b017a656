/*
 * Lists and watches the platform's store over HTTP. All responses of the store carry its era, which rises when it is restored
 * from a copy.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.request.FetchedResponse
import org.primrosesill.request.UpstreamClient
import java.net.URLEncoder
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns a feed of the items in the store at [address]. */
public fun storeFeed(address: String, client: UpstreamClient): PlatformFeed = StoreFeed(address, client)

/** Lists and watches the keys of the operator and of the servers. */
private class StoreFeed(private val address: String, private val client: UpstreamClient) : PlatformFeed {
    override suspend fun list(): Either<FeedError, PlatformListing> = list {}

    override suspend fun list(onProgress: (PlatformListing) -> Unit): Either<FeedError, PlatformListing> =
        withTimeoutOrNull(LISTING_TIMEOUT) { StoreListing(::listPage, onProgress).run() }
            ?: FeedError.Unavailable("the listing was incomplete after $LISTING_TIMEOUT").left()

    override suspend fun watch(revision: PlatformRevision, wait: Duration): Either<FeedError, PlatformChanges> {
        val path = "/api/kv-watch?path_prefix=&after=${revision.number}&wait_ms=${wait.inWholeMilliseconds}"
        return fetch(path, wait + HEAD_TIMEOUT).flatMap { response ->
            eraError(response.era, revision)?.left()
                ?: readWireObject(response.body, "watch") { wire ->
                    val changes = wire.objects("events").filter(::hasUsedKey).map(::readItem)
                    PlatformChanges(PlatformRevision(wire.integer("at"), response.era), changes)
                }.mapLeft { FeedError.Malformed(it.toString()) }
        }
    }

    /**
     * Returns why a watch after [revision] that was answered in [era] has no usable result, or null if it has one. A store
     * that was restored since may have passed [revision] again, and then answers as if nothing were missing.
     */
    private fun eraError(era: Long, revision: PlatformRevision): FeedError? =
        when {
            era > revision.era ->
                FeedError.Compacted(
                    "the store was restored from a copy: era $era, not ${revision.era}",
                )
            era < revision.era -> FeedError.Unavailable("the response is of an older era: $era, not ${revision.era}")
            else -> null
        }

    private suspend fun listPage(after: String?): Either<FeedError, StorePage> {
        val start = after?.let { "&after=${urlEncoded(it)}" }.orEmpty()
        return fetch("/api/kv-range?path_prefix=$start", HEAD_TIMEOUT).flatMap { response ->
            readWireObject(response.body, "range") { wire ->
                val revision = PlatformRevision(wire.integer("at"), response.era)
                StorePage(revision, wire.objects("entries").map(::readItem), wire.boolean("has_more"))
            }.mapLeft { FeedError.Malformed(it.toString()) }
        }
    }

    private suspend fun fetch(path: String, timeout: Duration): Either<FeedError, StoreResponse> =
        client.get(address, path, timeout).flatMap { response ->
            when (response.status) {
                200 -> readEra(response).map { StoreResponse(response.body.decodeToString(), it) }
                410 -> FeedError.Compacted("the changes after the requested revision are no longer available").left()
                else -> FeedError.Unavailable("unexpected status ${response.status}").left()
            }
        }

    /** Returns the era in [response], or 0 from a store that reports none. */
    private fun readEra(response: FetchedResponse): Either<FeedError, Long> {
        val text = response.headers[ERA_FIELD] ?: return 0L.right()
        val era = text.toLongOrNull()?.takeIf { it >= 0 }
        return era?.right() ?: FeedError.Malformed("$ERA_FIELD: found '${text.take(20)}', expected a number").left()
    }

    private class StoreResponse(val body: String, val era: Long)

    private companion object {
        val HEAD_TIMEOUT = 1.seconds

        val LISTING_TIMEOUT = 20.seconds
        const val ERA_FIELD = "Store-Era"
    }
}

private fun urlEncoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private fun hasUsedKey(wire: WireObject): Boolean = isUsedKey(wire.string("key"))

/** Reads an item of a listing or an event of a watch, with a value of limited length. */
private fun readItem(wire: WireObject): PlatformItem {
    val key = wire.string("key")
    val deleted = wire.optionalBoolean("deleted") ?: false
    val value = if (deleted || !isUsedKey(key)) null else decodeValue(wire)
    return itemWithLimitedValue(PlatformItem(key, wire.integer("revision"), value))
}

private fun decodeValue(wire: WireObject): String {
    val text = wire.string("value")
    return try {
        // Invalid UTF-8 yields a value that the item decoder rejects, so that the other items remain usable.
        Base64.getDecoder().decode(text).toString(Charsets.UTF_8)
    } catch (_: IllegalArgumentException) {
        wire.fail("value", "'${text.take(20)}'", "base64")
    }
}
