/*
 * Which requests a gateway sends to a pool of engines that is short of capacity. Each gateway decides by itself, from the
 * loads that engines report and gateways relay; it sends nothing for this. A request that cannot meet its deadline is
 * refused, and while the most urgent class would be late, less urgent classes are admitted in part.
 *
 * Load pattern: prompts arrive at 2.5 times the capacity of a pool for some seconds, or a third of its engines is lost, so
 * that queues grow until all classes are late and engines prefill prompts whose callers have left.
 */
package org.primrosesill.admission

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import kotlin.time.Duration

/**
 * An engine that may get the request.
 *
 * @property running requests that have produced their first token, or null if there is no recent report of the engine
 * @property waiting requests of all priorities that are not running yet
 * @property slowness time that work takes at the engine, relative to the usual time
 */
public class AdmissionCandidate(
    public val running: Int?,
    public val waiting: Int,
    public val slots: Int,
    public val slowness: Double = 1.0,
) {
    /** Whether the engine has a free slot and nothing waiting, or nothing recent is known of it. */
    internal val isFree: Boolean get() = running == null || (waiting == 0 && running < slots)
}

/**
 * A request to a pool of engines.
 *
 * @property priority 0 is the most urgent
 * @property prefillTokens prompt tokens that the engine probably has to prefill
 * @property resumesStream whether the caller has received a part of the response
 * @property candidates the same list as long as nothing newer is known, since what follows from it is kept
 * @property draw uniform from 0 to 1, decides about a request of a class that is admitted in part
 * @property jitter uniform from 0 to 1, spreads the times at which callers retry
 */
public class AdmissionRequest(
    public val pool: PoolId,
    public val priority: Int,
    public val latencyTarget: Duration,
    public val timeLeft: Duration,
    public val prefillTokens: Int,
    public val account: CustomerId?,
    public val session: String?,
    public val resumesStream: Boolean,
    public val prefillTokensPerMillisecond: Double,
    public val candidates: List<AdmissionCandidate>,
    public val nowMillis: Long,
    public val draw: Double,
    public val jitter: Double,
)

/** What was decided, and why. [text] is a metric tag. */
public enum class AdmissionResult(public val text: String, public val isAdmitted: Boolean) {
    FREE_CAPACITY("free-capacity", true),
    RESUMED("resumed", true),
    WITHIN_SHARE("within-share", true),

    /** Would be refused, but its class, account or session keeps a tenth of its rate. */
    MINIMUM_SHARE("minimum-share", true),
    REFUSED_DEADLINE("refused-deadline", false),
    REFUSED_SHORTAGE("refused-shortage", false),
}

/**
 * @property retryAfter time until the request could be served; zero if it is admitted
 * @property explanation the inputs of the decision, for the event log; empty if there was free capacity
 * @property shortage whether the pool is short of capacity, if that has changed with this decision, otherwise null
 */
public class AdmissionDecision(
    public val result: AdmissionResult,
    public val retryAfter: Duration = Duration.ZERO,
    public val explanation: String = "",
    public val shortage: Boolean? = null,
)

/** Confined to the traffic thread. */
public interface PoolAdmission {
    /** Decides about the first attempt of [request]. */
    public fun decide(request: AdmissionRequest): AdmissionDecision

    /**
     * Returns whether a further attempt of [request] can meet its deadline at one of the candidates. Records nothing, since
     * the first attempt has been recorded.
     */
    public fun canMeetDeadline(request: AdmissionRequest): Boolean
}

/** Returns an admission that knows of no requests yet. */
public fun poolAdmission(): PoolAdmission = PoolAdmissionByHistory()
