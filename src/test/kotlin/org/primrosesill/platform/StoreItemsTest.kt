/*
 * Decoding of the store's items. Invalid items are rejected with the path of the invalid field.
 */
package org.primrosesill.platform

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SERVER =
    """{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","max_batch":96,"state":"ready",
    "warmup_left_ms":1500,"sequence":4,"born":1700000000000,"phase":"unified"}"""

private const val CONFIGURATION =
    """{"version":7,"routes":[
    {"name":"r1","host":"H.example","path_prefix":"/a/","type":"stream","timeout_ms":5000,"target_latency_ms":800,
     "priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":1,"anonymous":false,
     "affinity":true,"resumable":true,"gap_target_ms":400},
    {"name":"r2","host":"h.example","path_prefix":"/b/","type":"unsafe","timeout_ms":1000,"target_latency_ms":100,
     "priority":2,"service":"t","attempts":1,"anonymous":true}],
    "services":[{"name":"s","health_path":"/healthz","max_conns":480,"protocol":"h1","tls":false,"warmup_s":3.0,
     "warmup_per_s":10.0,"engine":{"max_batch":96,"kv_capacity":216524,"kv_bytes":131072}},
     {"name":"t","health_path":"/healthz","max_conns":96,"warmup_s":0.0,"warmup_per_s":0.0}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"c","api_keys":["k1","k2"],"priority":1}],"new_field":{}}"""

private const val NESTING_DEPTH = 100_000

/** Stack of the threads of a gateway, as in deploy/system.toml. */
private const val STACK_BYTES = 256L * 1024

private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

/** Runs [decode] on a thread with the stack that a gateway has, and rethrows what it throws. */
private fun onControlThreadStack(decode: () -> DecodedItem): DecodedItem {
    var result: Result<DecodedItem>? = null
    val thread = Thread(null, { result = runCatching(decode) }, "control", STACK_BYTES)
    thread.start()
    thread.join()
    return checkNotNull(result).getOrThrow()
}

class StoreItemsTest {
    private val decoder = storeItemDecoder()

    private fun decode(key: String, value: String) = decoder.decode(PlatformItem(key, 1, value))

    private class InvalidItem(val name: String, val key: String, val value: String, val error: String)

    // Guards against a malformed entry of another writer that directs traffic to an address without an upstream.
    @TestFactory
    fun `an invalid item is rejected with the path of the field`(): List<DynamicTest> =
        listOf(
            InvalidItem("binary data", "servers/i", "\u0000\u0001", "servers/i: found text that is not JSON"),
            InvalidItem("an array", "servers/i", "[]", "servers/i: found another JSON value"),
            InvalidItem(
                "no service",
                "servers/i",
                SERVER.replace("\"service\":\"s\",", ""),
                "servers/i.service: found nothing",
            ),
            InvalidItem(
                "a number instead of a string",
                "servers/i",
                SERVER.replace("\"a\"", "5"),
                "servers/i.zone: found 5",
            ),
            InvalidItem(
                "a string instead of a number",
                "servers/i",
                SERVER.replace("96", "\"96\""),
                "servers/i.max_batch: found \"96\"",
            ),
            InvalidItem(
                "an unknown state",
                "servers/i",
                SERVER.replace("ready", "asleep"),
                "servers/i.state: found 'asleep'",
            ),
            InvalidItem(
                "a host name instead of an IP address",
                "servers/i",
                SERVER.replace("10.0.0.1:80", "host:80"),
                "servers/i.address: found 'host:80'",
            ),
            InvalidItem(
                "a port out of range",
                "servers/i",
                SERVER.replace("10.0.0.1:80", "10.0.0.1:80000"),
                "servers/i.address: found '10.0.0.1:80000'",
            ),
            InvalidItem("port 0", "servers/i", SERVER.replace("10.0.0.1:80", "10.0.0.1:0"), "servers/i.address"),
            InvalidItem(
                "an octet out of range",
                "servers/i",
                SERVER.replace("10.0.0.1", "10.0.0.256"),
                "servers/i.address",
            ),
            InvalidItem(
                "a host of hexadecimal digits",
                "servers/i",
                SERVER.replace("10.0.0.1", "cafe"),
                "servers/i.address",
            ),
            InvalidItem(
                "a malformed IPv6 address",
                "servers/i",
                SERVER.replace("10.0.0.1", "[::::]"),
                "servers/i.address",
            ),
            InvalidItem(
                "more slots than an integer holds",
                "servers/i",
                SERVER.replace("96", "4294967296"),
                "servers/i.max_batch",
            ),
            InvalidItem("no slots", "servers/i", SERVER.replace("96", "0"), "servers/i.max_batch"),
            InvalidItem(
                "a number out of range",
                "servers/i",
                SERVER.replace("1500", "1e400"),
                "servers/i.warmup_left_ms",
            ),
            InvalidItem(
                "a cold start longer than the clock holds",
                "servers/i",
                SERVER.replace("1500", "9223372036854775807"),
                "servers/i.warmup_left_ms",
            ),
            InvalidItem("a line break in the id", "servers/i\r\nX: 1", SERVER, "servers/i"),
            InvalidItem(
                "deeply nested arrays in a field",
                "servers/i",
                SERVER.replace("\"a\"", nested(NESTING_DEPTH)),
                "servers/i: found",
            ),
            InvalidItem("deeply nested arrays", "servers/i", nested(NESTING_DEPTH), "servers/i: found"),
            InvalidItem(
                "deeply nested objects in a field that is not used",
                "servers/i",
                SERVER.replace(
                    "{\"service\"",
                    "{\"x\":" + "{\"y\":".repeat(NESTING_DEPTH) + "1" + "}".repeat(NESTING_DEPTH) + ",\"service\"",
                ),
                "servers/i: found",
            ),
            InvalidItem(
                "an unknown route type",
                "op/config",
                CONFIGURATION.replace("unsafe", "odd"),
                "configuration.routes[1].type: found 'odd'",
            ),
            InvalidItem(
                "an API key that is not a string",
                "op/config",
                CONFIGURATION.replace("\"k1\"", "1"),
                "configuration.tenants[0].api_keys",
            ),
        ).map { case ->
            dynamicTest(case.name) {
                expectThat(
                    onControlThreadStack { decode(case.key, case.value) },
                ).isA<DecodedItem.Invalid>().get { reason }.contains(case.error)
            }
        }

    // Guards against fields that are mixed up.
    @Test
    fun `a server entry is decoded as a registration`() {
        val decoded = decode("servers/i-1", SERVER)
        expectThat(decoded).isA<DecodedItem.Upstream>().get { registration }.and {
            get { id.value }.isEqualTo("i-1")
            get { pool }.isEqualTo(PoolId("s"))
            get { address }.isEqualTo("10.0.0.1:80")
            get { slots }.isEqualTo(96)
            get { draining }.isEqualTo(false)
            get { coldFor }.isEqualTo(1500.milliseconds)
            get { startedAtMillis }.isEqualTo(1_700_000_000_000)
        }
        expectThat(decode("servers/i-1", SERVER.replace("ready", "draining")))
            .isA<DecodedItem.Upstream>()
            .get {
                registration.draining
            }.isEqualTo(true)
    }

    // Guards against a route with the wrong pool, the wrong timeout or the wrong callers.
    @Test
    fun `the configuration is decoded as routes, pools, limits and accounts`() {
        val configuration = (decode("op/config", CONFIGURATION) as DecodedItem.Configuration).configuration
        expectThat(configuration.version).isEqualTo(7)
        val first = configuration.routes.find("h.example", "/a/x")
        val second = configuration.routes.find("h.example", "/b/x")
        expectThat(first?.kind).isEqualTo(RouteKind.STREAM)
        expectThat(first?.idempotent).isEqualTo(true)
        expectThat(first?.targets?.map { it.pool.value to it.weight }).isEqualTo(listOf("s" to 90, "t" to 10))
        expectThat(first?.timeout).isEqualTo(5.seconds)
        expectThat(first?.eventIntervalTarget).isEqualTo(400.milliseconds)
        expectThat(second?.idempotent).isEqualTo(false)
        expectThat(second?.targets?.size).isEqualTo(1)
        expectThat(configuration.pools[PoolId("s")]?.coldStart?.requestsPerSecond).isEqualTo(10.0)
        expectThat(configuration.pools[PoolId("t")]?.coldStart).isNull()
        expectThat(configuration.limits.idleTimeout).isEqualTo(15.seconds)
        expectThat(configuration.accountOf("k2")?.customer?.value).isEqualTo("c")
        expectThat(configuration.accountOf("k3")).isNull()
    }

    // Guards against a zone that stays in use because the value of its item is in an unknown format.
    @Test
    fun `a zone is evacuated while its item exists, whatever its value`() {
        expectThat(decode("op/evacuate/z-1", "anything"))
            .isA<DecodedItem.ZoneEvacuated>()
            .get {
                zone
            }.isEqualTo(AvailabilityZoneId("z-1"))
        expectThat(decoder.evacuatedZoneOf("op/evacuate/")).isNull()
        expectThat(decode("op/other", "{}")).isA<DecodedItem.Unrelated>()
    }
}
