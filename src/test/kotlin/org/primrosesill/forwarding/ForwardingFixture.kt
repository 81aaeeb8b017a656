/*
 * A forwarder with a scripted upstream client, three upstreams and a route of each kind.
 */
package org.primrosesill.forwarding

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.UpstreamRegistration
import org.primrosesill.generated.EventType
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SpeedObservations
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.load.UsualSpeeds
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.FleetMembers
import org.primrosesill.placement.Placement
import org.primrosesill.placement.PlacementResult
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.platform.platformHeaderProtocol
import org.primrosesill.request.ScriptedClient
import org.primrosesill.request.UpstreamClient
import org.primrosesill.route.CallerLimits
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.PoolDefinition
import org.primrosesill.route.Route
import org.primrosesill.route.RouteKind
import org.primrosesill.route.RouteTable
import org.primrosesill.route.RouteTarget
import org.primrosesill.route.ServingConfiguration
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

val testPool = PoolId("desk")
const val CREDENTIAL = "key-of-the-account"

fun testRoute(
    prefix: String,
    kind: RouteKind,
    resumable: Boolean = false,
    attempts: Int = 2,
    timeout: Duration = 2.seconds,
    anonymous: Boolean = false,
    targets: List<RouteTarget> = listOf(RouteTarget(testPool, 1)),
) = Route(
    name = prefix,
    host = "h.example",
    pathPrefix = prefix,
    kind = kind,
    timeout = timeout,
    latencyTarget = 100.milliseconds,
    priority = 1,
    targets = targets,
    maximumAttempts = attempts,
    anonymous = anonymous,
    promptCached = false,
    resumable = resumable,
    eventIntervalTarget = null,
)

val routesOfEachKind =
    listOf(
        testRoute("/safe/", RouteKind.IDEMPOTENT),
        testRoute("/unsafe/", RouteKind.NON_IDEMPOTENT),
        testRoute("/stream/", RouteKind.STREAM),
        testRoute("/resumable/", RouteKind.STREAM, resumable = true),
        testRoute("/short/", RouteKind.IDEMPOTENT, timeout = 100.milliseconds),
        testRoute("/open/", RouteKind.IDEMPOTENT, anonymous = true),
    )

fun testConfiguration(routes: List<Route> = routesOfEachKind, version: Long = 1) =
    ServingConfiguration(
        version,
        RouteTable(routes),
        mapOf(testPool to PoolDefinition(testPool, "/healthz", 96, coldStart = null, engine = null)),
        CallerLimits(16_384, 1_000_000, 3.seconds, 15.seconds),
        listOf(ClientAccount(CustomerId("account"), setOf(CREDENTIAL), priority = null)),
    )

fun testUpstream(
    id: String,
    pool: PoolId = testPool,
    zone: String = "a",
    coldUntilMillis: Long = 0,
    ineligibleReason: String? = null,
) = KnownUpstream(
    UpstreamRegistration(
        UpstreamId(id),
        pool,
        "10.0.0.1:80",
        AvailabilityZoneId(zone),
        "v1",
        slots = 6,
        draining = false,
        coldFor = Duration.ZERO,
        startedAtMillis = null,
    ),
    coldUntilMillis,
    ineligibleReason,
)

fun directoryView(configuration: ServingConfiguration?, upstreams: List<KnownUpstream>) =
    DirectoryView(PlatformRevision(1), configuration, upstreams.groupBy { it.registration.pool })

/** Selects the first eligible upstream that has not been tried. */
val firstUntriedPlacement =
    object : Placement {
        override fun choose(
            request: org.primrosesill.placement.PlacementRequest,
            view: DirectoryView,
        ): PlacementResult =
            view
                .eligible(request.pool)
                .firstOrNull { request.allows(it.id) }
                ?.let { PlacementResult.Chosen(it) }
                ?: PlacementResult.Rejected("none", 250.milliseconds)
    }

class ForwardingFixture(
    client: UpstreamClient,
    configuration: ServingConfiguration? = testConfiguration(),
    upstreams: List<KnownUpstream> = listOf(testUpstream("u1"), testUpstream("u2"), testUpstream("u3")),
    retryLimit: RetryLimit = RetryLimit(ratio = 10.0, windowMillis = 10_000, fixed = 100),
    placement: Placement = firstUntriedPlacement,
    activityClock: (() -> Long)? = null,
    isLoadAware: Boolean = false,
    speeds: SpeedObservations = UsualSpeeds,
) {
    constructor(client: ScriptedClient) : this(client as UpstreamClient)

    /** Time of the monotonic clock. */
    var nowMillis = 0L
    val events = mutableListOf<Pair<EventType, String>>()

    /** The types of events and the upstreams that they name, separated by a space. */
    val eventsOfUpstreams = mutableListOf<String>()
    val view = directoryView(configuration, upstreams)
    val activity = UpstreamActivity(activityClock ?: { nowMillis })
    val notices = UpstreamNotices({ 2_000 }, activityClock ?: { 0L })
    val loads = UpstreamLoads(activity) { nowMillis }
    val services = ServiceConcurrency(ownCode = "self") { nowMillis }
    val handler =
        forwarder(
            ForwarderDependencies(
                view = { view },
                awaitConfiguration = { },
                protocol = platformHeaderProtocol(),
                placement = placement,
                activity = activity,
                index = PromptCacheIndex { 0 },
                loads = loads,
                notices = notices,
                crashingParts = CrashingParts { nowMillis },
                onCrashEvidence = {},
                retryBudget =
                    PoolRetryBudget(
                        { retryLimit },
                        { FleetMembers(RouterId("self"), emptySet(), isComplete = true) },
                        { 0 },
                    ),
                client = client,
                metrics = NoForwardingMetrics,
                events = { type, _, upstream, cause ->
                    events += type to cause
                    if (upstream != null) eventsOfUpstreams += "${type.value} $upstream"
                },
                nowMillis = { nowMillis },
                isLoadAware = { isLoadAware },
                speeds = speeds,
                services = services,
            ),
        )

    suspend fun send(
        target: String,
        method: String = "POST",
        headers: HeaderFields = HeaderFields(),
        body: String = "",
        id: String = "r1",
        arrivedAt: ComparableTimeMark = TimeSource.Monotonic.markNow(),
    ): RecordingResponse {
        val fields =
            headerFieldsOf("Host" to "h.example", "X-Attempt-Id" to id, "Authorization" to "Bearer $CREDENTIAL") +
                headers
        val request = InboundRequest(method, target, fields, body.toByteArray(), arrivedAt)
        return RecordingResponse().also { handler.handle(request, it) }
    }
}

/** Records the response that the caller received. */
class RecordingResponse : OutboundResponse {
    var head: ResponseHead? = null
    val body = StringBuilder()
    var finished = false
    var aborted = false

    override val started: Boolean get() = head != null

    /** The status, followed by " aborted" or " unfinished" when the response is not complete. */
    val result: String
        get() =
            "${head?.status}" +
                if (aborted) {
                    " aborted"
                } else if (finished) {
                    ""
                } else {
                    " unfinished"
                }

    override suspend fun respond(head: ResponseHead, body: ByteArray) {
        check(!started) { "the response has already started" }
        this.head = head
        this.body.append(body.decodeToString())
        finished = true
    }

    override suspend fun start(head: ResponseHead) {
        check(!started) { "the response has already started" }
        this.head = head
    }

    override suspend fun write(bytes: ByteArray) {
        body.append(bytes.decodeToString())
    }

    override suspend fun finish() {
        finished = true
    }

    override fun abort() {
        aborted = true
    }
}
