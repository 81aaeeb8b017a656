/*
 * Test fixture: gateways as separate processes with the heap and the stack of the deploy file, in front of a stand-in for
 * the users' site on loopback.
 */
package org.primrosesill.process

import kotlinx.coroutines.runBlocking
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.platform.CallerRequest
import org.primrosesill.platform.SiteStandIn
import org.primrosesill.platform.TestCaller
import org.primrosesill.platform.awaitCondition
import org.primrosesill.platform.freeAddress
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.freePort
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One gateway process. */
internal class GatewayProcess(
    name: String,
    zone: String,
    directory: Path,
    storeAddress: String,
    val peerAddress: String,
    seeds: List<String>,
    gossipPort: Int,
) {
    val callerAddress = freeAddress()
    val readinessAddress = freeAddress()
    val metricsAddress = freeAddress()
    private val settings = directory.resolve("$name.json")
    private val log = directory.resolve("$name.log")
    private var process: Process? = null

    init {
        settings.writeText(
            """{"name":"$name","availabilityZone":"$zone","callerAddress":"$callerAddress",
            "readinessAddress":"$readinessAddress","peerAddress":"$peerAddress","metricsAddress":"$metricsAddress",
            "gossipPort":$gossipPort,"platformAddress":"$storeAddress","firstStart":false,
            "peers":[${seeds.joinToString(",") { "\"$it\"" }}]}""",
        )
    }

    /** The lines that the process has written, of all its runs. */
    val logLines: List<String> get() = if (Files.exists(log)) log.readText().lines() else emptyList()

    fun start() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val command =
            listOf(java) + deployedLimits() +
                listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath) +
                listOf("org.primrosesill.MainKt", "gateway", "--settings=$settings")
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Returns the options of the heap and the stack in the deploy file. */
    private fun deployedLimits(): List<String> {
        val lines = Path.of("deploy/system.toml").readText().lines()
        val words = lines.single { it.startsWith("run = ") }.split(' ', '"')
        val limits = words.filter { it.startsWith("-Xmx") || it.startsWith("-Xss") }
        check(limits.size == 2) { "limits in the deploy file: $limits" }
        return limits
    }
}

/** A site with [count] gateways, none of which is started at first. */
internal class GatewayProcesses(count: Int) : AutoCloseable {
    private val loop = TrafficLoop(throwingReporter)
    private val caller = TestCaller(loop)
    private val directory = createTempDirectory("gateways")
    private val calls = AtomicInteger()
    val site = SiteStandIn(loop, engines = 0, desks = 3, zones = listOf("a", "b", "c"))
    val gateways: List<GatewayProcess>

    init {
        runBlocking { site.start() }
        val peerAddresses = List(count) { "127.0.0.${it + 10}:${freePort()}" }
        val gossipPort = freePort()
        gateways =
            peerAddresses.mapIndexed { index, address ->
                val zone = listOf("a", "b", "c")[index % 3]
                GatewayProcess(
                    "gateway-$index",
                    zone,
                    directory,
                    site.storeAddress,
                    address,
                    peerAddresses.take(MAXIMUM_SEEDS),
                    gossipPort,
                )
            }
    }

    suspend fun awaitReady(gateway: GatewayProcess, limit: Duration = 20.seconds) =
        awaitCondition("${gateway.peerAddress} is ready", limit) { isReady(gateway) }

    suspend fun isReady(gateway: GatewayProcess): Boolean =
        caller.get(gateway.readinessAddress, "/api/readyz").status == 200

    /** Returns the value of the metric [name], or null if the gateway reports none. */
    suspend fun metric(gateway: GatewayProcess, name: String): Double? =
        caller
            .get(gateway.metricsAddress, "/metrics")
            .body
            .lines()
            .firstOrNull { it.startsWith("$name ") }
            ?.substringAfter(' ')
            ?.toDouble()

    /** Sends a read of [target], and returns the status of the response. */
    suspend fun statusOf(gateway: GatewayProcess, target: String): Int =
        caller.call(gateway.callerAddress, CallerRequest(target, "read-${calls.incrementAndGet()}")).status

    override fun close() {
        gateways.forEach { it.kill() }
        loop.close()
        directory.toFile().deleteRecursively()
    }

    private companion object {
        const val MAXIMUM_SEEDS = 3
    }
}
