/*
 * Relays a non-streaming response of an upstream to the caller as it arrives, or buffers it if it has to be stored for
 * later requests with the same idempotency key.
 */
package org.primrosesill.request

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.completionTokens
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.Failure
import org.primrosesill.routing.UpstreamView
import java.io.ByteArrayOutputStream

/** Largest response that is stored for later requests with the same idempotency key. */
internal const val MAXIMUM_STORED_BYTES = 64 * 1024

/** Bytes at the end of a non-streaming chat response that are searched for its `usage`. */
private const val USAGE_TAIL_BYTES = 512

/**
 * Runs [block], and returns [BodyPart.Truncated] if the deadline of [context] passes first. A single timer covers the
 * whole body.
 */
internal suspend fun untilDeadline(context: AcceptedRequest, block: suspend () -> BodyPart): BodyPart =
    withTimeoutOrNull(context.timeLeft()) { block() } ?: BodyPart.Truncated("deadline passed")

internal fun headOf(response: UpstreamResponse): CallerResponseHead =
    CallerResponseHead(
        response.status,
        headersForCaller(response.headers),
        response.header("content-length")?.toLongOrNull(),
    )

/** Relays a non-streaming response to [callerResponse] without storing it; [bufferedPrefix] was read from it before. */
internal suspend fun relayResponse(
    context: AcceptedRequest,
    upstream: UpstreamView,
    response: UpstreamResponse,
    callerResponse: CallerResponse,
    bufferedPrefix: ByteArray = ByteArray(0),
): Outcome {
    var end: BodyPart = BodyPart.End
    callerResponse.stream(headOf(response)) { writer ->
        if (bufferedPrefix.isNotEmpty()) writer.write(bufferedPrefix)
        end = untilDeadline(context) { relayBody(context, response.body, writer) }
        if (end == BodyPart.End) StreamEnd.COMPLETE else StreamEnd.TRUNCATED
    }
    val truncation = end as? BodyPart.Truncated ?: return Outcome.Delivered(response.status)
    return Outcome.Truncated(Failure.AnswerCut(upstream.id, truncation.reason))
}

/** Relays the body to the caller and returns its last part: [BodyPart.End] or [BodyPart.Truncated]. */
private suspend fun relayBody(context: AcceptedRequest, body: UpstreamBody, writer: ResponseBodyWriter): BodyPart {
    var tail = ByteArray(0)
    while (true) {
        when (val part = body.next()) {
            is BodyPart.Bytes -> {
                writer.write(part.bytes)
                tail = (tail + part.bytes).let { it.copyOfRange(maxOf(0, it.size - USAGE_TAIL_BYTES), it.size) }
            }
            BodyPart.End -> {
                if (context.kind ==
                    PoolKind.CHAT
                ) {
                    context.generatedTokens = completionTokens(tail.decodeToString()) ?: 0
                }
                return part
            }
            is BodyPart.Truncated -> return part
        }
    }
}

/** Buffers a complete response of up to [MAXIMUM_STORED_BYTES], and relays a larger one without storing it. */
internal suspend fun bufferResponse(
    context: AcceptedRequest,
    upstream: UpstreamView,
    response: UpstreamResponse,
    callerResponse: CallerResponse,
): Outcome {
    val buffer = ByteArrayOutputStream()
    val last = untilDeadline(context) { readInto(buffer, response.body) }
    return when (last) {
        is BodyPart.Bytes -> relayResponse(context, upstream, response, callerResponse, buffer.toByteArray())
        BodyPart.End -> {
            val head = CallerResponseHead(response.status, headersForCaller(response.headers), buffer.size().toLong())
            Outcome.Buffered(BufferedResponse(head, buffer.toByteArray()))
        }
        is BodyPart.Truncated -> Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, last.reason))
    }
}

/** Returns the last part read: [BodyPart.End], [BodyPart.Truncated], or the part that exceeded the size limit. */
private suspend fun readInto(buffer: ByteArrayOutputStream, body: UpstreamBody): BodyPart {
    while (true) {
        val part = body.next()
        if (part !is BodyPart.Bytes) return part
        buffer.write(part.bytes)
        if (buffer.size() > MAXIMUM_STORED_BYTES) return part
    }
}
