/*
 * Takes the answer of an upstream to a request: checks that it belongs to the request, and hands it to the caller as it
 * comes, or keeps it when it has to be stored for repeats.
 */
package org.primrosesill.request

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.completionTokens
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.Failure
import org.primrosesill.routing.UpstreamView
import java.io.ByteArrayOutputStream

/** Largest answer that is kept for repeats of its idempotency key. */
internal const val MAXIMUM_STORED_BYTES = 64 * 1024

/** Bytes at the end of a plain chat answer in which its `usage` is looked for. */
private const val USAGE_TAIL_BYTES = 512

/** Reads a part, or gives the body up as cut when the deadline of [work] passes. */
internal suspend fun UpstreamBody.nextBefore(work: Work): BodyPart =
    withTimeoutOrNull(work.timeLeft()) { next() } ?: BodyPart.Cut("the deadline passed")

internal fun headOf(answer: UpstreamAnswer): AnswerHead =
    AnswerHead(answer.status, headersForCaller(answer.headers), answer.header("content-length")?.toLongOrNull())

/** Passes a plain answer through to [caller] without keeping it. */
internal suspend fun passThrough(
    work: Work,
    upstream: UpstreamView,
    answer: UpstreamAnswer,
    caller: CallerAnswer,
    beginning: ByteArray = ByteArray(0),
): Outcome {
    var cut: BodyPart.Cut? = null
    caller.stream(headOf(answer)) { writer ->
        if (beginning.isNotEmpty()) writer.write(beginning)
        cut = copy(work, answer.body, writer)
        if (cut == null) StreamEnd.WHOLE else StreamEnd.CUT
    }
    return cut?.let { Outcome.Cut(Failure.AnswerCut(upstream.id, it.reason)) } ?: Outcome.Delivered(answer.status)
}

private suspend fun copy(work: Work, body: UpstreamBody, writer: AnswerWriter): BodyPart.Cut? {
    var tail = ByteArray(0)
    while (true) {
        when (val part = body.nextBefore(work)) {
            is BodyPart.Bytes -> {
                writer.write(part.bytes)
                tail = (tail + part.bytes).let { it.copyOfRange(maxOf(0, it.size - USAGE_TAIL_BYTES), it.size) }
            }
            BodyPart.End -> {
                if (work.kind == PoolKind.CHAT) work.tokens = completionTokens(tail.decodeToString()) ?: 0
                return null
            }
            is BodyPart.Cut -> return part
        }
    }
}

/** Keeps a whole answer of up to [MAXIMUM_STORED_BYTES]; a larger one is passed through. */
internal suspend fun keepWhole(
    work: Work,
    upstream: UpstreamView,
    answer: UpstreamAnswer,
    caller: CallerAnswer,
): Outcome {
    val buffer = ByteArrayOutputStream()
    while (buffer.size() <= MAXIMUM_STORED_BYTES) {
        when (val part = answer.body.nextBefore(work)) {
            is BodyPart.Bytes -> buffer.write(part.bytes)
            BodyPart.End -> {
                val body = buffer.toByteArray()
                val head = AnswerHead(answer.status, headersForCaller(answer.headers), body.size.toLong())
                return Outcome.Buffered(PlainAnswer(head, body))
            }
            is BodyPart.Cut -> return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, part.reason))
        }
    }
    return passThrough(work, upstream, answer, caller, buffer.toByteArray())
}
