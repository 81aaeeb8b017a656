/*
 * A small site of separate processes on loopback for tests: a platform, three engines, a booking service and routers in
 * three zones. Processes can be killed, stopped and resumed.
 */
package org.primrosesill.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.RouterStatus
import org.primrosesill.generated.ServicePermission
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.generated.VmList
import org.primrosesill.generated.VmState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import org.primrosesill.model.VmId
import org.primrosesill.transport.freePort
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.time.Duration
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

internal val zones = listOf("a", "b", "c")
internal const val SUSPICION_MILLIS = 2_000L

/** One process of the site. */
internal class SiteProcess(private val arguments: List<String>, private val output: File) {
    private var process: Process = start()

    /** What it wrote so far. */
    val text: String get() = output.readText()

    private fun start(): Process =
        ProcessBuilder(javaCommand + arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
            .start()

    fun restart() {
        process = start()
    }

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGTERM and returns whether the process ended in time. */
    fun terminate(seconds: Long = 30): Boolean {
        process.destroy()
        return process.waitFor(seconds, TimeUnit.SECONDS)
    }

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    fun reload() = signal("HUP")

    val isAlive: Boolean get() = process.isAlive

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    private companion object {
        val javaCommand =
            listOf(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
                "org.primrosesill.MainKt",
            )
    }
}

internal class SiteRouter(val process: SiteProcess, val zone: String, val caller: Int, val peer: Int, val operator: Int)

internal class SiteUpstream(val process: SiteProcess, val id: String, val zone: String, val port: Int)

internal data class SiteAnswer(val status: Int, val body: String, val replayed: Boolean)

internal class ProcessSite(routersPerZone: Int = 2) : AutoCloseable {
    private val processes = mutableListOf<SiteProcess>()
    private val directory: Path = Files.createTempDirectory("primrosesill-site")
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()
    private val platformPort = freePort()
    private val credential = "site-credential"
    val engines = zones.map { zone -> upstream("engine", zone) }
    val service = upstream("service", "a")
    val routers = zones.flatMap { zone -> List(routersPerZone) { router(zone) } }
    private val platform = startPlatform()

    private fun upstream(kind: String, zone: String): SiteUpstream {
        val id = "$kind-$zone"
        val port = freePort()
        // A slow booking desk, so that faults strike while requests run.
        val options = if (kind == "service") listOf("--answer", "100") else emptyList()
        val arguments = listOf("stand-in", kind, "--address", "127.0.0.1:$port", "--id", id) + options
        val process = launch(*arguments.toTypedArray(), name = id)
        return SiteUpstream(process, id, zone, port)
    }

    fun router(zone: String): SiteRouter {
        val (caller, peer, operator) = List(3) { freePort() }
        val process =
            launch(
                "router",
                *arrayOf("--availability-zone", zone),
                *arrayOf("--caller-address", "127.0.0.1:$caller"),
                *arrayOf("--peer-address", "127.0.0.1:$peer"),
                *arrayOf("--operator-address", "127.0.0.1:$operator"),
                *arrayOf("--platform-address", "127.0.0.1:$platformPort"),
                *arrayOf("--suspicion-timeout", "$SUSPICION_MILLIS", "--stop-notice", "500"),
                *arrayOf("--events", "$directory/router-$caller.jsonl"),
                name = "router-$caller",
            )
        return SiteRouter(process, zone, caller, peer, operator)
    }

    private fun startPlatform(): SiteProcess {
        val documents = directory.resolve("documents")
        documents.resolve("contract").createDirectories()
        documents.resolve("fleet.json").writeText(Json.encodeToString(FleetDocument.serializer(), fleet()))
        documents.resolve("contract/boutique.json").writeText(Json.encodeToString(Contract.serializer(), contract()))
        val vms = directory.resolve("vms.json")
        vms.writeText(Json.encodeToString(VmList.serializer(), VmList(1, vmEntries())))
        return launch(
            *arrayOf("stand-in", "platform", "--address", "127.0.0.1:$platformPort", "--vm-lag", "0"),
            *arrayOf("--documents", "$documents", "--vms", "$vms"),
            name = "platform",
        )
    }

    private fun vmEntries() =
        engines.map { entry(it.id, it.zone, VmKind.ENGINE, it.port, "advisor") } +
            entry(service.id, service.zone, VmKind.SERVICE, service.port, "booking") +
            routers.map { entry("router-${it.caller}", it.zone, VmKind.ROUTER, it.peer) }

    private fun entry(id: String, zone: String, kind: VmKind, port: Int, vararg pools: String) =
        VmEntry(VmId(id), AvailabilityZoneId(zone), kind, "127.0.0.1:$port", VmState.LIVE, pools.map(::PoolId))

    fun fleet(vararg out: String) =
        FleetDocument(
            availabilityZones =
                zones.map {
                    AvailabilityZoneSettings(
                        AvailabilityZoneId(it),
                        outOfService = it in out,
                    )
                },
            pools =
                listOf(
                    PoolSettings(PoolId("advisor"), PoolKind.CHAT),
                    PoolSettings(PoolId("booking"), PoolKind.SERVICE),
                ),
        )

    fun contract(priority: Int = 5) =
        Contract(
            customer = CustomerId("boutique"),
            credentialHashes = listOf(sha256(credential)),
            requestsPerSecond = 500.0,
            burst = 200,
            concurrentRequests = 200,
            priority = priority,
            models = listOf(PoolId("advisor")),
            services = listOf(ServicePermission(PoolId("booking"))),
        )

    fun publishFleet(document: FleetDocument) =
        put(platformPort, "/stand-in/documents/fleet", Json.encodeToString(FleetDocument.serializer(), document))

    fun publishContract(contract: Contract) =
        put(platformPort, "/stand-in/documents/contract/boutique", Json.encodeToString(Contract.serializer(), contract))

    fun platformMode(mode: String) = put(platformPort, "/stand-in/mode", """{"mode":"$mode"}""")

    /** Waits until every router of [waitFor] is ready and hears [members] routers. */
    fun awaitReady(waitFor: List<SiteRouter> = routers, members: Int = routers.size) =
        eventually("routers ready") {
            val ended = waitFor.filterNot { it.process.isAlive }
            check(ended.isEmpty()) { "ended before they were ready: ${ended.map { it.process.text }}" }
            waitFor.all { router -> status(router)?.let { it.ready && it.members.size >= members } == true }
        }

    fun status(router: SiteRouter): RouterStatus? =
        runCatching { send(HttpRequest.newBuilder(uri(router.operator, "/status")).GET()) }
            .getOrNull()
            ?.takeIf { it.statusCode() == 200 }
            ?.let { Json.decodeFromString(RouterStatus.serializer(), it.body()) }

    /** Sends a booking; status 0 stands for a connection that failed. */
    fun book(router: SiteRouter, key: String): SiteAnswer =
        call(router, "/v1/services/booking/bookings", """{"item":"torso","quantity":1}""", key)

    /** Sends a streamed chat and returns the whole answer; status 0 stands for a connection that failed or was cut. */
    fun chat(router: SiteRouter, text: String, tokens: Int = 5): SiteAnswer =
        call(
            router,
            "/v1/chat/completions",
            """{"model":"advisor","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"$text"}]}""",
        )

    private fun call(router: SiteRouter, path: String, body: String, key: String? = null): SiteAnswer =
        try {
            val request =
                HttpRequest
                    .newBuilder(
                        uri(router.caller, path),
                    ).POST(HttpRequest.BodyPublishers.ofString(body))
            request.header("Authorization", "Bearer $credential").header("Content-Type", "application/json")
            key?.let { request.header("Idempotency-Key", it) }
            val response = send(request)
            SiteAnswer(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Idempotency-Replayed").isPresent,
            )
        } catch (failure: java.io.IOException) {
            SiteAnswer(0, failure.toString(), false)
        }

    /** Requests that an engine ran, or the idempotency keys that the service ran. */
    fun executions(upstream: SiteUpstream, field: String): List<String> {
        val page =
            Json.parseToJsonElement(
                send(HttpRequest.newBuilder(uri(upstream.port, "/stand-in/executions")).GET()).body(),
            )
        return page.jsonObject
            .getValue(
                "executions",
            ).jsonArray
            .map { (it as JsonObject).getValue(field).jsonPrimitive.content }
    }

    private fun put(port: Int, path: String, body: String) {
        val response = send(HttpRequest.newBuilder(uri(port, path)).PUT(HttpRequest.BodyPublishers.ofString(body)))
        check(response.statusCode() == 200) { "PUT $path: ${response.statusCode()} ${response.body()}" }
    }

    private fun send(request: HttpRequest.Builder): HttpResponse<String> =
        client.send(request.timeout(Duration.ofSeconds(20)).build(), HttpResponse.BodyHandlers.ofString())

    private fun launch(vararg arguments: String, name: String): SiteProcess =
        SiteProcess(arguments.toList(), directory.resolve("$name.log").toFile()).also { processes += it }

    override fun close() {
        processes.forEach { it.kill() }
        directory.toFile().deleteRecursively()
    }

    private companion object {
        fun uri(port: Int, path: String) = URI("http://127.0.0.1:$port$path")

        fun sha256(text: String) =
            MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
    }
}

/** A UUID version 7 that is created now. */
internal fun newKey(): String {
    val random = UUID.randomUUID()
    val bytes = ByteBuffer.allocate(16).putLong(System.currentTimeMillis() shl 16).putLong(random.leastSignificantBits)
    val high = bytes.getLong(0) or 0x7000L or (random.mostSignificantBits and 0xFFF)
    return UUID(high, random.leastSignificantBits).toString()
}

/** Waits until [condition] holds. The limit only ends a hanging test; no figure is derived from it. */
internal fun eventually(what: String, seconds: Long = 60, condition: () -> Boolean) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $seconds s: $what" }
        Thread.sleep(50)
    }
}
