/*
 * The components of one router, constructed from its settings. The background loops are started separately.
 */
package org.primrosesill.router

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.primrosesill.claim.ClaimContext
import org.primrosesill.claim.ClaimSettings
import org.primrosesill.claim.ClaimTable
import org.primrosesill.claim.KeyClaimHolder
import org.primrosesill.claim.KnownRouters
import org.primrosesill.claim.quorumKeyClaims
import org.primrosesill.claim.quorumSlotClaims
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.configuration.DocumentStore
import org.primrosesill.event.EventLog
import org.primrosesill.event.faultReporter
import org.primrosesill.exchange.PartTable
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterSettings
import org.primrosesill.http.loadReportClient
import org.primrosesill.http.peerClient
import org.primrosesill.limit.CustomerOwner
import org.primrosesill.membership.MemberTable
import org.primrosesill.membership.MemberTableSettings
import org.primrosesill.model.RouterId
import org.primrosesill.request.RequestFlowDependencies
import org.primrosesill.request.requestFlow
import org.primrosesill.routing.ReservationTable
import org.primrosesill.routing.UpstreamTable
import org.primrosesill.routing.affinityUpstreamSelector
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.nettyUpstreamClient
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

/**
 * Constructs and owns the components of a router.
 *
 * @param scope runs coroutines that outlive a single call; cancelled when the router stops
 */
internal class RouterComponents(
    settings: RouterSettings,
    val self: Member,
    val events: EventLog,
    private val scope: CoroutineScope,
    val currentMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    val stopping = AtomicBoolean()
    val exceptionReporter = faultReporter(events)
    val control = ControlThread()
    val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val peers = peerClient(token = settings.peerToken)
    val loadReports = loadReportClient()

    private val claimSettings = ClaimSettings(clockToleranceMillis = settings.clockToleranceMillis)
    private val members = memberTable(settings)
    val views = PublishedViews(members.snapshot())
    private val knownRouters =
        KnownRouters { instant ->
            views.members
                .get()
                .takeIf { it.hasCandidateSource }
                ?.possiblyAliveSince(instant)
        }
    private val trafficLoop = TrafficLoop(exceptionReporter)
    private val claimTable = ClaimTable(self.router, self.startedAtMillis, claimSettings, knownRouters)
    val voter = ClaimVoter(control, claimTable, { keyClaims }, currentMillis)
    private val claimContext =
        ClaimContext(
            self = { views.members.get().self },
            knownRouters = knownRouters,
            peers = PeerClaims(self, voter, peers),
            settings = claimSettings,
            currentMillis = currentMillis,
            newAttempt = { UUID.randomUUID().toString() },
            scope = scope,
        )
    private val customerOwner = CustomerOwner(self.startedAtMillis)
    private val keyClaims: KeyClaimHolder = quorumKeyClaims(claimContext)
    private val slotClaims = quorumSlotClaims(claimContext) { views.zoneOf(it) }
    private val selector =
        affinityUpstreamSelector(
            snapshot = views.routing::get,
            currentMillis = currentMillis,
            routerSeed = UUID.fromString(self.router.value).mostSignificantBits,
            events = events,
            onColdReported = { upstream, limit ->
                scope.launch { control.run { state.receiveColdState(upstream, limit, currentMillis()) } }
            },
        )
    val limits = RouterLimits(settings, self.router, views, control, customerOwner, peers, currentMillis)
    private val reservationTable = ReservationTable()
    val reservations =
        PeerReservations(self.router, views, control, reservationTable, selector, peers, currentMillis)
    val state: ControlState =
        ControlState(
            members = members,
            parts = PartTable(self.router),
            upstreams = UpstreamTable(),
            documents = DocumentStore(),
            claims = claimTable,
            customers = customerOwner,
            reservations = reservationTable,
            views = views,
            events = events,
            inFlightCounts = ::inFlightCounts,
        )
    val flow =
        requestFlow(
            RequestFlowDependencies(
                configuration = views.configuration::get,
                admission = limits::admission,
                retryBudget = limits.retryBudget,
                limiter = limits.limiter,
                keyClaims = keyClaims,
                slotClaims = slotClaims,
                selector = selector,
                reservations = reservations,
                client = nettyUpstreamClient(trafficLoop),
                events = events,
                metrics = metrics,
                currentMillis = currentMillis,
            ),
        )

    override fun close() {
        peers.close()
        loadReports.close()
        trafficLoop.close()
        control.close()
    }

    private fun inFlightCounts() =
        InFlightCounts(
            upstreams = selector.inFlight().mapKeys { it.key.value },
            customers = limits.inFlight().mapKeys { it.key.value },
        )

    private fun memberTable(settings: RouterSettings) =
        MemberTable(
            self = self,
            configuredPeers = settings.peers.toSet() - self.address,
            expectsVmList = settings.platformAddress.isNotEmpty(),
            settings =
                MemberTableSettings(
                    suspicionTimeoutMillis = settings.suspicionTimeoutMillis,
                    clockToleranceMillis = settings.clockToleranceMillis,
                ),
        )
}

/** Returns the member for this process. Each start is a new incarnation, because state in memory is lost. */
internal fun newIncarnation(settings: RouterSettings, nowMillis: Long): Member =
    Member(
        router = RouterId(UUID.randomUUID().toString()),
        address = settings.peerAddress,
        availabilityZone = settings.availabilityZone,
        startedAtMillis = nowMillis,
        heartbeat = 0,
        state = MemberState.LIVE,
    )

internal val RouterSettings.exchangeInterval get() = exchangeIntervalMillis.milliseconds
