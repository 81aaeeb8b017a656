/*
 * Relays a chat stream event by event. The response head is sent to the caller with the first event, so that a failure
 * before it can still be reported with its own status. A truncated stream is resumed at the same engine after the last
 * event that was sent to the caller.
 */
package org.primrosesill.request

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.answer.StreamAction
import org.primrosesill.answer.StreamEvent
import org.primrosesill.answer.StreamProgress
import org.primrosesill.answer.completionTokens
import org.primrosesill.answer.matchesRequestId
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.Problem
import org.primrosesill.model.Failure
import org.primrosesill.routing.UpstreamView
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** Consecutive resumes without a new event after which the stream is aborted. */
private const val MAXIMUM_RESUMES_WITHOUT_EVENT = 3

private val resumeDelay = 50.milliseconds

internal class ChatStreamRelay(
    private val context: AcceptedRequest,
    private val upstream: UpstreamView,
    private val originalCall: UpstreamCall,
    private val dependencies: RequestFlowDependencies,
    private val metrics: RequestMetrics,
    private val startedAt: ComparableTimeMark,
) {
    private val progress = StreamProgress()
    private var lastEventAt: ComparableTimeMark? = null

    /** Relays [response] to [callerResponse], and resumes the stream if it is truncated. */
    suspend fun relay(response: UpstreamResponse, callerResponse: CallerResponse): Outcome {
        val reader = EventReader(response.body)
        val event =
            when (val read = withTimeoutOrNull(context.timeLeft()) { reader.next() } ?: Read.Error("deadline passed")) {
                is Read.Event -> read
                is Read.Error -> return Outcome.Unknown(Failure.OutcomeUnknown(upstream.id, read.reason))
            }
        var failure: Failure? = null
        callerResponse.stream(CallerResponseHead(response.status, headersForCaller(response.headers))) { writer ->
            val end = untilDeadline(context) { relayWithResumes(event, reader, writer) }
            if (end is BodyPart.Truncated) {
                failure = Failure.AnswerCut(upstream.id, end.reason).also { writer.write(errorEvent(it)) }
            }
            if (end is BodyPart.Truncated) StreamEnd.TRUNCATED else StreamEnd.COMPLETE
        }
        return failure?.let(Outcome::Truncated) ?: Outcome.Delivered(response.status)
    }

    private suspend fun relayWithResumes(first: Read.Event, reader: EventReader, writer: ResponseBodyWriter): BodyPart {
        var end = forwardEvents(first, reader, writer)
        var resumesWithoutEvent = 0
        while (end != BodyPart.End && progress.resumable && resumesWithoutEvent < MAXIMUM_RESUMES_WITHOUT_EVENT) {
            val eventsBefore = progress.events
            if (resumesWithoutEvent > 0) delay(resumeDelay * resumesWithoutEvent)
            end = resume(writer)
            resumesWithoutEvent = if (progress.events > eventsBefore) 0 else resumesWithoutEvent + 1
        }
        return end
    }

    /** Requests the rest of the stream from the engine and relays it to the caller. */
    private suspend fun resume(writer: ResponseBodyWriter): BodyPart {
        metrics.resumed(context.pool)
        val result = dependencies.client.exchange(resumeCall()) { response -> processResumeResponse(response, writer) }
        return when (result) {
            is ExchangeResult.Responded -> result.value
            is ExchangeResult.NotSent -> BodyPart.Truncated(result.reason)
            is ExchangeResult.ConnectionFailed -> BodyPart.Truncated(result.reason)
            ExchangeResult.TimedOut -> BodyPart.Truncated("deadline passed")
        }
    }

    private fun resumeCall() =
        UpstreamCall(
            upstream = upstream.id,
            address = upstream.address,
            method = "GET",
            path = streamPath(originalCall.requestId),
            requestId = originalCall.requestId,
            headers =
                headersWithId(
                    originalCall.requestId,
                    mapOf("last-event-id" to progress.lastId.toString()) + deadlineHeaders(context),
                ),
            body = null,
            timeout = context.timeLeft(),
        )

    private suspend fun processResumeResponse(response: UpstreamResponse, writer: ResponseBodyWriter): BodyPart {
        if (!matchesRequestId(originalCall.requestId, response.headers.all("x-request-id"))) {
            metrics.dropped(context.pool)
            val subject = EventSubject(context.id, upstream.id, context.contract.customer)
            dependencies.events.record(EventType.ANSWER_DROPPED, "the resumed response has another request id", subject)
            return BodyPart.Truncated("the resumed response belongs to another request")
        }
        if (response.status != 200) {
            return BodyPart.Truncated("the engine rejected the resume with status ${response.status}")
        }
        val reader = EventReader(response.body)
        return when (val read = reader.next()) {
            is Read.Event -> forwardEvents(read, reader, writer)
            is Read.Error -> BodyPart.Truncated(read.reason)
        }
    }

    /** Forwards events to the caller until the stream is complete or truncated. */
    private suspend fun forwardEvents(first: Read.Event, reader: EventReader, writer: ResponseBodyWriter): BodyPart {
        var read: Read = first
        while (read is Read.Event) {
            writer.write(read.event.bytes)
            if (read.action == StreamAction.DONE) return BodyPart.End
            recordProgress(read.event)
            read = reader.next()
        }
        return BodyPart.Truncated((read as Read.Error).reason)
    }

    private fun recordProgress(event: StreamEvent) {
        val now = dependencies.timeSource.markNow()
        val previous = lastEventAt
        if (previous == null) {
            metrics.firstToken(context.pool, now - startedAt)
        } else {
            metrics.betweenTokens(context.pool, now - previous)
        }
        lastEventAt = now
        context.generatedTokens = event.data?.let(::completionTokens) ?: progress.events
    }

    private sealed interface Read {
        class Event(val event: StreamEvent, val action: StreamAction) : Read

        class Error(val reason: String) : Read
    }

    /** Reads the events of one connection, without those that the caller has received already. */
    private inner class EventReader(private val body: UpstreamBody) {
        private val parser = EventStreamParser()
        private val parsedEvents = ArrayDeque<StreamEvent>()

        suspend fun next(): Read {
            while (true) {
                val event = parsedEvents.removeFirstOrNull()
                if (event == null) {
                    readPart()?.let { return Read.Error(it) }
                    continue
                }
                when (val action = progress.step(event)) {
                    StreamAction.FORWARD, StreamAction.DONE -> return Read.Event(event, action)
                    StreamAction.GAP -> return Read.Error("event ${event.id} arrived after event ${progress.lastId}")
                    StreamAction.COMMENT, StreamAction.DUPLICATE -> continue
                }
            }
        }

        private suspend fun readPart(): String? {
            when (val part = body.next()) {
                is BodyPart.Bytes -> parsedEvents.addAll(parser.feed(part.bytes))
                BodyPart.End -> return "the stream ended without [DONE]"
                is BodyPart.Truncated -> return part.reason
            }
            return if (parser.overflow) "an event is too large" else null
        }
    }

    private fun errorEvent(failure: Failure): ByteArray {
        val problem = Json.encodeToString(Problem.serializer(), problemOf(failure, context.id))
        return "event: error\ndata: {\"error\":$problem}\n\n".toByteArray()
    }
}
