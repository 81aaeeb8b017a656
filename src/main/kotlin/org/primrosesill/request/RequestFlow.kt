/*
 * The path of one request: intake, admission, customer limits, claims, attempts, answer. Every permit taken on the way
 * is given back once, whichever way the request ends.
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
 * What the request path works with.
 *
 * @property configuration returns the documents in force
 * @property admission returns the control for chats or for service calls, whose durations must not be compared
 * @property currentMillis wall clock in milliseconds since the Unix epoch, for instants that other routers see
 * @property timeSource monotonic time for deadlines
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

/** Serves requests of callers. Safe to call from any thread. */
public interface RequestFlow {
    /** Requests that are being served. */
    public val inFlight: Int

    /** Serves [request] and gives [answer] its one answer. Cancellation means that the caller has gone. */
    public suspend fun handle(request: CallerRequest, answer: CallerAnswer)

    /** Refuses requests from now on with [Failure.Stopping]. Requests in flight go on to their end. */
    public fun stopAccepting()

    /** Waits until no request is in flight, and returns false if that takes longer than [timeout]. */
    public suspend fun awaitIdle(timeout: Duration): Boolean
}

/** Returns a request path over [dependencies]. */
public fun requestFlow(dependencies: RequestFlowDependencies): RequestFlow = DefaultRequestFlow(dependencies)

private val logger = KotlinLogging.logger {}

private class DefaultRequestFlow(private val dependencies: RequestFlowDependencies) : RequestFlow {
    private val gate = RequestGate()
    private val metrics = RequestMetrics(dependencies.metrics, gate::inFlight)
    private val intake = RequestIntake(dependencies.timeSource)
    private val attempts = Attempts(dependencies, metrics)
    private val keyedCalls = KeyedCalls(dependencies, attempts, metrics)

    override val inFlight: Int get() = gate.inFlight

    override fun stopAccepting() = gate.close()

    override suspend fun awaitIdle(timeout: Duration): Boolean = gate.awaitIdle(timeout)

    override suspend fun handle(request: CallerRequest, answer: CallerAnswer) {
        val run = Run(request, answer, dependencies.timeSource.markNow())
        if (!gate.enter()) return run.end(Outcome.NotRun(Failure.Stopping()))
        try {
            run.end(run.serve())
        } catch (exception: CancellationException) {
            run.left("the caller closed the connection")
            throw exception
        } catch (exception: CallerGoneException) {
            run.left(exception.message.orEmpty())
        } catch (exception: Exception) {
            logger.error(exception) { "request ${request.id} failed" }
            run.end(Outcome.Unknown(Failure.InternalError()))
        } finally {
            gate.leave()
        }
    }

    /** One request between its arrival and its end. */
    private inner class Run(
        private val request: CallerRequest,
        private val caller: CallerAnswer,
        private val startedAt: ComparableTimeMark,
    ) {
        private var customer: CustomerId? = null
        private var work: Work? = null

        suspend fun serve(): Outcome {
            val snapshot = dependencies.configuration()
            val checked =
                either {
                    checkHeaders(request).bind()
                    val contract = contractOf(request, snapshot).bind()
                    customer = contract.customer
                    contract to targetOf(request).bind()
                }
            val (contract, target) = checked.fold({ return Outcome.NotRun(it) }, { it })
            val admission = dependencies.admission(target.kind)
            val permit = admission.admit(contract.priority).fold({ return Outcome.NotRun(it) }, { it })
            try {
                return intake.read(request, target, contract, snapshot).fold({ Outcome.NotRun(it) }, { limited(it) })
            } finally {
                permit.release()
            }
        }

        private suspend fun limited(accepted: Work): Outcome {
            work = accepted
            var permit: CustomerPermit? = null
            try {
                // A permit that was granted must be given back even if the caller leaves in the meantime.
                withContext(NonCancellable) {
                    dependencies.limiter.acquire(accepted.contract).map { permit = it }
                }.onLeft { return Outcome.NotRun(it) }
                return run(accepted)
            } finally {
                permit?.release(accepted.tokens)
            }
        }

        private suspend fun run(accepted: Work): Outcome {
            val key = accepted.key
            if (key != null) {
                return withContext(NonCancellable) { answer(keyedCalls.run(accepted, key, caller)) }
            }
            return attempts.run(accepted) { upstream, call, answer ->
                if (accepted.streaming && answer.status == 200) {
                    ChatStream(accepted, upstream, call, dependencies, metrics, startedAt).deliver(answer, caller)
                } else {
                    passThrough(accepted, upstream, answer, caller)
                }
            }
        }

        private suspend fun answer(outcome: Outcome): Outcome {
            if (outcome !is Outcome.Buffered) return outcome
            caller.respond(outcome.answer.head, outcome.answer.body)
            return Outcome.Delivered(outcome.answer.head.status)
        }

        suspend fun end(outcome: Outcome) {
            when (outcome) {
                is Outcome.NotRun -> refuse(EventType.REQUEST_REFUSED, outcome.failure)
                is Outcome.Unknown -> refuse(EventType.OUTCOME_UNKNOWN, outcome.failure)
                is Outcome.Cut -> finished(EventType.ANSWER_CUT, reasonOf(outcome), "cut")
                is Outcome.Delivered ->
                    finished(
                        EventType.REQUEST_FINISHED,
                        reasonOf(outcome),
                        "${outcome.status / 100}xx",
                    )
                is Outcome.Buffered -> error("a buffered answer was not handed on")
            }
        }

        private suspend fun refuse(type: EventType, failure: Failure) {
            metrics.refused(failure)
            finished(type, failure.toString(), if (failure.ran == Ran.NOT_RUN) "refused" else "unknown")
            caller.refuse(failure)
        }

        fun left(cause: String) = finished(EventType.REQUEST_FINISHED, cause, "caller-gone")

        private fun finished(type: EventType, cause: String, result: String) {
            metrics.finished(work?.pool, result, startedAt.elapsedNow())
            dependencies.events.record(type, cause, EventSubject(request.id, customer = customer))
        }
    }
}
