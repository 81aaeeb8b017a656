/*
 * A site of stand-ins: a store and upstreams of several kinds.
 */
package org.primrosesill.platform

import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.startHttpListener

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
