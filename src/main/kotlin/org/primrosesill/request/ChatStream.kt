/*
 * Relays a chat stream event by event. The head goes to the caller with the first event, so that a failure before it
 * still has its own status. A cut stream is resumed at the same engine after the last event that the caller has.
 */
package org.primrosesill.request

import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.answer.StreamEvent
import org.primrosesill.answer.StreamProgress
import org.primrosesill.answer.StreamStep
import org.primrosesill.answer.belongsTo
import org.primrosesill.answer.completionTokens
import org.primrosesill.generated.Problem
import org.primrosesill.model.Failure
import org.primrosesill.routing.UpstreamView
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Resumes that bring no event before the stream is given up. */
private const val MAXIMUM_FRUITLESS_RESUMES = 3

private val resumePause = 50.milliseconds

internal class ChatStream(
    private val work: Work,
    private val upstream: UpstreamView,
    private val sent: UpstreamCall,
    private val client: UpstreamClient,
    private val metrics: RequestMetrics,
    private val timeSource: TimeSource.WithComparableMarks,
    private val startedAt: ComparableTimeMark,
) {
    private val progress = StreamProgress()
    private var lastEventAt: ComparableTimeMark? = null

    /** Relays [answer] to [caller]. */
    suspend fun deliver(answer: UpstreamAnswer, caller: CallerAnswer): Outcome {
        val source = Source(answer.body)
        val first =
            when (val read = source.next()) {
                is Read.Event -> read
                is Read.Cut -> return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, read.reason))
            }
        var failure: Failure? = null
        caller.stream(AnswerHead(answer.status, headersForCaller(answer.headers))) { writer ->
            failure = relay(first, source, writer)
            failure?.let { writer.write(errorEvent(it)) }
            if (failure == null) StreamEnd.WHOLE else StreamEnd.CUT
        }
        return failure?.let(Outcome::Cut) ?: Outcome.Delivered(answer.status)
    }

    private suspend fun relay(first: Read.Event, source: Source, writer: AnswerWriter): Failure? {
        var reason = forward(first, source, writer) ?: return null
        var fruitless = 0
        while (progress.resumable && fruitless < MAXIMUM_FRUITLESS_RESUMES && work.timeLeft().isPositive()) {
            val eventsBefore = progress.events
            if (fruitless > 0) delay(resumePause * fruitless)
            reason = resume(writer) ?: return null
            fruitless = if (progress.events > eventsBefore) 0 else fruitless + 1
        }
        return Failure.AnswerCut(upstream.id, reason)
    }

    /** Asks the engine for the rest of the stream. Returns null when it is whole, else why it is not. */
    private suspend fun resume(writer: AnswerWriter): String? {
        metrics.resumed(work.pool)
        val call =
            UpstreamCall(
                upstream = upstream.id,
                address = upstream.address,
                method = "GET",
                path = streamPath(sent.requestId),
                requestId = sent.requestId,
                headers = mapOf("last-event-id" to progress.lastId.toString()) + deadlineHeaders(work),
                body = null,
                timeout = work.timeLeft(),
            )
        val result =
            client.exchange(call) { answer ->
                when {
                    !belongsTo(sent.requestId, answer.headers["x-request-id"].orEmpty()) -> {
                        metrics.dropped(work.pool)
                        "the resumed answer belongs to another request"
                    }
                    answer.status != 200 -> "the engine refused to resume with status ${answer.status}"
                    else -> Source(answer.body).let { source -> forwardAll(source, writer) }
                }
            }
        return when (result) {
            is ExchangeResult.Answered -> result.value
            is ExchangeResult.NotSent -> result.reason
            is ExchangeResult.Broken -> result.reason
            ExchangeResult.TimedOut -> "the deadline passed"
        }
    }

    private suspend fun forwardAll(source: Source, writer: AnswerWriter): String? =
        when (val read = source.next()) {
            is Read.Event -> forward(read, source, writer)
            is Read.Cut -> read.reason
        }

    /** Hands events on until the stream is whole (null) or cut (the reason). */
    private suspend fun forward(first: Read.Event, source: Source, writer: AnswerWriter): String? {
        var read: Read = first
        while (read is Read.Event) {
            writer.write(read.event.bytes)
            if (read.step == StreamStep.DONE) return null
            measure(read.event)
            read = source.next()
        }
        return (read as Read.Cut).reason
    }

    private fun measure(event: StreamEvent) {
        val now = timeSource.markNow()
        val previous = lastEventAt
        if (previous == null) {
            metrics.firstToken(work.pool, now - startedAt)
        } else {
            metrics.betweenTokens(work.pool, now - previous)
        }
        lastEventAt = now
        work.tokens = event.data?.let(::completionTokens) ?: progress.events
    }

    private sealed interface Read {
        class Event(val event: StreamEvent, val step: StreamStep) : Read

        class Cut(val reason: String) : Read
    }

    /** The events of one connection that the caller does not have yet. */
    private inner class Source(private val body: UpstreamBody) {
        private val parser = EventStreamParser()
        private val ready = ArrayDeque<StreamEvent>()

        suspend fun next(): Read {
            while (true) {
                val event = ready.removeFirstOrNull()
                if (event == null) {
                    fill()?.let { return Read.Cut(it) }
                    continue
                }
                when (val step = progress.step(event)) {
                    StreamStep.FORWARD, StreamStep.DONE -> return Read.Event(event, step)
                    StreamStep.LOST -> return Read.Cut("event ${event.id} arrived after event ${progress.lastId}")
                    StreamStep.COMMENT, StreamStep.DOUBLED -> continue
                }
            }
        }

        private suspend fun fill(): String? {
            when (val part = body.nextBefore(work)) {
                is BodyPart.Bytes -> ready.addAll(parser.feed(part.bytes))
                BodyPart.End -> return "the stream ended without [DONE]"
                is BodyPart.Cut -> return part.reason
            }
            return if (parser.overflow) "an event is too large" else null
        }
    }

    private fun errorEvent(failure: Failure): ByteArray {
        val problem = Json.encodeToString(Problem.serializer(), problemOf(failure, work.id))
        return "event: error\ndata: {\"error\":$problem}\n\n".toByteArray()
    }
}
