/*
 * Forwards one request: looks up its route, authenticates the client account, runs the attempts and responds to the
 * caller.
 */
package org.primrosesill.forwarding

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import org.primrosesill.admission.PoolAdmission
import org.primrosesill.admission.poolAdmission
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.generated.EventType
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SpeedObservations
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.load.UsualSpeeds
import org.primrosesill.model.Failure
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.PoolId
import org.primrosesill.model.RequestId
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.Placement
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.request.BufferBudget
import org.primrosesill.request.UpstreamClient
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.Route
import org.primrosesill.route.ServingConfiguration
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * The components that request forwarding uses.
 *
 * @property onCrashEvidence called when peers should receive the evidence in [crashingParts] at once
 * @property buffers counts what all requests buffer
 * @property plannedStop returns the stop of this gateway that has begun, or null
 * @property isLoadAware whether [poolAdmission] decides which requests are sent to engines
 * @property nowMillis time of a monotonic clock in milliseconds
 */
public class ForwarderDependencies(
    public val view: () -> DirectoryView,
    public val awaitConfiguration: suspend (Duration) -> Unit,
    public val protocol: ForwardingProtocol,
    public val placement: Placement,
    public val activity: UpstreamActivity,
    public val index: PromptCacheIndex,
    public val loads: UpstreamLoads,
    public val notices: UpstreamNotices,
    public val crashingParts: CrashingParts,
    public val onCrashEvidence: () -> Unit,
    public val retryBudget: PoolRetryBudget,
    public val client: UpstreamClient,
    public val metrics: ForwardingMetrics,
    public val events: ForwardingEvents,
    public val nowMillis: () -> Long,
    public val buffers: BufferBudget = BufferBudget(),
    public val plannedStop: () -> PlannedStop? = { null },
    public val random: Random = Random.Default,
    public val services: ServiceConcurrency = ServiceConcurrency(ownCode = "") { 0 },
    public val speeds: SpeedObservations = UsualSpeeds,
    public val isLoadAware: () -> Boolean = { false },
    public val poolAdmission: PoolAdmission = poolAdmission(),
)

/** Returns a handler that forwards requests to upstreams. */
public fun forwarder(dependencies: ForwarderDependencies): RequestHandler = Forwarder(dependencies)

/**
 * How long a request waits for the first configuration. A process that has just started receives it within a fraction
 * of a second, before a rejected caller would retry.
 */
private val CONFIGURATION_TIMEOUT = 800.milliseconds

/** Short, as the other gateways serve the request at once. */
private val STOPPING_RETRY_AFTER = 100.milliseconds

private class Forwarder(private val dependencies: ForwarderDependencies) : RequestHandler {
    private val components = AttemptComponents(dependencies)

    override suspend fun handle(request: InboundRequest, response: OutboundResponse) {
        val metadata = dependencies.protocol.parse(request)
        if (dependencies.view().configuration == null) dependencies.awaitConfiguration(CONFIGURATION_TIMEOUT)
        val context =
            accept(
                request,
                metadata,
            ).fold({ return reject(request, metadata.id, response, null, it) }, { it })
        dependencies.retryBudget.recordRequest(context.pool)
        try {
            val failure = coroutineScope { RequestAttempts(components, context, response, this).run() }
            if (failure != null) return reject(request, metadata.id, response, context.pool, failure)
            recordFinished(request, context.pool, "answered")
        } catch (exception: CancellationException) {
            dependencies.events.record(EventType.REQUEST_FINISHED, metadata.id, null, "caller disconnected")
            recordFinished(request, context.pool, "caller left")
            throw exception
        }
    }

    private fun recordFinished(request: InboundRequest, pool: PoolId?, result: String) =
        dependencies.metrics.finished(pool, result, request.arrivedAt.elapsedNow())

    private fun accept(request: InboundRequest, metadata: RequestMetadata): Either<Failure, RequestContext> =
        either {
            val configuration = ensureNotNull(dependencies.view().configuration) { Failure.NotReady() }
            val route = configuration.routes.find(request.headers["Host"], request.path)
            ensureNotNull(route) { Failure.UnknownPath(request.path) }
            val account = authenticate(configuration, route, metadata).bind()
            val timeLeft = metadata.timeLeft
            val timeout = if (timeLeft == null) route.timeout else minOf(timeLeft, route.timeout)
            val context =
                RequestContext(request, metadata, route, account, selectPool(route), request.arrivedAt + timeout)
            ensure(isAcceptedBeforeStop(context)) { Failure.Stopping(STOPPING_RETRY_AFTER) }
            context
        }

    private fun isAcceptedBeforeStop(context: RequestContext): Boolean {
        val now = TimeSource.Monotonic.markNow()
        return dependencies.plannedStop()?.accepts(context.route, context.timeLeft(), now) ?: true
    }

    private fun authenticate(
        configuration: ServingConfiguration,
        route: Route,
        metadata: RequestMetadata,
    ): Either<Failure, ClientAccount?> =
        either {
            if (configuration.accounts == null || route.anonymous) return@either null
            val account = metadata.credential?.let(configuration::accountOf)
            ensureNotNull(account) { Failure.UnknownCustomer() }
        }

    /** Selects one target of [route] at random, in proportion to the weights. */
    private fun selectPool(route: Route): PoolId {
        var remainingWeight = dependencies.random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            remainingWeight -= target.weight
            if (remainingWeight < 0) return target.pool
        }
        return route.targets.last().pool
    }

    private suspend fun reject(
        request: InboundRequest,
        id: RequestId?,
        response: OutboundResponse,
        pool: PoolId?,
        failure: Failure,
    ) {
        val elapsedMillis = request.arrivedAt.elapsedNow().inWholeMilliseconds
        val cause = "$failure, status ${failure.status} $elapsedMillis ms after the request arrived"
        dependencies.events.record(EventType.REQUEST_REFUSED, id, null, cause)
        recordFinished(request, pool, failure.type)
        if (response.started) return response.abort()
        val retryAfter = failure.retryAfter?.let(dependencies.protocol::retryAfter)
        response.respond(ResponseHead(failure.status, HeaderFields(listOfNotNull(retryAfter))))
    }
}
