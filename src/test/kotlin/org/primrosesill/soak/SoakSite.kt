/*
 * Gateways as processes of their own before the stand-in of the users' site, and the faults of a soak.
 */
package org.primrosesill.soak

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
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
import kotlin.time.Duration.Companion.seconds

internal class SoakGateway(val callers: String, val readiness: String, val settings: Path, val process: SiteProcess) {
    /** Whether it was killed or paused, so that its requests may be lost. */
    @Volatile
    var cutOff = false

    /** Whether the platform would send callers here. */
    @Volatile
    var inRotation = false
}

internal class SoakSite(private val gatewayCount: Int) : AutoCloseable {
    val directory: Path = Files.createTempDirectory("primrosesill-soak")
    private val loop = TrafficLoop(throwingReporter)
    private val links = mutableListOf<FaultyProxy>()
    private val site =
        SiteStandIn(loop, engines = 3, desks = 3, zones = listOf("a", "b")) { port ->
            FaultyProxy(port).also(links::add).address
        }
    val caller = TestCaller(loop)
    val gateways = mutableListOf<SoakGateway>()
    private var configurationVersion = 1

    val upstreams get() = site.upstreams

    /** Ways to the store and to each upstream. */
    val linkCount get() = links.size

    suspend fun start() {
        site.start()
        val peers = mutableListOf<String>()
        repeat(gatewayCount) { gateways += launchGateway(it, peers) }
        gateways.forEach { awaitReady(it) }
    }

    private fun launchGateway(number: Int, peers: MutableList<String>): SoakGateway {
        val callers = freeAddress()
        val readiness = freeAddress()
        val settings = directory.resolve("gateway-$number.json")
        peers += "127.0.0.${number + 2}:${freeAddress().substringAfter(':')}"
        settings.writeText(
            """{"name":"gateway-$number","availabilityZone":"${"ab"[number % 2]}","callerAddress":"$callers",
            "readinessAddress":"$readiness","peerAddress":"${peers.last()}","metricsAddress":"${freeAddress()}",
            "gossipPort":$gossipPort,"platformAddress":"${site.storeAddress}","retryFixed":50,
            "peers":[${peers.joinToString(",") { "\"$it\"" }}],"stopGraceMillis":8000}""",
        )
        val log = directory.resolve("gateway-$number.log").toFile()
        return SoakGateway(callers, readiness, settings, SiteProcess(listOf("gateway", "--settings=$settings"), log))
    }

    private val gossipPort by lazy { freeAddress().substringAfter(':') }

    suspend fun awaitReady(gateway: SoakGateway) {
        awaitCondition("the gateway at ${gateway.callers} is ready", START_LIMIT) { isReady(gateway) }
        gateway.cutOff = false
        gateway.inRotation = true
    }

    suspend fun isReady(gateway: SoakGateway): Boolean = caller.get(gateway.readiness, "/api/readyz").status == 200

    /** Runs [planned] to its end. */
    suspend fun strike(planned: PlannedFault) {
        when (val fault = planned.fault) {
            is Fault.PlannedStop -> plannedStop(gateways[fault.gateway])
            is Fault.Kill -> kill(gateways[fault.gateway], planned.forMillis)
            is Fault.Pause -> pause(gateways[fault.gateway], planned.forMillis)
            is Fault.Reload -> reload(gateways[fault.gateway], fault.sound)
            is Fault.Store -> {
                site.store.mode = fault.mode
                delay(planned.forMillis)
                site.store.mode = StoreMode.NORMAL
            }
            is Fault.Upstream -> {
                upstreams[fault.upstream].mode = fault.mode
                delay(planned.forMillis)
                upstreams[fault.upstream].mode = UpstreamMode.NORMAL
            }
            is Fault.Link -> {
                links[fault.number].mode = fault.mode
                delay(planned.forMillis)
                links[fault.number].mode = LinkMode.GOOD
            }
            is Fault.Leaving -> {
                site.register(upstreams[fault.upstream].id, state = "draining")
                delay(planned.forMillis)
                site.register(upstreams[fault.upstream].id)
            }
            Fault.NewConfiguration -> site.configure(++configurationVersion)
        }
    }

    private suspend fun plannedStop(gateway: SoakGateway) {
        if (!gateway.inRotation) return
        gateway.inRotation = false
        withContext(Dispatchers.IO) {
            check(gateway.process.terminate(STOP_SECONDS)) { "${gateway.callers} did not end within $STOP_SECONDS s" }
        }
        gateway.process.restart()
        awaitReady(gateway)
    }

    private suspend fun kill(gateway: SoakGateway, forMillis: Long) {
        if (!gateway.inRotation) return
        cutOff(gateway)
        gateway.process.kill()
        delay(forMillis)
        gateway.process.restart()
        awaitReady(gateway)
    }

    private suspend fun pause(gateway: SoakGateway, forMillis: Long) {
        if (!gateway.inRotation) return
        cutOff(gateway)
        gateway.process.pause()
        delay(forMillis)
        gateway.process.resume()
        awaitReady(gateway)
    }

    private fun cutOff(gateway: SoakGateway) {
        gateway.inRotation = false
        gateway.cutOff = true
    }

    private fun reload(gateway: SoakGateway, sound: Boolean) {
        if (!gateway.inRotation) return
        val text = Files.readString(gateway.settings)
        if (!sound) gateway.settings.writeText(text.take(text.length / 2))
        gateway.process.reload()
        Thread.sleep(RELOAD_MILLIS)
        gateway.settings.writeText(text)
    }

    override fun close() {
        gateways.forEach { it.process.kill() }
        links.forEach { it.close() }
        loop.close()
    }

    private companion object {
        val START_LIMIT = 30.seconds
        const val STOP_SECONDS = 10L
        const val RELOAD_MILLIS = 200L
    }
}
