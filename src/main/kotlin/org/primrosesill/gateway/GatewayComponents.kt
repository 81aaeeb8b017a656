/*
 * Creates and wires the components of one gateway.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.concurrent.exceptionHandler
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.UpdateSource
import org.primrosesill.exchange.shortCode
import org.primrosesill.forwarding.ForwarderDependencies
import org.primrosesill.forwarding.PlannedStop
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.forwarding.PoolRetryBudget
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.forwarding.RetryLimit
import org.primrosesill.forwarding.forwarder
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.load.DispatchCorrection
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.load.upstreamSpeeds
import org.primrosesill.placement.ColdStartBound
import org.primrosesill.placement.ColdStartBudget
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.FleetReachability
import org.primrosesill.placement.PlacementDependencies
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.placement.fleetPlacement
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Returns the time of a monotonic clock in milliseconds. */
internal fun monotonicMillis(): Long = System.nanoTime() / 1_000_000

internal class GatewayComponents(
    initialSettings: GatewaySettings,
    private val adapter: PlatformAdapter,
    val events: EventLog,
) {
    val reloadableSettings = ReloadableSettings(initialSettings, events)
    val settings: GatewaySettings get() = reloadableSettings.value
    private val faults = ProcessFaults(events)
    val exceptionReporter: ExceptionReporter = faults
    val trafficLoop = TrafficLoop(exceptionReporter, faults::exitWithoutTraffic)
    val controlThread = ControlThread()
    val controlScope = CoroutineScope(SupervisorJob() + controlThread.dispatcher + exceptionHandler(exceptionReporter))

    /** The stop of this gateway that has begun, or null. */
    @Volatile
    var plannedStop: PlannedStop? = null

    @Volatile
    private var viewAgeMillis = -1L

    @Volatile
    private var viewBehindMillis = 0L

    val metrics = GatewayMetrics()
    private val activity = UpstreamActivity(::monotonicMillis)
    private val index = PromptCacheIndex(::monotonicMillis)
    private val loads = UpstreamLoads(activity, DispatchCorrection(::isLoadAware, ::monotonicMillis), ::monotonicMillis)
    private val speeds = upstreamSpeeds(::isLoadAware, ::monotonicMillis)
    private val self = newMember(settings)
    private val silentUpstreams = SilentUpstreams(shortCode(self.router.value), activity, ::monotonicMillis)
    private val crashingParts = CrashingParts(::monotonicMillis)
    private val services = ServiceConcurrency(shortCode(self.router.value), ::monotonicMillis)
    private val trafficGossip =
        TrafficGossip(loads, index, silentUpstreams, crashingParts, services, speeds, ::isLoadAware)
    private val notices = UpstreamNotices({ settings.drainMillis.toLong() }, ::monotonicMillis)
    private val fleetView =
        AtomicReference(FleetView(FleetMembers(self.router, emptySet(), isComplete = false), FleetReachability()))
    private val coldStartBudget =
        ColdStartBudget(
            { ColdStartBound(settings.coldStartOverage, settings.coldStartTolerance.toInt()) },
            { fleetView.get().members },
            ::monotonicMillis,
        )
    private val client =
        nettyUpstreamClient(trafficLoop, UpstreamClientSettings(CONNECT_TIMEOUT, acceptsCloseDelimited = true), metrics)
    private val directory: DirectoryManager =
        DirectoryManager(
            UpstreamDirectory(adapter.itemDecoder),
            events,
            ::monotonicMillis,
            ::reconcileUpstreamState,
        ) { exchangeLoop.announce(UpdateSource.PLATFORM) }
    private val upstreamStateReconciler = UpstreamStateReconciler(activity, loads, index, coldStartBudget, speeds)
    private val peerClient = PeerClient(client)
    val gossipSocket: GossipSocket =
        GossipSocket(peerSocketAddress(settings), settings.gossipPort, events, controlScope, exceptionReporter) {
            exchangeLoop.receive(it)
        }
    private val seeds = settings.peers.toSet() - settings.peerAddress
    private val startupReadPolicy =
        StartupReadPolicy(
            self.router,
            isSeed = settings.peerAddress in settings.peers,
            hasSeeds = seeds.isNotEmpty(),
            settings.firstStart,
            monotonicMillis(),
        )
    val fleet = Fleet(self, seeds, trafficGossip, events, monotonicMillis(), startupReadPolicy, Random.Default)
    val exchangeLoop: ExchangeLoop =
        ExchangeLoop(
            controlScope,
            fleet,
            trafficGossip,
            directory,
            peerClient,
            events,
            ::monotonicMillis,
            gossipSocket::send,
        )
    val platformLoop =
        PlatformLoop(adapter.feed(settings.platformAddress, client), directory, exchangeLoop::readsPlatform)
    val peerHandler = PeerHandler(exchangeLoop, trafficGossip, controlThread.dispatcher)
    val heldPartsRecovery =
        HeldPartsRecovery(
            settings.firstStart,
            directory,
            fleet,
            peerClient,
            trafficGossip,
            events,
            exchangeLoop::startRound,
        ) {
            adapter.heldParts(it, client)
        }

    val forwarder =
        forwarder(
            ForwarderDependencies(
                view = directory::view,
                awaitConfiguration = directory::awaitConfiguration,
                protocol = adapter.protocol,
                placement = fleetPlacement(placementDependencies()),
                activity = activity,
                index = index,
                loads = loads,
                notices = notices,
                crashingParts = crashingParts,
                onCrashEvidence = { controlScope.launch { exchangeLoop.broadcastCrashEvidence() } },
                retryBudget = PoolRetryBudget({ retryLimit(settings) }, { fleetView.get().members }, ::monotonicMillis),
                client = client,
                metrics = metrics,
                events = { type, request, upstream, cause ->
                    events.record(type, cause, EventSubject(request = request, upstream = upstream))
                },
                buffers = trafficLoop.buffers,
                plannedStop = { plannedStop },
                services = services,
                isLoadAware = ::isLoadAware,
                nowMillis = ::monotonicMillis,
                speeds = speeds,
            ),
        )

    val readinessHandler =
        RequestHandler { request, response ->
            val ready = request.path == adapter.readinessPath && isReady()
            response.respond(ResponseHead(if (ready) 200 else 503))
        }

    val operatorHandler =
        OperatorHandler(metrics, controlThread.dispatcher) { gatewayStatus(isReady(), fleet, directory, loads) }

    init {
        metrics.gauge("members") {
            fleetView
                .get()
                .members.others.size + 1
        }
        metrics.gauge("fleet.settled") { if (fleetView.get().members.isComplete) 1 else 0 }
        metrics.gauge("upstreams.listed") { directory.view.upstreamIds.size }
        metrics.gauge("view.age.millis") { viewAgeMillis }
        metrics.gauge("view.behind.millis") { viewBehindMillis }
        metrics.gauge("engine.load.imbalance") { loads.imbalance }
        metrics.gauge("buffered.bytes") { trafficLoop.buffers.usedBytes }
        metrics.gauge("prompt.parts.blocked") { crashingParts.blockedCount }
        metrics.gauge("prompt.parts.suspect") { crashingParts.suspectCount }
        metrics.gauge("service.requests.in.progress") { services.requestsInProgress }
        metrics.gauge("upstreams.slow") { speeds.countSlow(SLOW) }
        metrics.gauge("process.faults") { faults.count }
        metrics.gauge("configuration.version") { directory.view.configuration?.version ?: 0 }
    }

    fun isReady(): Boolean =
        plannedStop == null && directory.view.configuration != null && directory.view.upstreams.isNotEmpty()

    fun callerLimits(): ListenerLimits {
        val limits = directory.view.configuration?.limits ?: return ListenerLimits()
        return ListenerLimits(
            limits.maximumHeaderBytes,
            limits.maximumBodyBytes,
            limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }

    private fun reconcileUpstreamState(view: DirectoryView) {
        trafficLoop.scope.launch { upstreamStateReconciler.reconcile(view) }
    }

    fun tick() {
        val now = monotonicMillis()
        directory.tick()
        fleet.tick(now)
        exchangeLoop.broadcastSilentUpstreams()
        exchangeLoop.recordPartBlockChanges()
        exchangeLoop.tick()
        viewAgeMillis = directory.ageMillis ?: -1
        viewBehindMillis = exchangeLoop.behindMillis
        fleetView.set(fleet.view(now))
    }

    fun close() {
        controlScope.cancel()
        gossipSocket.close()
        trafficLoop.close()
        controlThread.close()
    }

    private fun placementDependencies() =
        PlacementDependencies(
            zone = settings.availabilityZone,
            activity = activity,
            loads = loads,
            index = index,
            coldStart = coldStartBudget,
            silent = silentUpstreams,
            notices = notices,
            fleet = { fleetView.get().reachability },
            onHighLoad = { controlScope.launch { exchangeLoop.broadcastRequestCounts() } },
            nowMillis = ::monotonicMillis,
            speeds = speeds,
            isLoadAware = ::isLoadAware,
            services = services,
        )

    private fun isLoadAware(): Boolean =
        settings.loadAwareScheduling || adapter.requiresLoadAwareScheduling(settings.platformFeatures)

    private companion object {
        val CONNECT_TIMEOUT = 200.milliseconds

        /** Slowness from which the metric counts an upstream as slow: half of the usual speed. */
        const val SLOW = 2.0
    }
}

private fun retryLimit(settings: GatewaySettings) =
    RetryLimit(settings.retryRatio, settings.retryWindowMillis, settings.retryFixed.toInt())
