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

/** Runs [block], and gives the body up as cut when the deadline of [work] passes. One timer serves the whole body. */
internal suspend fun beforeDeadline(work: Work, block: suspend () -> BodyPart): BodyPart =
    withTimeoutOrNull(work.timeLeft()) { block() } ?: BodyPart.Cut("the deadline passed")

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
    var end: BodyPart = BodyPart.End
    caller.stream(headOf(answer)) { writer ->
        if (beginning.isNotEmpty()) writer.write(beginning)
        end = beforeDeadline(work) { copy(work, answer.body, writer) }
        if (end == BodyPart.End) StreamEnd.WHOLE else StreamEnd.CUT
    }
    val cut = end as? BodyPart.Cut ?: return Outcome.Delivered(answer.status)
    return Outcome.Cut(Failure.AnswerCut(upstream.id, cut.reason))
}

/** Returns the end of the body, or where it was cut. */
private suspend fun copy(work: Work, body: UpstreamBody, writer: AnswerWriter): BodyPart {
    var tail = ByteArray(0)
    while (true) {
        when (val part = body.next()) {
            is BodyPart.Bytes -> {
                writer.write(part.bytes)
                tail = (tail + part.bytes).let { it.copyOfRange(maxOf(0, it.size - USAGE_TAIL_BYTES), it.size) }
            }
            BodyPart.End -> {
                if (work.kind == PoolKind.CHAT) work.tokens = completionTokens(tail.decodeToString()) ?: 0
                return part
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
    val last = beforeDeadline(work) { fill(buffer, answer.body) }
    return when (last) {
        is BodyPart.Bytes -> passThrough(work, upstream, answer, caller, buffer.toByteArray())
        BodyPart.End -> {
            val head = AnswerHead(answer.status, headersForCaller(answer.headers), buffer.size().toLong())
            Outcome.Buffered(PlainAnswer(head, buffer.toByteArray()))
        }
        is BodyPart.Cut -> Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, last.reason))
    }
}

/** Returns the last part that was read: the end of the body, its cut, or the part that made it too large to store. */
private suspend fun fill(buffer: ByteArrayOutputStream, body: UpstreamBody): BodyPart {
    while (true) {
        val part = body.next()
        if (part !is BodyPart.Bytes) return part
        buffer.write(part.bytes)
        if (buffer.size() > MAXIMUM_STORED_BYTES) return part
    }
}
