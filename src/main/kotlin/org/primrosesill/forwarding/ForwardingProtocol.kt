/*
 * The metadata that requests and responses carry in their header fields. An adapter maps it to the names on the wire.
 */
package org.primrosesill.forwarding

import org.primrosesill.load.LoadReport
import org.primrosesill.model.CustomerId
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.Prompt
import org.primrosesill.request.HeadMatch
import org.primrosesill.request.UpstreamResponse
import kotlin.time.Duration

/**
 * The metadata in the header fields of a caller's request.
 *
 * @property id identifies this attempt of the caller; null when the request has none
 * @property timeLeft time until the caller's deadline, or null when the request has none
 * @property credential of the client account, or null when the request has none
 * @property prompt null for requests to services other than engines
 * @property lastEventId id of the last event that the caller received, when it resumes a stream
 */
public class RequestMetadata(
    public val id: RequestId?,
    public val timeLeft: Duration?,
    public val credential: String?,
    public val prompt: Prompt?,
    public val lastEventId: String?,
)

/**
 * The metadata in the header fields of an upstream's response.
 *
 * @property signed whether the response has the upstream's signature; only such a response may be forwarded
 * @property notRun whether the upstream did not execute the request and never will
 * @property otherIncarnation whether another incarnation than the expected one responded at the address
 * @property load null when the upstream does not report it
 * @property contentEncoded whether the body has a content encoding, and so differs from what the upstream generated
 * @property leaving whether the upstream announces that it will stop, so that no new requests should be sent to it
 * @property retryDelay how long no requests should be sent to the upstream, or null
 */
public class ResponseMetadata(
    public val signed: Boolean,
    public val notRun: Boolean,
    public val otherIncarnation: Boolean,
    public val load: LoadReport?,
    public val contentEncoded: Boolean,
    public val leaving: Boolean,
    public val retryDelay: Duration?,
)

/**
 * The metadata that the router adds to a request for an upstream.
 *
 * @property upstream the incarnation to which the request is addressed
 * @property customer null when the route requires no credential
 * @property timeLeft time until the deadline, after which the response is of no use
 * @property priority from 0, the highest priority, to 9; null lets the upstream choose
 * @property lastEventId id of the last event that the caller received, when a stream is resumed at another upstream
 * @property prefixSource address of an upstream from which it can fetch parts of the prompt that it lacks, or null
 */
public class UpstreamRequestMetadata(
    public val upstream: UpstreamId,
    public val customer: CustomerId?,
    public val timeLeft: Duration,
    public val priority: Int?,
    public val lastEventId: String?,
    public val prefixSource: String? = null,
)

/** Reads and writes the header fields of forwarded requests and responses. Functions are pure. */
public interface ForwardingProtocol {
    public fun parse(request: InboundRequest): RequestMetadata

    /** Returns the fields for the upstream: those of the caller that may be forwarded, and those of [metadata]. */
    public fun upstreamRequestHeaders(request: InboundRequest, metadata: UpstreamRequestMetadata): HeaderFields

    public fun parse(status: Int, fields: HeaderFields): ResponseMetadata

    /** Returns whether a response with [fields] belongs to the request [id]. */
    public fun matchRequest(id: RequestId?, fields: HeaderFields): HeadMatch

    /** Returns the fields of an upstream's response that are forwarded to the caller. */
    public fun callerResponseHeaders(fields: HeaderFields): HeaderFields

    /** Returns the field that announces the [delay] after which a caller may retry. */
    public fun retryAfter(delay: Duration): HeaderField
}

/** Returns the head of [response] as it is forwarded to the caller. */
internal fun ForwardingProtocol.callerResponseHead(response: UpstreamResponse): ResponseHead =
    ResponseHead(response.status, callerResponseHeaders(response.headers), response.reason)
