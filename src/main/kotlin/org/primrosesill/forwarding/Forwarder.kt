/*
 * The path of one request that is passed on: route, account, attempts, answer.
 */
package org.primrosesill.forwarding

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import kotlinx.coroutines.CancellationException
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.generated.EventType
import org.primrosesill.model.Failure
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.PoolId
import org.primrosesill.model.RequestId
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.Placement
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.UpstreamLoads
import org.primrosesill.placement.UpstreamNotices
import org.primrosesill.request.UpstreamClient
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.Route
import org.primrosesill.route.ServingConfiguration
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the path of a request works with. */
public class ForwarderDependencies(
    public val view: () -> DirectoryView,
    public val awaitConfiguration: suspend (Duration) -> Unit,
    public val protocol: ForwardingProtocol,
    public val placement: Placement,
    public val activity: UpstreamActivity,
    public val index: PartIndex,
    public val loads: UpstreamLoads,
    public val notices: UpstreamNotices,
    public val retries: RetryAllowance,
    public val client: UpstreamClient,
    public val metrics: ForwardingMetrics,
    public val events: ForwardingEvents,
    public val random: Random = Random.Default,
)

/** Returns the handler of requests that are passed on. */
public fun forwarder(dependencies: ForwarderDependencies): RequestHandler = Forwarder(dependencies)

/** A process that has just started has its configuration within a fraction of a second, sooner than a refused caller is back. */
private val START_PATIENCE = 800.milliseconds

private class Forwarder(private val dependencies: ForwarderDependencies) : RequestHandler {
    private val attempts = AttemptLoop(dependencies)

    override suspend fun handle(request: InboundRequest, answer: OutboundAnswer) {
        val description = dependencies.protocol.describe(request)
        if (dependencies.view().configuration == null) dependencies.awaitConfiguration(START_PATIENCE)
        val job =
            accept(
                request,
                description,
            ).fold({ return refuse(request, description.id, answer, null, it) }, { it })
        dependencies.retries.recordRequest(job.pool)
        try {
            val failure = attempts.run(job, answer)
            if (failure != null) return refuse(request, description.id, answer, job.pool, failure)
            finished(request, job.pool, "answered")
        } catch (exception: CancellationException) {
            dependencies.events.record(EventType.REQUEST_FINISHED, description.id, null, "the caller left")
            finished(request, job.pool, "caller left")
            throw exception
        }
    }

    private fun finished(request: InboundRequest, pool: PoolId?, result: String) =
        dependencies.metrics.finished(pool, result, request.arrivedAt.elapsedNow())

    private fun accept(request: InboundRequest, description: RequestDescription): Either<Failure, ForwardingJob> =
        either {
            val configuration = ensureNotNull(dependencies.view().configuration) { Failure.NotReady() }
            val route = configuration.routes.find(request.headers["Host"], request.path)
            ensureNotNull(route) { Failure.UnknownPath(request.path) }
            val account = accountFor(configuration, route, description).bind()
            val timeLeft = description.timeLeft
            val allowed = if (timeLeft == null) route.timeout else minOf(timeLeft, route.timeout)
            ForwardingJob(request, description, route, account, poolOf(route), request.arrivedAt + allowed)
        }

    private fun accountFor(
        configuration: ServingConfiguration,
        route: Route,
        description: RequestDescription,
    ): Either<Failure, ClientAccount?> =
        either {
            if (configuration.accounts == null || route.anonymous) return@either null
            val account = description.credential?.let(configuration::accountOf)
            ensureNotNull(account) { Failure.UnknownCustomer() }
        }

    private fun poolOf(route: Route): PoolId {
        var point = dependencies.random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            point -= target.weight
            if (point < 0) return target.pool
        }
        return route.targets.last().pool
    }

    private suspend fun refuse(
        request: InboundRequest,
        id: RequestId?,
        answer: OutboundAnswer,
        pool: PoolId?,
        failure: Failure,
    ) {
        val waited = request.arrivedAt.elapsedNow().inWholeMilliseconds
        val cause = "$failure, status ${failure.status} $waited ms after its arrival"
        dependencies.events.record(EventType.REQUEST_REFUSED, id, null, cause)
        finished(request, pool, failure.type)
        if (answer.started) return answer.abort()
        val retryAfter = failure.retryAfter?.let(dependencies.protocol::retryAfter)
        answer.respond(OutboundHead(failure.status, HeaderFields(listOfNotNull(retryAfter))))
    }
}
