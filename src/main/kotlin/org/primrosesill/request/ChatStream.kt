/*
 * Relays a chat stream event by event. The head goes to the caller with the first event, so that a failure before it
 * still has its own status. A cut stream is resumed at the same engine after the last event that the caller has.
 */
package org.primrosesill.request

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.answer.StreamEvent
import org.primrosesill.answer.StreamProgress
import org.primrosesill.answer.StreamStep
import org.primrosesill.answer.belongsTo
import org.primrosesill.answer.completionTokens
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.Problem
import org.primrosesill.model.Failure
import org.primrosesill.routing.UpstreamView
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** Resumes that bring no event before the stream is given up. */
private const val MAXIMUM_FRUITLESS_RESUMES = 3

private val resumePause = 50.milliseconds

internal class ChatStream(
    private val work: Work,
    private val upstream: UpstreamView,
    private val sent: UpstreamCall,
    private val dependencies: RequestFlowDependencies,
    private val metrics: RequestMetrics,
    private val startedAt: ComparableTimeMark,
) {
    private val progress = StreamProgress()
    private var lastEventAt: ComparableTimeMark? = null

    /** Relays [answer] to [caller]. */
    suspend fun deliver(answer: UpstreamAnswer, caller: CallerAnswer): Outcome {
        val source = Source(answer.body)
        val event =
            when (val first = withTimeoutOrNull(work.timeLeft()) { source.next() } ?: Read.Cut("the deadline passed")) {
                is Read.Event -> first
                is Read.Cut -> return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, first.reason))
            }
        var failure: Failure? = null
        caller.stream(AnswerHead(answer.status, headersForCaller(answer.headers))) { writer ->
            val end = beforeDeadline(work) { relay(event, source, writer) }
            if (end is BodyPart.Cut) {
                failure = Failure.AnswerCut(upstream.id, end.reason).also { writer.write(errorEvent(it)) }
            }
            if (end is BodyPart.Cut) StreamEnd.CUT else StreamEnd.WHOLE
        }
        return failure?.let(Outcome::Cut) ?: Outcome.Delivered(answer.status)
    }

    private suspend fun relay(first: Read.Event, source: Source, writer: AnswerWriter): BodyPart {
        var end = forward(first, source, writer)
        var fruitless = 0
        while (end != BodyPart.End && progress.resumable && fruitless < MAXIMUM_FRUITLESS_RESUMES) {
            val eventsBefore = progress.events
            if (fruitless > 0) delay(resumePause * fruitless)
            end = resume(writer)
            fruitless = if (progress.events > eventsBefore) 0 else fruitless + 1
        }
        return end
    }

    /** Asks the engine for the rest of the stream and hands it on. */
    private suspend fun resume(writer: AnswerWriter): BodyPart {
        metrics.resumed(work.pool)
        val result = dependencies.client.exchange(resumeCall()) { answer -> resumed(answer, writer) }
        return when (result) {
            is ExchangeResult.Answered -> result.value
            is ExchangeResult.NotSent -> BodyPart.Cut(result.reason)
            is ExchangeResult.Broken -> BodyPart.Cut(result.reason)
            ExchangeResult.TimedOut -> BodyPart.Cut("the deadline passed")
        }
    }

    private fun resumeCall() =
        UpstreamCall(
            upstream = upstream.id,
            address = upstream.address,
            method = "GET",
            path = streamPath(sent.requestId),
            requestId = sent.requestId,
            headers =
                fieldsOf(sent.requestId, mapOf("last-event-id" to progress.lastId.toString()) + deadlineHeaders(work)),
            body = null,
            timeout = work.timeLeft(),
        )

    private suspend fun resumed(answer: UpstreamAnswer, writer: AnswerWriter): BodyPart {
        if (!belongsTo(sent.requestId, answer.headers.all("x-request-id"))) {
            metrics.dropped(work.pool)
            val subject = EventSubject(work.id, upstream.id, work.contract.customer)
            dependencies.events.record(EventType.ANSWER_DROPPED, "the resumed answer has another request id", subject)
            return BodyPart.Cut("the resumed answer belongs to another request")
        }
        if (answer.status != 200) return BodyPart.Cut("the engine refused to resume with status ${answer.status}")
        val source = Source(answer.body)
        return when (val read = source.next()) {
            is Read.Event -> forward(read, source, writer)
            is Read.Cut -> BodyPart.Cut(read.reason)
        }
    }

    /** Hands events on until the stream is whole or cut. */
    private suspend fun forward(first: Read.Event, source: Source, writer: AnswerWriter): BodyPart {
        var read: Read = first
        while (read is Read.Event) {
            writer.write(read.event.bytes)
            if (read.step == StreamStep.DONE) return BodyPart.End
            measure(read.event)
            read = source.next()
        }
        return BodyPart.Cut((read as Read.Cut).reason)
    }

    private fun measure(event: StreamEvent) {
        val now = dependencies.timeSource.markNow()
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
            when (val part = body.next()) {
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
