/*
 * Test fixture: gateways in separate processes, in front of a stand-in of the users' site, and the injection of faults.
 */
package org.primrosesill.soak

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.platform.SiteStandIn
import org.primrosesill.platform.StoreMode
import org.primrosesill.platform.TestCaller
import org.primrosesill.platform.UpstreamMode
import org.primrosesill.platform.awaitCondition
import org.primrosesill.platform.freeAddress
import org.primrosesill.process.SiteProcess
import org.primrosesill.transport.TrafficLoop
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SoakGateway(
    val callerAddress: String,
    val readinessAddress: String,
    val metricsAddress: String,
    val settingsFile: Path,
    val process: SiteProcess,
) {
    /** Whether the gateway has been killed or paused, so that its requests may be lost. */
    @Volatile
    var interrupted = false

    /** Whether the platform would route callers to this gateway. */
    @Volatile
    var inRotation = false
}

internal class SoakSite(private val gatewayCount: Int) : AutoCloseable {
    val directory: Path = Files.createTempDirectory("primrosesill-soak")
    private val loop = TrafficLoop(throwingReporter)
    private val proxies = mutableListOf<FaultyProxy>()
    private val site =
        SiteStandIn(loop, engines = 3, desks = 3, zones = listOf("a", "b")) { port ->
            FaultyProxy(port).also(proxies::add).address
        }
    val caller = TestCaller(loop)
    val gateways = mutableListOf<SoakGateway>()
    private var configurationVersion = 1
    private val restoration = Mutex()

    val upstreams get() = site.upstreams

    /** Number of proxies: one in front of the store and of each upstream. */
    val proxyCount get() = proxies.size

    suspend fun start() {
        site.start()
        val peers = mutableListOf<String>()
        repeat(gatewayCount) { gateways += launchGateway(it, peers) }
        gateways.forEach { awaitReady(it) }
    }

    private fun launchGateway(number: Int, peers: MutableList<String>): SoakGateway {
        val callerAddress = freeAddress()
        val readinessAddress = freeAddress()
        val metricsAddress = freeAddress()
        val file = directory.resolve("gateway-$number.json")
        peers += "127.0.0.${number + 2}:${freeAddress().substringAfter(':')}"
        file.writeText(
            """{"name":"gateway-$number","availabilityZone":"${"ab"[number % 2]}","callerAddress":"$callerAddress",
            "readinessAddress":"$readinessAddress","peerAddress":"${peers.last()}","metricsAddress":"$metricsAddress",
            "gossipPort":$gossipPort,"platformAddress":"${site.storeAddress}","retryFixed":50,
            "peers":[${peers.joinToString(",") { "\"$it\"" }}],"stopGraceMillis":8000}""",
        )
        val log = directory.resolve("gateway-$number.log").toFile()
        return SoakGateway(
            callerAddress,
            readinessAddress,
            metricsAddress,
            file,
            SiteProcess(listOf("gateway", "--settings=$file"), log),
        )
    }

    private val gossipPort by lazy { freeAddress().substringAfter(':') }

    suspend fun awaitReady(gateway: SoakGateway) {
        awaitCondition("the gateway at ${gateway.callerAddress} is ready", START_TIMEOUT) { isReady(gateway) }
        gateway.interrupted = false
        gateway.inRotation = true
    }

    suspend fun isReady(gateway: SoakGateway) = caller.get(gateway.readinessAddress, "/api/readyz").status == 200

    /** Injects the fault of [scheduled], and returns when it has ended. */
    suspend fun inject(scheduled: ScheduledFault) {
        when (val fault = scheduled.fault) {
            is Fault.GracefulStop -> stopGracefully(gateways[fault.gateway])
            is Fault.Kill -> kill(gateways[fault.gateway], scheduled.durationMillis)
            is Fault.Pause -> pause(gateways[fault.gateway], scheduled.durationMillis)
            is Fault.Reload -> reload(gateways[fault.gateway], fault.valid)
            is Fault.Store -> {
                site.store.mode = fault.mode
                delay(scheduled.durationMillis)
                site.store.mode = StoreMode.NORMAL
            }
            Fault.Restoration -> restoreStore(scheduled.durationMillis)
            is Fault.Upstream -> {
                upstreams[fault.upstream].mode = fault.mode
                delay(scheduled.durationMillis)
                upstreams[fault.upstream].mode = UpstreamMode.NORMAL
            }
            is Fault.Network -> {
                proxies[fault.proxy].mode = fault.mode
                delay(scheduled.durationMillis)
                proxies[fault.proxy].mode = ProxyMode.NORMAL
            }
            is Fault.Leaving -> {
                site.register(upstreams[fault.upstream].id, state = "draining")
                delay(scheduled.durationMillis)
                site.register(upstreams[fault.upstream].id)
            }
            Fault.NewConfiguration -> site.configure(++configurationVersion)
        }
    }

    /** One restoration at a time: what one has lost is written again before the next copy is made. */
    private suspend fun restoreStore(durationMillis: Long) =
        restoration.withLock {
            val copy = site.store.copy()
            delay(durationMillis)
            val lost = site.store.restore(copy)
            delay(REWRITE_DELAY)
            site.store.writeAgain(lost)
        }

    /** Waits until all gateways have the newest version of the configuration. */
    suspend fun awaitConfiguration() =
        gateways.forEach { gateway ->
            awaitCondition("version $configurationVersion at the gateway at ${gateway.callerAddress}") {
                val metrics = caller.get(gateway.metricsAddress, "/metrics").body.lines()
                val version = metrics.firstOrNull { it.startsWith(VERSION_METRIC) }?.substringAfter(' ')
                version?.toDouble()?.toInt() == configurationVersion
            }
        }

    private suspend fun stopGracefully(gateway: SoakGateway) {
        if (!gateway.inRotation) return
        gateway.inRotation = false
        withContext(Dispatchers.IO) {
            check(gateway.process.terminate(STOP_TIMEOUT_SECONDS)) {
                "${gateway.callerAddress} did not exit within $STOP_TIMEOUT_SECONDS s"
            }
        }
        gateway.process.restart()
        awaitReady(gateway)
    }

    private suspend fun kill(gateway: SoakGateway, durationMillis: Long) {
        if (!gateway.inRotation) return
        markInterrupted(gateway)
        gateway.process.kill()
        delay(durationMillis)
        gateway.process.restart()
        awaitReady(gateway)
    }

    private suspend fun pause(gateway: SoakGateway, durationMillis: Long) {
        if (!gateway.inRotation) return
        markInterrupted(gateway)
        gateway.process.pause()
        delay(durationMillis)
        gateway.process.resume()
        awaitReady(gateway)
    }

    private fun markInterrupted(gateway: SoakGateway) {
        gateway.inRotation = false
        gateway.interrupted = true
    }

    private fun reload(gateway: SoakGateway, valid: Boolean) {
        if (!gateway.inRotation) return
        val validText = Files.readString(gateway.settingsFile)
        if (!valid) gateway.settingsFile.writeText(validText.take(validText.length / 2))
        gateway.process.reload()
        Thread.sleep(RELOAD_PAUSE_MILLIS)
        gateway.settingsFile.writeText(validText)
    }

    override fun close() {
        gateways.forEach { it.process.kill() }
        proxies.forEach { it.close() }
        loop.close()
    }

    private companion object {
        const val VERSION_METRIC = "primrosesill_configuration_version "

        /** Time in which the operator and the upstreams notice that the store has lost what they wrote. */
        val REWRITE_DELAY = 500.milliseconds
        val START_TIMEOUT = 30.seconds
        const val STOP_TIMEOUT_SECONDS = 10L
        const val RELOAD_PAUSE_MILLIS = 200L
    }
}
