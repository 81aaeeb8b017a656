/*
 * One gateway process: passes requests of callers on to upstreams by the routes that the platform publishes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.primrosesill.discovery.DirectoryChange
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.forwarding.ForwarderDependencies
import org.primrosesill.forwarding.OutboundHead
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.RetryAllowance
import org.primrosesill.forwarding.RetryBound
import org.primrosesill.forwarding.forwarder
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.affinityPlacement
import org.primrosesill.transport.HttpListener
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import org.primrosesill.transport.startHttpListener
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of a gateway. Addresses are IP number and port. */
public data class GatewaySettings(
    val availabilityZone: AvailabilityZoneId,
    val callerAddress: String,
    val readinessAddress: String,
    val peerAddress: String,
    val platformAddress: String,
    val peers: List<String>,
    val retryBound: RetryBound,
    val stopGraceMillis: Long,
)

/** A started gateway. */
public class Gateway internal constructor(
    private val settings: GatewaySettings,
    private val adapter: PlatformAdapter,
    private val events: EventLog,
) {
    private val loop = TrafficLoop()
    private val control =
        Executors
            .newSingleThreadExecutor { Thread(it, "control").apply { isDaemon = true } }
            .asCoroutineDispatcher()
    private val view = AtomicReference(DirectoryView())
    private val directory = UpstreamDirectory(adapter.itemDecoder)
    private val activity = UpstreamActivity(::steadyMillis)

    @Volatile
    private var stopping = false
    private lateinit var callers: HttpListener

    internal suspend fun start() {
        val client =
            nettyUpstreamClient(loop, UpstreamClientSettings(connectTimeout = 300.milliseconds, acceptsUnframed = true))
        val forwarding =
            forwarder(
                ForwarderDependencies(
                    view = view::get,
                    protocol = adapter.protocol,
                    placement = affinityPlacement(settings.availabilityZone, activity),
                    activity = activity,
                    retries = RetryAllowance(settings.retryBound, { 6 }, ::steadyMillis),
                    client = client,
                    events = { type, request, upstream, cause ->
                        events.record(type, cause, EventSubject(request = request, upstream = upstream))
                    },
                ),
            )
        callers = startHttpListener(loop, settings.callerAddress, ::callerLimits, forwarding)
        startHttpListener(loop, settings.readinessAddress, ::ListenerLimits, readiness())
        startHttpListener(
            loop,
            settings.peerAddress,
            ::ListenerLimits,
        ) { _, answer -> answer.respond(OutboundHead(404)) }
        val feed = adapter.feed(settings.platformAddress, client)
        loop.scope.launch(control) {
            DirectoryFeedLoop(
                feed,
                directory,
                { 4.seconds },
                ::steadyMillis,
                ::publish,
            ) { events.record(EventType.PLATFORM_LOST, it.toString()) }.run()
        }
        loop.scope.launch(control) {
            while (true) {
                kotlinx.coroutines.delay(200)
                publish(directory.tick(steadyMillis()))
            }
        }
        events.record(EventType.PROCESS_STARTED, "callers at ${settings.callerAddress}")
    }

    private fun publish(changes: List<DirectoryChange>) {
        if (changes.isEmpty()) return
        view.set(directory.view())
        for (change in changes) events.record(EventType.UPSTREAM_JOINED, describe(change))
    }

    private fun describe(change: DirectoryChange): String =
        when (change) {
            is DirectoryChange.ConfigurationTaken -> "configuration ${change.version}"
            is DirectoryChange.ConfigurationOutdated -> "old configuration ${change.version}"
            is DirectoryChange.ItemRefused -> "item ${change.key}: ${change.reason}"
            is DirectoryChange.UpstreamGone -> "${change.upstream} gone: ${change.reason}"
            is DirectoryChange.UpstreamListed -> "${change.upstream}: ${change.state}"
            is DirectoryChange.ZoneEvacuated -> "${change.zone} evacuated"
            is DirectoryChange.ZoneReturned -> "${change.zone} returned"
        }

    private fun callerLimits(): ListenerLimits {
        val limits = view.get().configuration?.limits ?: return ListenerLimits()
        return ListenerLimits(
            limits.maximumHeaderBytes,
            limits.maximumBodyBytes,
            limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }

    private fun readiness() =
        RequestHandler { request, answer ->
            val ready = request.path == adapter.readinessPath && isReady()
            answer.respond(OutboundHead(if (ready) 200 else 503))
        }

    private fun isReady(): Boolean = !stopping && view.get().configuration != null && view.get().upstreams.isNotEmpty()

    /** Serves until the platform sends no more callers and all requests have ended, or the grace is over. */
    public fun stop() {
        stopping = true
        callers.closeConnectionsAfterNextAnswer()
        events.record(EventType.PROCESS_STOPPING, "${callers.inFlight} requests in flight")
        val started = steadyMillis()
        while (steadyMillis() - started < settings.stopGraceMillis) {
            Thread.sleep(50)
            if (steadyMillis() - started > 3_500 && callers.inFlight == 0) break
        }
        events.record(EventType.PROCESS_STOPPED, "${callers.inFlight} requests in flight")
        callers.close()
    }
}

private fun steadyMillis(): Long = System.nanoTime() / 1_000_000

/** Starts a gateway that speaks with the platform through [adapter]. */
public fun startGateway(settings: GatewaySettings, adapter: PlatformAdapter, events: EventLog): Gateway =
    Gateway(settings, adapter, events).also { runBlocking { it.start() } }
