/*
 * Reads and watches the platform's store over HTTP.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.request.UpstreamClient
import java.net.URLEncoder
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the store at [address] as a source of items. */
public fun storeFeed(address: String, client: UpstreamClient): PlatformFeed = StoreFeed(address, client)

/** Listings and watches name no prefix: all keys in the store are the operator's and the upstreams'. */
private class StoreFeed(private val address: String, private val client: UpstreamClient) : PlatformFeed {
    override suspend fun list(): Either<FeedError, PlatformListing> {
        val first = range(after = null).fold({ return it.left() }, { it })
        val items = ArrayList(first.items)
        var page = first
        while (page.more && page.items.isNotEmpty()) {
            page = range(page.items.last().key).fold({ return it.left() }, { it })
            items += page.items
        }
        // Pages are no snapshot: what changed after the first one is asked for again by the watch.
        return PlatformListing(first.revision, items).right()
    }

    override suspend fun watch(revision: Long, wait: Duration): Either<FeedError, PlatformChanges> {
        val path = "/api/kv-watch?path_prefix=&after=$revision&wait_ms=${wait.inWholeMilliseconds}"
        return read(path, wait + ANSWER_TIMEOUT).flatMap { body ->
            readWireObject(body, "watch") { wire ->
                PlatformChanges(wire.integer("at"), wire.objects("events").map(::readItem))
            }.mapLeft { FeedError.Malformed(it.toString()) }
        }
    }

    private suspend fun range(after: String?): Either<FeedError, Page> {
        val next = after?.let { "&after=${encoded(it)}" }.orEmpty()
        return read("/api/kv-range?path_prefix=$next", ANSWER_TIMEOUT).flatMap { body ->
            readWireObject(body, "range") { wire ->
                Page(wire.integer("at"), wire.objects("entries").map(::readItem), wire.flag("has_more"))
            }.mapLeft { FeedError.Malformed(it.toString()) }
        }
    }

    private suspend fun read(path: String, timeout: Duration): Either<FeedError, String> =
        client.get(address, path, timeout).flatMap { answer ->
            when (answer.status) {
                200 -> answer.body.decodeToString().right()
                410 -> FeedError.HistoryGone("the changes are no longer kept").left()
                else -> FeedError.Unavailable("status ${answer.status}").left()
            }
        }

    private class Page(val revision: Long, val items: List<PlatformItem>, val more: Boolean)

    private companion object {
        val ANSWER_TIMEOUT = 1.seconds
    }
}

private fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

/** An item, or an event of a watch. */
private fun readItem(wire: WireObject): PlatformItem {
    val deleted = wire.optionalFlag("deleted") ?: false
    val value = if (deleted) null else decodeValue(wire)
    return PlatformItem(wire.text("key"), wire.integer("revision"), value)
}

private fun decodeValue(wire: WireObject): String {
    val text = wire.text("value")
    return try {
        // Bytes that are no text make an item that its decoder refuses, and the other items hold.
        Base64.getDecoder().decode(text).toString(Charsets.UTF_8)
    } catch (_: IllegalArgumentException) {
        wire.refuse("value", "'${text.take(20)}'", "base64")
    }
}
