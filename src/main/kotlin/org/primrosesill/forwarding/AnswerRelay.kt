/*
 * Hands the answer of an upstream to the caller. Plain answers are read to their end first, so that a broken one can still
 * be replaced; streams pass event by event, and only whole events, so that one can go on at another upstream.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.EventStreamParser
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.request.BodyPart
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamBody
import org.primrosesill.route.RouteKind
import java.io.ByteArrayOutputStream

internal class AnswerRelay(private val dependencies: ForwarderDependencies) {
    private val protocol = dependencies.protocol

    suspend fun deliver(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
        promptWasRead: () -> Unit,
    ): AttemptEnd {
        val description = protocol.describe(answer.status, answer.headers)
        dependencies.activity.answeredFrom(upstream.registration.availabilityZone)
        dependencies.activity.heard(upstream.id)
        description.load?.let { dependencies.loads.observe(upstream.id, it.running + it.waiting) }
        val success = answer.status in 200..299
        return when {
            description.notRun -> AttemptEnd.NotRun("status ${answer.status}")
            description.encoded -> AttemptEnd.Unknown("the body is encoded")
            !description.signed -> AttemptEnd.Unknown("status ${answer.status} without a signature")
            success && job.route.kind == RouteKind.STREAM -> stream(job, upstream, answer, caller, promptWasRead)
            else -> plain(job, upstream, answer, caller)
        }
    }

    private suspend fun plain(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
    ): AttemptEnd {
        val buffer = ByteArrayOutputStream()
        val end =
            withTimeoutOrNull(job.timeLeft()) { fill(buffer, answer.body) } ?: BodyPart.Cut("the deadline passed")
        if (end is BodyPart.Cut) {
            dependencies.activity.failed(upstream.id)
            return AttemptEnd.Unknown(end.reason)
        }
        if (answer.status >= 500) dependencies.activity.failedRequest(upstream.id)
        if (caller.started) return AttemptEnd.Unknown("the stream went on with status ${answer.status}")
        if (answer.status >= 500 && job.route.idempotent) {
            return AttemptEnd.Failed(headOf(answer), buffer.toByteArray())
        }
        // These statuses promise that the request did not run, which the upstream does not say.
        if (answer.status in PROMISING_STATUSES) return AttemptEnd.Unknown("status ${answer.status} without a promise")
        if (answer.status < 500) dependencies.activity.succeeded(upstream.id)
        dependencies.metrics.answered(job.pool, job.request.arrivedAt.elapsedNow())
        caller.respond(headOf(answer), buffer.toByteArray())
        return AttemptEnd.Delivered(answer.status)
    }

    private suspend fun fill(buffer: ByteArrayOutputStream, body: UpstreamBody): BodyPart {
        while (true) {
            val part = body.next()
            if (part !is BodyPart.Bytes) return part
            buffer.write(part.bytes)
        }
    }

    private suspend fun stream(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
        promptWasRead: () -> Unit,
    ): AttemptEnd {
        val parser = EventStreamParser()
        var events = 0
        while (true) {
            when (val part = nextPart(job, answer.body, events)) {
                is BodyPart.Bytes -> {
                    dependencies.activity.heard(upstream.id)
                    for (event in parser.feed(part.bytes)) {
                        if (events++ == 0) promptWasRead()
                        if (!caller.started) dependencies.metrics.answered(job.pool, job.request.arrivedAt.elapsedNow())
                        if (!caller.started) caller.start(headOf(answer))
                        event.id?.let { job.lastEventId = it }
                        caller.write(event.bytes)
                    }
                    // The caller waits for the first event; later ones may arrive in small groups.
                    if (events > 0) answer.body.gather()
                }
                is BodyPart.Cut -> {
                    dependencies.activity.failed(upstream.id)
                    return broken(job, caller, part.reason)
                }
                BodyPart.End -> {
                    if (!caller.started) caller.start(headOf(answer))
                    caller.finish()
                    dependencies.activity.succeeded(upstream.id)
                    return AttemptEnd.Delivered(answer.status)
                }
            }
        }
    }

    /** A stream that may go on elsewhere is not left with an upstream that has fallen silent. */
    private suspend fun nextPart(job: ForwardingJob, body: UpstreamBody, events: Int): BodyPart {
        val left = job.timeLeft()
        val patience = if (events == 0) answerPatience(job.route) else pausePatience(job.route)
        val wait = if (job.route.idempotent) minOf(left, patience) else left
        return withTimeoutOrNull(wait) { body.next() } ?: BodyPart.Cut("nothing came for $wait")
    }

    private fun broken(job: ForwardingJob, caller: OutboundAnswer, reason: String): AttemptEnd =
        if (caller.started && !job.route.resumable) AttemptEnd.Cut(reason) else AttemptEnd.Unknown(reason)

    private fun headOf(answer: UpstreamAnswer) =
        OutboundHead(answer.status, protocol.fieldsForCaller(answer.headers), answer.reason)

    private companion object {
        val PROMISING_STATUSES = setOf(408, 421, 429, 503)
    }
}
