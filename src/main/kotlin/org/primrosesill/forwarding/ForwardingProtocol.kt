/*
 * What requests and answers say in their header fields, in the product's terms. An adapter knows the names on the wire.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.CustomerId
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.Prompt
import org.primrosesill.placement.ReportedLoad
import kotlin.time.Duration

/**
 * What a request says of itself.
 *
 * @property id names this attempt of the caller; null when the request has none
 * @property timeLeft how long the caller waits, or null when it does not say
 * @property credential of the client account, or null
 * @property prompt null for requests to plain services
 * @property lastEventId the last event of a stream that the caller has, when it asks for the rest
 */
public class RequestDescription(
    public val id: RequestId?,
    public val timeLeft: Duration?,
    public val credential: String?,
    public val prompt: Prompt?,
    public val lastEventId: String?,
)

/**
 * What an answer says of itself.
 *
 * @property signed whether the upstream vouches for the answer; only such an answer may be passed on
 * @property notRun whether the upstream says that it did not run the request and never will
 * @property otherInstance whether another incarnation than the expected one has the address
 * @property load null when the upstream does not tell it
 * @property encoded whether the body is not as the upstream made it
 * @property leaving whether the upstream says that it will stop, so that it should get nothing new
 * @property pause for how long the upstream wants no request, or null
 */
public class AnswerDescription(
    public val signed: Boolean,
    public val notRun: Boolean,
    public val otherInstance: Boolean,
    public val load: ReportedLoad?,
    public val encoded: Boolean,
    public val leaving: Boolean,
    public val pause: Duration?,
)

/**
 * What an upstream is told about a request beyond what the caller sent.
 *
 * @property upstream the incarnation that the request is meant for
 * @property customer null when the request needs no credential
 * @property timeLeft how long the answer is of use
 * @property urgency from 0, the most urgent, to 9; null leaves it to the upstream
 * @property lastEventId the last event that the caller has, when a stream goes on at another upstream
 * @property prefixSource address of an upstream from which it can fetch parts of the prompt that it lacks, or null
 */
public class UpstreamOrder(
    public val upstream: UpstreamId,
    public val customer: CustomerId?,
    public val timeLeft: Duration,
    public val urgency: Int?,
    public val lastEventId: String?,
    public val prefixSource: String? = null,
)

/** Reads and writes the header fields of requests and answers that are passed on. Pure. */
public interface ForwardingProtocol {
    public fun describe(request: InboundRequest): RequestDescription

    /** Returns the fields for the upstream: those of the caller that pass, and those of [order]. */
    public fun fieldsForUpstream(request: InboundRequest, order: UpstreamOrder): HeaderFields

    public fun describe(status: Int, fields: HeaderFields): AnswerDescription

    /** Returns whether an answer with [fields] belongs to the request [id]. */
    public fun belongsTo(id: RequestId?, fields: HeaderFields): Boolean

    /** Returns the fields of an upstream's answer for the caller. */
    public fun fieldsForCaller(fields: HeaderFields): HeaderFields

    /** Returns the field that tells a caller when to come back. */
    public fun retryAfter(delay: Duration): HeaderField
}
