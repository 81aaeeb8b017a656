/*
 * Stand-ins for the users' store and upstreams on loopback, limited to the protocol that gateways use. Tests write
 * the items that the operator and the servers write in production.
 */
package org.primrosesill.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.OutboundResponse
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.transport.HttpListener
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.startHttpListener
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

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

/** How an upstream handles requests. */
enum class UpstreamMode {
    NORMAL,
    CRASHING,
    HANGING,
    FAILING,
    FULL,
    TRUNCATING,
    LEAVING,
    PAUSING,
    ENDLESS,
    ENDLESS_EVENTS,
}

/** An upstream that implements the platform's protocol and records the requests that it received and executed. */
class UpstreamStandIn(val id: String, private val events: Int, private val pauseMillis: Long = 5) : RequestHandler {
    /** Ids of the requests received by this upstream, in order. */
    val received = java.util.concurrent.ConcurrentLinkedQueue<String>()

    /** Ids of the requests executed by this upstream, in order. */
    val executed = java.util.concurrent.ConcurrentLinkedQueue<String>()

    @Volatile
    var mode = UpstreamMode.NORMAL

    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        val attempt = request.headers["X-Attempt-Id"].orEmpty()
        val echo = headerFieldsOf("X-Attempt-Id" to attempt)
        // The gateway's own requests have no id.
        if (attempt.isNotEmpty()) received += attempt
        if (request.headers["X-Expect-Instance"] !=
            id
        ) {
            return response.respond(ResponseHead(421, echo.with("X-Instance-Id", id)))
        }
        if (mode == UpstreamMode.FULL) return response.respond(ResponseHead(503, echo.with("X-Not-Executed", "1")))
        if (mode == UpstreamMode.PAUSING) {
            val refusal = echo + headerFieldsOf("X-Not-Executed" to "1", "Retry-After" to "2")
            return response.respond(ResponseHead(503, refusal))
        }
        executed += attempt
        val leaving =
            if (mode == UpstreamMode.LEAVING) headerFieldsOf("Server-Leaving" to "1") else headerFieldsOf()
        val signed =
            echo + leaving + headerFieldsOf("X-Server-Signature" to "$id.$attempt", "X-Server-Load" to "1,0,96")
        when (mode) {
            UpstreamMode.CRASHING -> return response.abort()
            UpstreamMode.HANGING -> delay(60_000)
            UpstreamMode.FAILING -> return response.respond(ResponseHead(500, signed), "failed".toByteArray())
            UpstreamMode.ENDLESS -> respondWithoutEnd(response, signed, "x".repeat(16_000))
            UpstreamMode.ENDLESS_EVENTS -> respondWithoutEnd(response, signed, "data: x\n\n".repeat(1_600))
            else -> Unit
        }
        if (events == 0) respondPlain(request, response, signed) else respondStream(request, response, signed)
    }

    /** Repeats [part] as fast as the gateway reads. */
    private suspend fun respondWithoutEnd(response: OutboundResponse, fields: HeaderFields, part: String): Nothing {
        val type = if (events == 0) "text/plain" else "text/event-stream"
        response.start(ResponseHead(200, fields.with("Content-Type", type)))
        val bytes = part.toByteArray()
        while (true) {
            response.write(bytes)
            // The gateway may have closed the connection, which this thread has yet to detect.
            yield()
        }
    }

    private suspend fun respondPlain(request: InboundRequest, response: OutboundResponse, fields: HeaderFields) {
        delay(pauseMillis)
        response.respond(
            ResponseHead(200, fields),
            "${request.method} ${request.target} ${request.body.decodeToString()}".toByteArray(),
        )
    }

    private suspend fun respondStream(request: InboundRequest, response: OutboundResponse, fields: HeaderFields) {
        val first = (request.headers["Last-Event-Id"]?.toInt() ?: 0) + 1
        response.start(ResponseHead(200, fields.with("Content-Type", "text/event-stream")))
        for (number in first..events) {
            delay(pauseMillis)
            if (mode == UpstreamMode.TRUNCATING && number == events / 2 + 1) return response.abort()
            response.write("id: $number\ndata: $number\n\n".toByteArray())
        }
        response.finish()
    }
}

/**
 * A store and its upstreams on loopback: one pool of engines, which stream their responses, and one of desks, which are
 * plain HTTP services.
 *
 * @param publishedAddress returns the address under which the upstream at a local port is registered
 */
class SiteStandIn(
    val loop: TrafficLoop,
    private val engines: Int,
    private val desks: Int,
    zones: List<String>,
    private val publishedAddress: (Int) -> String = { "127.0.0.1:$it" },
) {
    val store = StoreStandIn(loop)
    val upstreams =
        List(engines) { UpstreamStandIn("engine-$it", events = 10) } +
            List(desks) { UpstreamStandIn("desk-$it", events = 0) }
    private val zoneOf = upstreams.indices.associate { upstreams[it].id to zones[it % zones.size] }
    private val addresses = HashMap<String, String>()
    lateinit var storeAddress: String
        private set

    suspend fun start(storeAt: String = "127.0.0.1:0") {
        storeAddress = publishedAddress(store.listen(storeAt).port)
        for (upstream in upstreams) {
            val port = startHttpListener(loop, "127.0.0.1:0", ::ListenerLimits, upstream).port
            addresses[upstream.id] = publishedAddress(port)
            register(upstream.id)
        }
        configure(version = 1)
    }

    fun register(id: String, state: String = "ready") {
        val pool = if (id.startsWith("engine")) "engines" else "desks"
        val slots = if (id.startsWith("engine")) 96 else 6
        store.write(
            "servers/$id",
            """{"service":"$pool","address":"${addresses[id]}","zone":"${zoneOf[id]}","version":"v1","max_batch":$slots,
            "state":"$state","warmup_left_ms":0,"sequence":1}""",
        )
    }

    fun configure(version: Int, key: String = KEY, extraRoutes: Int = 0) {
        val extra = List(extraRoutes) { route("extra$it", "safe", "desks") }
        val routes =
            listOf(
                route("chat", "stream", "engines", affinity = true),
                route("long", "stream", "engines", affinity = true, resumable = true),
                route("book", "unsafe", "desks"),
                route("stock", "safe", "desks"),
            ) + extra
        store.write(
            "op/config",
            """{"version":$version,"routes":[${routes.joinToString(",")}],
            "services":[{"name":"engines","health_path":"/healthz","max_conns":480,"warmup_s":3.0,"warmup_per_s":10.0,
            "engine":{"max_batch":96,"kv_capacity":216524}},
            {"name":"desks","health_path":"/healthz","max_conns":96,"warmup_s":0.0,"warmup_per_s":0.0}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"account","api_keys":["$key"]}]}""",
        )
    }

    private fun route(name: String, kind: String, pool: String, affinity: Boolean = false, resumable: Boolean = false) =
        """{"name":"$name","host":"h.example","path_prefix":"/$name/","type":"$kind","timeout_ms":3000,
        "target_latency_ms":300,"priority":1,"service":"$pool","attempts":2,"anonymous":false,"affinity":$affinity,
        "resumable":$resumable,"gap_target_ms":400}"""

    companion object {
        const val KEY = "the-key"
    }
}
