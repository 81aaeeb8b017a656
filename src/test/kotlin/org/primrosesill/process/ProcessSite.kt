/*
 * Test fixture: a site of separate processes on loopback, with a platform, three engines, a booking service and routers
 * in three zones. Processes can be killed, paused and resumed.
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

internal val siteZones = listOf("a", "b", "c")
internal const val SUSPICION_TIMEOUT_MILLIS = 2_000L

/** One process of the site. */
internal class SiteProcess(private val arguments: List<String>, private val output: File) {
    private var process: Process = start()

    /** The combined standard output and standard error so far. */
    val outputText: String get() = output.readText()

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

    /** Sends SIGTERM and returns whether the process exited within [timeoutSeconds]. */
    fun terminate(timeoutSeconds: Long = 30): Boolean {
        process.destroy()
        return process.waitFor(timeoutSeconds, TimeUnit.SECONDS)
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

internal class SiteRouter(
    val process: SiteProcess,
    val zone: String,
    val callerPort: Int,
    val peerPort: Int,
    val operatorPort: Int,
)

internal class SiteUpstream(val process: SiteProcess, val id: String, val zone: String, val port: Int)

/** A response; [replayed] is whether it is the stored response of an earlier request with the same key. */
internal data class SiteResponse(val status: Int, val body: String, val replayed: Boolean)

internal class ProcessSite(routersPerZone: Int = 2) : AutoCloseable {
    private val processes = mutableListOf<SiteProcess>()
    private val directory: Path = Files.createTempDirectory("primrosesill-site")
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()
    private val platformPort = freePort()
    private val credential = "site-credential"
    val engines = siteZones.map { zone -> startUpstream("engine", zone) }
    val service = startUpstream("service", "a")
    val routers = siteZones.flatMap { zone -> List(routersPerZone) { startRouter(zone) } }
    private val platform = startPlatform()

    private fun startUpstream(kind: String, zone: String): SiteUpstream {
        val id = "$kind-$zone"
        val port = freePort()
        // Bookings take 100 ms, so that faults are injected while requests are in flight.
        val options = if (kind == "service") listOf("--answer", "100") else emptyList()
        val arguments = listOf("stand-in", kind, "--address", "127.0.0.1:$port", "--id", id) + options
        val process = launch(*arguments.toTypedArray(), name = id)
        return SiteUpstream(process, id, zone, port)
    }

    fun startRouter(zone: String): SiteRouter {
        val (callerPort, peerPort, operatorPort) = List(3) { freePort() }
        val process =
            launch(
                "router",
                *arrayOf("--availability-zone", zone),
                *arrayOf("--caller-address", "127.0.0.1:$callerPort"),
                *arrayOf("--peer-address", "127.0.0.1:$peerPort"),
                *arrayOf("--operator-address", "127.0.0.1:$operatorPort"),
                *arrayOf("--platform-address", "127.0.0.1:$platformPort"),
                *arrayOf("--suspicion-timeout", "$SUSPICION_TIMEOUT_MILLIS", "--stop-notice", "500"),
                *arrayOf("--events", "$directory/router-$callerPort.jsonl"),
                name = "router-$callerPort",
            )
        return SiteRouter(process, zone, callerPort, peerPort, operatorPort)
    }

    private fun startPlatform(): SiteProcess {
        val documents = directory.resolve("documents")
        documents.resolve("contract").createDirectories()
        documents.resolve("fleet.json").writeText(Json.encodeToString(FleetDocument.serializer(), fleetDocument()))
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
        engines.map { vmEntry(it.id, it.zone, VmKind.ENGINE, it.port, "advisor") } +
            vmEntry(service.id, service.zone, VmKind.SERVICE, service.port, "booking") +
            routers.map { vmEntry("router-${it.callerPort}", it.zone, VmKind.ROUTER, it.peerPort) }

    private fun vmEntry(id: String, zone: String, kind: VmKind, port: Int, vararg pools: String) =
        VmEntry(VmId(id), AvailabilityZoneId(zone), kind, "127.0.0.1:$port", VmState.LIVE, pools.map(::PoolId))

    fun fleetDocument(vararg zonesOut: String) =
        FleetDocument(
            availabilityZones =
                siteZones.map {
                    AvailabilityZoneSettings(
                        AvailabilityZoneId(it),
                        outOfService = it in zonesOut,
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

    fun setPlatformMode(mode: String) = put(platformPort, "/stand-in/mode", """{"mode":"$mode"}""")

    /** Waits until each of [expected] is ready and lists at least [members] routers. */
    fun awaitReady(expected: List<SiteRouter> = routers, members: Int = routers.size) =
        eventually("routers ready") {
            val exited = expected.filterNot { it.process.isAlive }
            check(exited.isEmpty()) { "routers exited before they were ready: ${exited.map { it.process.outputText }}" }
            expected.all { router -> status(router)?.let { it.ready && it.members.size >= members } == true }
        }

    fun status(router: SiteRouter): RouterStatus? =
        runCatching { send(HttpRequest.newBuilder(uri(router.operatorPort, "/status")).GET()) }
            .getOrNull()
            ?.takeIf { it.statusCode() == 200 }
            ?.let { Json.decodeFromString(RouterStatus.serializer(), it.body()) }

    /** Sends a booking and returns the response, with status 0 if the connection failed. */
    fun sendBooking(router: SiteRouter, key: String): SiteResponse =
        call(router, "/v1/services/booking/bookings", """{"item":"torso","quantity":1}""", key)

    /** Sends a streamed chat and returns the response, with status 0 if the connection failed or was closed early. */
    fun sendChat(router: SiteRouter, text: String, tokens: Int = 5): SiteResponse =
        call(
            router,
            "/v1/chat/completions",
            """{"model":"advisor","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"$text"}]}""",
        )

    private fun call(router: SiteRouter, path: String, body: String, key: String? = null): SiteResponse =
        try {
            val request =
                HttpRequest
                    .newBuilder(
                        uri(router.callerPort, path),
                    ).POST(HttpRequest.BodyPublishers.ofString(body))
            request.header("Authorization", "Bearer $credential").header("Content-Type", "application/json")
            key?.let { request.header("Idempotency-Key", it) }
            val response = send(request)
            SiteResponse(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Idempotency-Replayed").isPresent,
            )
        } catch (failure: java.io.IOException) {
            SiteResponse(0, failure.toString(), false)
        }

    /** Returns [field] of each execution: `request` at an engine, or `key` (the idempotency key) at the service. */
    fun executions(upstream: SiteUpstream, field: String): List<String> {
        val document =
            Json.parseToJsonElement(
                send(HttpRequest.newBuilder(uri(upstream.port, "/stand-in/executions")).GET()).body(),
            )
        return document.jsonObject
            .getValue(
                "executions",
            ).jsonArray
            .map { (it as JsonObject).getValue(field).jsonPrimitive.content }
    }

    private fun put(port: Int, path: String, body: String) {
        val response = send(HttpRequest.newBuilder(uri(port, path)).PUT(HttpRequest.BodyPublishers.ofString(body)))
        check(response.statusCode() == 200) { "PUT $path failed: ${response.statusCode()} ${response.body()}" }
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

/** Returns a UUID of version 7 with the current time. */
internal fun newIdempotencyKey(): String {
    val random = UUID.randomUUID()
    val bytes = ByteBuffer.allocate(16).putLong(System.currentTimeMillis() shl 16).putLong(random.leastSignificantBits)
    val highBits = bytes.getLong(0) or 0x7000L or (random.mostSignificantBits and 0xFFF)
    return UUID(highBits, random.leastSignificantBits).toString()
}

/** Waits until [condition] holds. The timeout only ends a test that hangs; no measurement depends on it. */
internal fun eventually(expectation: String, timeoutSeconds: Long = 60, condition: () -> Boolean) {
    val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds)
    while (!condition()) {
        check(System.nanoTime() < deadline) { "timed out after $timeoutSeconds s: $expectation" }
        Thread.sleep(50)
    }
}
