/*
 * A stand-in for the users' store on loopback, limited to the protocol that gateways use. Tests write the items that the operator
 * and the servers write in production.
 */
package org.primrosesill.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.transport.HttpListener
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.startHttpListener
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger

/** Behaviour of the store: normal, rejecting all requests, or not responding. */
enum class StoreMode { NORMAL, UNAVAILABLE, UNRESPONSIVE }

/** The content of a [StoreStandIn] at one moment, from which it can be restored. */
class StoreCopy internal constructor(internal val items: Map<String, Any>, internal val revision: Long)

/** The values that a restoration of a [StoreStandIn] from [copy] has lost, by key; null stands for a deletion. */
class LostWrites internal constructor(internal val values: Map<String, ByteArray?>, internal val copy: StoreCopy)

/** An in-memory store. Requests are handled on the traffic thread of [loop]; [write] may be called from any thread. */
class StoreStandIn(private val loop: TrafficLoop) : RequestHandler {
    private class Item(val value: ByteArray?, val revision: Long)

    private val items = java.util.TreeMap<String, Item>()
    private var revision = 1L

    /** Number of times that the store was restored from a copy, plus one. */
    private var era = 1L
    private var nextChange = CompletableDeferred<Unit>()

    @Volatile
    var mode = StoreMode.NORMAL

    val calls = AtomicInteger()

    /** Writes [value] under [key], or deletes [key] when [value] is null. */
    fun write(key: String, value: String?) = write(key, value?.toByteArray())

    @Synchronized
    fun write(key: String, value: ByteArray?) {
        items[key] = Item(value, ++revision)
        nextChange.complete(Unit)
        nextChange = CompletableDeferred()
    }

    @Synchronized
    fun copy(): StoreCopy = StoreCopy(items.toMap(), revision)

    /**
     * Returns to the content and the revision of [copy]: later writes are lost, and their revisions are given out again.
     * Returns the lost writes.
     */
    @Synchronized
    fun restore(copy: StoreCopy): LostWrites {
        val lost = LostWrites(items.filterValues { it.revision > copy.revision }.mapValues { it.value.value }, copy)
        items.clear()
        copy.items.forEach { (key, item) -> items[key] = item as Item }
        revision = copy.revision
        era++
        nextChange.complete(Unit)
        nextChange = CompletableDeferred()
        return lost
    }

    /** Writes again what was lost and not written since. */
    @Synchronized
    fun writeAgain(lost: LostWrites) =
        lost.values
            .filterKeys { (items[it]?.revision ?: 0) <= lost.copy.revision }
            .forEach { (key, value) -> write(key, value) }

    @Synchronized
    private fun headOf(status: Int) = ResponseHead(status, headerFieldsOf("Store-Era" to "$era"))

    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        calls.incrementAndGet()
        when (mode) {
            StoreMode.UNAVAILABLE -> return response.respond(ResponseHead(503))
            StoreMode.UNRESPONSIVE -> delay(60_000)
            StoreMode.NORMAL -> Unit
        }
        val query =
            request.target.substringAfter('?', "").split('&').associate {
                it.substringBefore('=') to
                    it.substringAfter('=')
            }
        val prefix = java.net.URLDecoder.decode(query["path_prefix"].orEmpty(), Charsets.UTF_8)
        when (request.path) {
            "/api/kv-range" -> {
                val after = java.net.URLDecoder.decode(query["after"].orEmpty(), Charsets.UTF_8)
                val body = range(prefix, after).toByteArray()
                response.respond(headOf(200), body)
            }
            "/api/kv-watch" -> {
                val body = watch(query)
                if (body == null) response.respond(headOf(410)) else response.respond(headOf(200), body.toByteArray())
            }
            else -> response.respond(ResponseHead(404))
        }
    }

    /** Returns the page that begins after the key [after]. */
    @Synchronized
    private fun range(prefix: String, after: String): String {
        val page = ArrayList<String>()
        var characters = 0
        for ((key, item) in items.tailMap(after, false)) {
            if (!key.startsWith(prefix) || item.value == null) continue
            if (page.size == PAGE_ITEMS || characters >= PAGE_CHARACTERS) return rangeJson(page, hasMore = true)
            page += itemJson(key, item)
            characters += item.value.size
        }
        return rangeJson(page, hasMore = false)
    }

    private fun rangeJson(entries: List<String>, hasMore: Boolean) =
        """{"entries":[${entries.joinToString(",")}],"has_more":$hasMore,"at":$revision}"""

    /** Returns the changes after the requested revision, or null if the store does not have that revision. */
    private suspend fun watch(query: Map<String, String>): String? {
        val after = query["after"]?.toLong() ?: 0
        val wait = query["wait_ms"]?.toLong() ?: 0
        val next = synchronized(this) { if (after == revision) nextChange else null }
        if (next != null) withTimeoutOrNull(wait) { next.await() }
        return synchronized(this) {
            val events = eventsAfter(after).joinToString(",")
            if (after > revision) null else """{"events":[$events],"at":$revision}"""
        }
    }

    private fun eventsAfter(after: Long): List<String> =
        items.filter { it.value.revision > after }.entries.sortedBy { it.value.revision }.map {
            itemJson(
                it.key,
                it.value,
            )
        }

    private fun itemJson(key: String, item: Item): String =
        if (item.value == null) {
            """{"key":"$key","revision":${item.revision},"deleted":true}"""
        } else {
            val value = Base64.getEncoder().encodeToString(item.value)
            """{"key":"$key","value":"$value","revision":${item.revision},"created":1,"lease":0}"""
        }

    suspend fun listen(address: String = "127.0.0.1:0"): HttpListener =
        startHttpListener(loop, address, ::ListenerLimits, this)

    private companion object {
        const val PAGE_ITEMS = 500
        const val PAGE_CHARACTERS = 1_000_000
    }
}
