/*
 * The parts of one gateway and how they are connected.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.concurrent.FaultReport
import org.primrosesill.concurrent.describeFault
import org.primrosesill.concurrent.faultHandler
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.NewsSource
import org.primrosesill.exchange.shortCode
import org.primrosesill.forwarding.ForwarderDependencies
import org.primrosesill.forwarding.OutboundHead
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.RetryAllowance
import org.primrosesill.forwarding.RetryBound
import org.primrosesill.forwarding.forwarder
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.parseSocketAddress
import org.primrosesill.placement.ColdStartBound
import org.primrosesill.placement.ColdStartBudget
import org.primrosesill.placement.FleetLoad
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.PlacementInputs
import org.primrosesill.placement.SilentUpstreams
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.UpstreamLoads
import org.primrosesill.placement.UpstreamNotices
import org.primrosesill.placement.fleetPlacement
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import java.util.UUID
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Milliseconds of a clock that never goes back. */
internal fun steadyMillis(): Long = System.nanoTime() / 1_000_000

internal class GatewayParts(atStart: GatewaySettings, private val adapter: PlatformAdapter, val events: EventLog) {
    val inForce = SettingsInForce(atStart, events)
    val settings: GatewaySettings get() = inForce.value
    val faults = FaultReport { events.record(EventType.PROCESS_FAULT, describeFault(it)) }
    val loop = TrafficLoop(faults)
    val control = ControlThread()
    val controlScope = CoroutineScope(SupervisorJob() + control.dispatcher + faultHandler(faults))

    @Volatile
    var stopping = false

    @Volatile
    private var viewAgeMillis = -1L

    @Volatile
    private var viewBehindMillis = 0L

    val metrics = GatewayMetrics()
    private val activity = UpstreamActivity(::steadyMillis)
    private val index = PartIndex(::steadyMillis)
    private val loads = UpstreamLoads(activity, ::steadyMillis)
    private val self = newMember(settings)
    private val silent = SilentUpstreams(shortCode(self.router.value), activity, ::steadyMillis)
    private val news = TrafficNews(loads, index, silent)
    private val notices = UpstreamNotices({ settings.drainMillis.toLong() }, ::steadyMillis)
    private val fleetView =
        AtomicReference(FleetView(FleetMembers(self.router, emptySet(), settled = false), FleetLoad()))
    private val coldStart =
        ColdStartBudget(
            { ColdStartBound(settings.coldStartOverage, settings.coldStartTolerance.toInt()) },
            { fleetView.get().members },
            ::steadyMillis,
        )
    private val client =
        nettyUpstreamClient(loop, UpstreamClientSettings(CONNECT_TIMEOUT, acceptsUnframed = true), metrics)
    private val keeper: DirectoryKeeper =
        DirectoryKeeper(
            UpstreamDirectory(adapter.itemDecoder),
            events,
            ::steadyMillis,
            ::follow,
        ) { exchange.announce(NewsSource.PLATFORM) }
    private val follower = UpstreamFollower(activity, loads, index, coldStart)
    private val peers = PeerClient(client)
    val gossip: GossipSocket =
        GossipSocket(peerSocket(settings), settings.gossipPort, events) { message ->
            controlScope.launch { exchange.receive(message) }
        }
    private val seeds = settings.peers.toSet() - settings.peerAddress
    private val startDuty =
        StartDuty(
            self.router,
            isSeed = settings.peerAddress in settings.peers,
            hasSeeds = seeds.isNotEmpty(),
            settings.firstStart,
            steadyMillis(),
        )
    val fleet = Fleet(self, seeds, news, events, steadyMillis(), startDuty, Random.Default)
    val exchange: ExchangeLoop =
        ExchangeLoop(controlScope, fleet, news, keeper, peers, events, ::steadyMillis, gossip::send)
    val platformLoop =
        PlatformLoop(adapter.feed(settings.platformAddress, client), keeper, exchange::readsPlatform)
    val peerHandler = PeerHandler(exchange, news, control.dispatcher)
    val heldPartsLoop =
        HeldPartsLoop(settings.firstStart, keeper, fleet, peers, news, events, exchange::startRound) {
            adapter.heldParts(it, client)
        }

    val forwarder =
        forwarder(
            ForwarderDependencies(
                view = keeper::view,
                awaitConfiguration = keeper::awaitConfiguration,
                protocol = adapter.protocol,
                placement = fleetPlacement(placementInputs()),
                activity = activity,
                index = index,
                loads = loads,
                notices = notices,
                retries = RetryAllowance({ retryBound(settings) }, { fleetView.get().members }, ::steadyMillis),
                client = client,
                metrics = metrics,
                events = { type, request, upstream, cause ->
                    events.record(type, cause, EventSubject(request = request, upstream = upstream))
                },
            ),
        )

    val readiness =
        RequestHandler { request, answer ->
            val ready = request.path == adapter.readinessPath && isReady()
            answer.respond(OutboundHead(if (ready) 200 else 503))
        }

    val operatorHandler =
        OperatorHandler(metrics, control.dispatcher) { gatewayStatus(isReady(), fleet, keeper, loads) }

    init {
        metrics.gauge("members") {
            fleetView
                .get()
                .members.others.size + 1
        }
        metrics.gauge("fleet.settled") { if (fleetView.get().members.settled) 1 else 0 }
        metrics.gauge("upstreams.listed") { keeper.view.upstreamIds.size }
        metrics.gauge("view.age.millis") { viewAgeMillis }
        metrics.gauge("view.behind.millis") { viewBehindMillis }
        metrics.gauge("configuration.version") { keeper.view.configuration?.version ?: 0 }
    }

    fun isReady(): Boolean = !stopping && keeper.view.configuration != null && keeper.view.upstreams.isNotEmpty()

    fun callerLimits(): ListenerLimits {
        val limits = keeper.view.configuration?.limits ?: return ListenerLimits()
        return ListenerLimits(
            limits.maximumHeaderBytes,
            limits.maximumBodyBytes,
            limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }

    private fun follow(view: DirectoryView) {
        loop.scope.launch { follower.follow(view) }
    }

    fun tick() {
        val now = steadyMillis()
        keeper.tick()
        fleet.tick(now)
        exchange.tellSilence()
        exchange.tick()
        viewAgeMillis = keeper.ageMillis ?: -1
        viewBehindMillis = exchange.behindMillis
        fleetView.set(fleet.view(now))
    }

    fun close() {
        controlScope.cancel()
        gossip.close()
        loop.close()
        control.close()
    }

    private fun placementInputs() =
        PlacementInputs(
            zone = settings.availabilityZone,
            activity = activity,
            loads = loads,
            index = index,
            coldStart = coldStart,
            silent = silent,
            notices = notices,
            fleet = { fleetView.get().load },
            crowded = { controlScope.launch { exchange.tellCounts() } },
            nowMillis = ::steadyMillis,
        )

    private companion object {
        val CONNECT_TIMEOUT = 200.milliseconds
    }
}

private fun peerSocket(settings: GatewaySettings): SocketAddress =
    parseSocketAddress(settings.peerAddress).fold({ error("peer address: $it") }, { it })

private fun retryBound(settings: GatewaySettings) =
    RetryBound(settings.retryRatio, settings.retryWindowMillis, settings.retryFixed.toInt())

/** Ids travel with each exchange; 48 bits are enough to tell incarnations apart. */
private const val ROUTER_ID_LENGTH = 12

private fun newMember(settings: GatewaySettings) =
    Member(
        router = RouterId(UUID.randomUUID().toString().takeLast(ROUTER_ID_LENGTH)),
        address = settings.peerAddress,
        availabilityZone = settings.availabilityZone,
        startedAtMillis = System.currentTimeMillis(),
        heartbeat = 0,
        state = MemberState.LIVE,
    )
