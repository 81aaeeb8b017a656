/*
 * The stages of one request: header checks, admission, parsing, customer limits, claims, attempts and response. Every
 * permit that is acquired is released exactly once, however the request ends.
 */
package org.primrosesill.request

import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.primrosesill.admission.AdmissionControl
import org.primrosesill.admission.RetryBudget
import org.primrosesill.claim.KeyClaims
import org.primrosesill.claim.SlotClaims
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.Ran
import org.primrosesill.limit.CustomerLimiter
import org.primrosesill.limit.CustomerPermit
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.routing.Reservation
import org.primrosesill.routing.Reservations
import org.primrosesill.routing.UpstreamSelector
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * The dependencies of request handling.
 *
 * @property configuration returns the active configuration
 * @property admission returns the admission control for chats or for service calls; they are separate because their
 *     durations are not comparable
 * @property currentMillis wall clock in milliseconds since the Unix epoch, for times that are sent to other routers
 * @property timeSource monotonic clock for deadlines and durations
 */
public class RequestFlowDependencies(
    public val configuration: () -> ConfigurationSnapshot,
    public val admission: (PoolKind) -> AdmissionControl,
    public val retryBudget: RetryBudget,
    public val limiter: CustomerLimiter,
    public val keyClaims: KeyClaims,
    public val slotClaims: SlotClaims,
    public val selector: UpstreamSelector,
    public val client: UpstreamClient,
    public val events: EventLog,
    public val metrics: MeterRegistry,
    public val currentMillis: () -> Long = System::currentTimeMillis,
    public val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val reservations: Reservations = Reservations { _, _ -> Reservation.UNAVAILABLE },
)

/** Handles requests of callers. Thread-safe. */
public interface RequestFlow {
    /** Number of requests in flight. */
    public val inFlight: Int

    /** Handles [request] and sends one response through [response]. Cancelled when the caller disconnects. */
    public suspend fun handle(request: CallerRequest, response: CallerResponse)

    /** Rejects new requests with [Failure.Stopping] from now on. Requests in flight are completed. */
    public fun stopAccepting()

    /** Waits until no request is in flight. Returns false if that takes longer than [timeout]. */
    public suspend fun awaitIdle(timeout: Duration): Boolean
}

/** Creates a request handler with [dependencies]. */
public fun requestFlow(dependencies: RequestFlowDependencies): RequestFlow = DefaultRequestFlow(dependencies)

private val logger = KotlinLogging.logger {}

private class DefaultRequestFlow(private val dependencies: RequestFlowDependencies) : RequestFlow {
    private val inFlightRequests = InFlightRequests()
    private val metrics = RequestMetrics(dependencies.metrics, inFlightRequests::inFlight)
    private val parser = RequestParser(dependencies.timeSource)
    private val upstreamAttempts = UpstreamAttempts(dependencies, metrics)
    private val keyHandler = IdempotencyKeyHandler(dependencies, upstreamAttempts, metrics)

    override val inFlight: Int get() = inFlightRequests.inFlight

    override fun stopAccepting() = inFlightRequests.close()

    override suspend fun awaitIdle(timeout: Duration): Boolean = inFlightRequests.awaitIdle(timeout)

    override suspend fun handle(request: CallerRequest, response: CallerResponse) {
        val execution = RequestExecution(request, response, dependencies.timeSource.markNow())
        if (!inFlightRequests.tryAdd()) return execution.complete(Outcome.NotRun(Failure.Stopping()))
        try {
            execution.complete(execution.execute())
        } catch (exception: CancellationException) {
            execution.recordCallerDisconnected("the caller closed the connection")
            throw exception
        } catch (exception: CallerDisconnectedException) {
            execution.recordCallerDisconnected(exception.message.orEmpty())
        } catch (exception: Exception) {
            logger.error(exception) { "request ${request.id} failed with an unexpected exception" }
            execution.complete(Outcome.Unknown(Failure.InternalError()))
        } finally {
            inFlightRequests.remove()
        }
    }

    /** The execution of one request, from its arrival to its response. */
    private inner class RequestExecution(
        private val request: CallerRequest,
        private val callerResponse: CallerResponse,
        private val startedAt: ComparableTimeMark,
    ) {
        private var customer: CustomerId? = null
        private var acceptedContext: AcceptedRequest? = null

        suspend fun execute(): Outcome {
            val snapshot = dependencies.configuration()
            val routed =
                either {
                    checkHeaders(request).bind()
                    val contract = contractOf(request, snapshot).bind()
                    customer = contract.customer
                    contract to targetOf(request).bind()
                }
            val (contract, target) = routed.fold({ return Outcome.NotRun(it) }, { it })
            val admission = dependencies.admission(target.kind)
            val permit = admission.admit(contract.priority).fold({ return Outcome.NotRun(it) }, { it })
            try {
                return parser.parse(request, target, contract, snapshot).fold({ Outcome.NotRun(it) }, { withLimit(it) })
            } finally {
                permit.release()
            }
        }

        /** Runs the request of [context] once the customer limiter has granted a permit. */
        private suspend fun withLimit(context: AcceptedRequest): Outcome {
            acceptedContext = context
            var permit: CustomerPermit? = null
            try {
                // Not cancellable: a permit granted after the caller disconnected must still be released.
                withContext(NonCancellable) {
                    dependencies.limiter.acquire(context.contract).map { permit = it }
                }.onLeft { return Outcome.NotRun(it) }
                return run(context)
            } finally {
                permit?.release(context.generatedTokens)
            }
        }

        private suspend fun run(context: AcceptedRequest): Outcome {
            val key = context.idempotencyKey
            if (key != null) {
                return withContext(NonCancellable) { respondIfBuffered(keyHandler.run(context, key, callerResponse)) }
            }
            return upstreamAttempts.run(context) { upstream, call, response ->
                if (context.streaming && response.status == 200) {
                    ChatStreamRelay(context, upstream, call, dependencies, metrics, startedAt)
                        .relay(response, callerResponse)
                } else {
                    relayResponse(context, upstream, response, callerResponse)
                }
            }
        }

        private suspend fun respondIfBuffered(outcome: Outcome): Outcome {
            if (outcome !is Outcome.Buffered) return outcome
            callerResponse.respond(outcome.response.head, outcome.response.body)
            return Outcome.Delivered(outcome.response.head.status)
        }

        suspend fun complete(outcome: Outcome) {
            when (outcome) {
                is Outcome.NotRun -> reject(EventType.REQUEST_REFUSED, outcome.failure)
                is Outcome.Unknown -> reject(EventType.OUTCOME_UNKNOWN, outcome.failure)
                is Outcome.Truncated -> recordEnd(EventType.ANSWER_CUT, describeOutcome(outcome), "cut")
                is Outcome.Delivered ->
                    recordEnd(
                        EventType.REQUEST_FINISHED,
                        describeOutcome(outcome),
                        "${outcome.status / 100}xx",
                    )
                is Outcome.Buffered -> error("a buffered response was not sent to the caller")
            }
        }

        private suspend fun reject(type: EventType, failure: Failure) {
            metrics.refused(failure)
            recordEnd(type, failure.toString(), if (failure.ran == Ran.NOT_RUN) "refused" else "unknown")
            callerResponse.respondWithFailure(failure)
        }

        fun recordCallerDisconnected(cause: String) = recordEnd(EventType.REQUEST_FINISHED, cause, "caller-gone")

        private fun recordEnd(type: EventType, cause: String, result: String) {
            metrics.finished(acceptedContext?.pool, result, startedAt.elapsedNow())
            dependencies.events.record(type, cause, EventSubject(request.id, customer = customer))
        }
    }
}
