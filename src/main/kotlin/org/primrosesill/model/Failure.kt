/*
 * The failures of caller requests. A failure contains its cause and location, whether the request may have been
 * executed, and the problem type and HTTP status for the response to the caller (RFC 9457).
 */
package org.primrosesill.model

import org.primrosesill.generated.LimitReason
import org.primrosesill.generated.Ran
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A typed failure of one request.
 *
 * @property type last part of the problem type URI, stable over releases
 * @property status HTTP status for the caller
 * @property title summary of the problem type, independent of the request
 * @property detail cause and location of the failure, without credentials and chat content
 * @property ran whether an upstream may have executed the request
 * @property retryAfter time after which the caller may retry, or null if the same request will never succeed
 */
public sealed class Failure(
    public val type: String,
    public val status: Int,
    public val title: String,
    public val detail: String,
    public val ran: Ran = Ran.NOT_RUN,
    public val retryAfter: Duration? = null,
) {
    override fun toString(): String = "$type: $detail"

    /** The request is invalid: malformed JSON, a missing field, a header outside its bounds. */
    public class MalformedRequest(public val field: String, problem: String) :
        Failure("malformed-request", 400, "The request is malformed", "$field: $problem")

    /** The listener does not serve this path. */
    public class UnknownPath(public val path: String) :
        Failure("unknown-path", 404, "The path is not served", "nothing is served at '$path'")

    /** The path is served, but not with this method. */
    public class MethodNotAllowed(public val method: String, public val allowed: List<String>) :
        Failure("method-not-allowed", 405, "The method is not allowed", "'$method' is not one of $allowed")

    /** The caller did not send the complete body in time. */
    public class BodyIncomplete(reason: String) :
        Failure("body-incomplete", 408, "The body did not arrive", reason)

    /** No contract contains the caller's credential. */
    public class UnknownCustomer :
        Failure("unknown-customer", 401, "The credential belongs to no customer", "no contract holds this credential")

    /** The contract does not permit this pool, or the fleet does not define it. */
    public class UnknownPool(public val pool: PoolId) :
        Failure("unknown-pool", 404, "The model or service is not available to this customer", "no access to '$pool'")

    /** The body is larger than the contract allows. */
    public class BodyTooLarge(public val limitBytes: Long) :
        Failure("body-too-large", 413, "The body is too large", "at most $limitBytes bytes are allowed")

    /** The customer exceeds a limit of the contract. */
    public class LimitExceeded(public val customer: CustomerId, public val limit: LimitReason, retryAfter: Duration) :
        Failure(
            "limit-exceeded",
            429,
            "A limit of the contract is reached",
            "customer '$customer' is over the limit '$limit'",
            retryAfter = retryAfter,
        )

    /** The router sheds load of this priority. [cause] states where and why, if that is known. */
    public class Overloaded(public val priority: Int, retryAfter: Duration, cause: String = "") :
        Failure(
            "overloaded",
            503,
            "The router is overloaded",
            "requests of priority $priority are not accepted at present" + if (cause.isEmpty()) "" else " $cause",
            retryAfter = retryAfter,
        )

    /** No upstream of the pool is currently available for the request. */
    public class NoUpstream(public val pool: PoolId, reason: String, retryAfter: Duration = 1.seconds) :
        Failure("no-upstream", 503, "No upstream can take the request", "'$pool': $reason", retryAfter = retryAfter)

    /** A part of the prompt has crashed several engines, so the request is sent to no further one. */
    public class CrashingPrompt(public val part: String) :
        Failure(
            "crashing-prompt",
            503,
            "A part of the prompt crashes engines",
            "prompt part '$part' has crashed several engines and is blocked",
        )

    /** No connection to the upstream was established, so the router sent no byte of the request. */
    public class UpstreamUnreachable(public val upstream: UpstreamId, retryAfter: Duration = 1.seconds) :
        Failure(
            "upstream-unreachable",
            503,
            "The upstream cannot be reached",
            "no connection to '$upstream'",
            retryAfter = retryAfter,
        )

    /** The upstream responded that it did not execute the request. */
    public class UpstreamRefused(public val upstream: UpstreamId, reason: String, retryAfter: Duration = 1.seconds) :
        Failure(
            "upstream-refused",
            503,
            "The upstream refused the request",
            "'$upstream': $reason",
            retryAfter = retryAfter,
        )

    /** The request was sent, but no valid response was received. */
    public class OutcomeUnknown(public val upstream: UpstreamId?, reason: String) :
        Failure(
            "outcome-unknown",
            502,
            "It is unknown whether the request ran",
            "'${upstream ?: "another router"}': $reason",
            ran = Ran.UNKNOWN,
        )

    /** The deadline of the contract passed after the request was sent. */
    public class DeadlineExceeded(public val upstream: UpstreamId, deadline: Duration) :
        Failure(
            "deadline-exceeded",
            504,
            "The deadline of the contract passed",
            "'$upstream' did not answer within $deadline",
            ran = Ran.UNKNOWN,
        )

    /** The response was interrupted and could not be resumed. */
    public class AnswerCut(public val upstream: UpstreamId, reason: String) :
        Failure("answer-cut", 502, "The answer broke off", "'$upstream': $reason", ran = Ran.UNKNOWN)

    /** The contract requires an idempotency key for this call. */
    public class KeyRequired(public val service: PoolId) :
        Failure("key-required", 400, "An Idempotency-Key is required", "calls to '$service' are not idempotent")

    /** The key is malformed, or its time is in the future or longer ago than the key retention. */
    public class KeyInvalid(reason: String) :
        Failure("key-invalid", 400, "The Idempotency-Key cannot be used", reason)

    /** The key was used before for another request. */
    public class KeyReused :
        Failure("key-reused", 422, "The Idempotency-Key belongs to another request", "method, path or body differ")

    /** The first request with this key is still running. */
    public class KeyInProgress(retryAfter: Duration = 1.seconds) :
        Failure(
            "key-in-progress",
            409,
            "A request with this Idempotency-Key is running",
            "the first request with the key has no answer yet",
            ran = Ran.UNKNOWN,
            retryAfter = retryAfter,
        )

    /** Too few routers recorded the claim, so the request was not sent. */
    public class TooFewVotes(public val granted: Int, public val needed: Int, retryAfter: Duration = 1.seconds) :
        Failure(
            "too-few-votes",
            503,
            "The fleet cannot prove that the request is new",
            "$granted routers recorded the key and $needed are needed",
            retryAfter = retryAfter,
        )

    /** An internal error of the router. It is unknown whether the request was executed. */
    public class InternalError :
        Failure("internal-error", 500, "The router failed", "see the router log for the cause", ran = Ran.UNKNOWN)

    /** The router is stopping. */
    public class Stopping(retryAfter: Duration = 1.seconds) :
        Failure("stopping", 503, "The router is stopping", "no new requests are accepted", retryAfter = retryAfter)

    /** The router has no configuration yet. */
    public class NotReady :
        Failure("not-ready", 503, "The router is not ready", "no configuration is in force", retryAfter = 1.seconds)
}
