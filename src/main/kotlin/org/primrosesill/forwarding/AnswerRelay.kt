/*
 * Hands the answer of an upstream to the caller. Plain answers are read to their end first, so that a broken one can still
 * be replaced, unless they are long; streams pass event by event, and only whole events, so that one can go on at another
 * upstream.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.generated.EventType
import org.primrosesill.request.BodyPart
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamBody
import org.primrosesill.route.RouteKind
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

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
        takeNotices(description, upstream, job)
        val success = answer.status in 200..299
        return when {
            description.notRun -> AttemptEnd.NotRun("status ${answer.status}")
            description.encoded -> AttemptEnd.Unknown("the body is encoded")
            !description.signed -> AttemptEnd.Unknown("status ${answer.status} without a signature")
            success && job.route.kind == RouteKind.STREAM -> stream(job, upstream, answer, caller, promptWasRead)
            else -> plain(job, upstream, answer, caller)
        }
    }

    private fun takeNotices(description: AnswerDescription, upstream: KnownUpstream, job: ForwardingJob) {
        val request = job.description.id
        if (description.leaving && dependencies.notices.takeLeaving(upstream)) {
            dependencies.events.record(
                EventType.UPSTREAM_FAILING,
                request,
                upstream.id,
                "its answer says that it leaves",
            )
        }
        description.pause?.let {
            dependencies.notices.takePause(upstream, it)
            dependencies.events.record(EventType.UPSTREAM_FAILING, request, upstream.id, "it wants no request for $it")
        }
    }

    private suspend fun plain(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
    ): AttemptEnd {
        val held = ByteArrayOutputStream()
        val end = withTimeoutOrNull(job.timeLeft()) { hold(held, answer.body) } ?: TIME_OVER
        if (end is BodyPart.Cut) {
            dependencies.activity.failed(upstream.id)
            return AttemptEnd.Unknown(end.reason)
        }
        if (answer.status >= 500) dependencies.activity.failedRequest(upstream.id)
        if (caller.started) return AttemptEnd.Unknown("the stream went on with status ${answer.status}")
        if (answer.status >= 500 && job.route.idempotent) {
            if (end is BodyPart.Bytes) return AttemptEnd.Unknown("status ${answer.status} with a body too long to keep")
            return AttemptEnd.Failed(headOf(answer), held.toByteArray())
        }
        // These statuses promise that the request did not run, which the upstream does not say.
        if (answer.status in PROMISING_STATUSES) return AttemptEnd.Unknown("status ${answer.status} without a promise")
        dependencies.metrics.answered(job.pool, job.request.arrivedAt.elapsedNow())
        if (end is BodyPart.Bytes) return passOn(job, upstream, answer, caller, held.toByteArray())
        if (answer.status < 500) dependencies.activity.succeeded(upstream.id)
        caller.respond(headOf(answer), held.toByteArray())
        return AttemptEnd.Delivered(answer.status)
    }

    /** Reads [body] into [held], and returns its end, or the last part of what is as much as may be held. */
    private suspend fun hold(held: ByteArrayOutputStream, body: UpstreamBody): BodyPart {
        while (true) {
            val part = body.next()
            if (part !is BodyPart.Bytes) return part
            held.write(part.bytes)
            if (held.size() > MAXIMUM_HELD_BYTES) return part
        }
    }

    /** Passes on an answer that is too long to be held, of which [begun] has arrived, as fast as the caller takes it. */
    private suspend fun passOn(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
        begun: ByteArray,
    ): AttemptEnd {
        caller.start(headOf(answer))
        val end =
            withTimeoutOrNull(job.timeLeft()) {
                caller.write(begun)
                var part = answer.body.next()
                while (part is BodyPart.Bytes) {
                    caller.write(part.bytes)
                    part = answer.body.next()
                }
                part
            } ?: TIME_OVER
        if (end is BodyPart.Cut) {
            dependencies.activity.failed(upstream.id)
            return AttemptEnd.Cut(end.reason)
        }
        caller.finish()
        if (answer.status < 500) dependencies.activity.succeeded(upstream.id)
        return AttemptEnd.Delivered(answer.status)
    }

    private suspend fun stream(
        job: ForwardingJob,
        upstream: KnownUpstream,
        answer: UpstreamAnswer,
        caller: OutboundAnswer,
        promptWasRead: () -> Unit,
    ): AttemptEnd {
        val reader = StreamReader(answer.body)
        var begun = false
        while (true) {
            when (val part = reader.next(patience(job, begun))) {
                is StreamPart.Events -> {
                    dependencies.activity.heard(upstream.id)
                    if (!begun) promptWasRead()
                    begun = true
                    if (!caller.started) dependencies.metrics.answered(job.pool, job.request.arrivedAt.elapsedNow())
                    if (!caller.started) caller.start(headOf(answer))
                    for (event in part.events) {
                        event.id?.let { job.lastEventId = it }
                        caller.write(event.bytes)
                    }
                    // The caller waits for the first event; later ones may arrive in small groups.
                    answer.body.gather()
                }
                is StreamPart.Broken -> {
                    dependencies.activity.failed(upstream.id)
                    return broken(job, caller, part.reason)
                }
                StreamPart.End -> {
                    if (!caller.started) caller.start(headOf(answer))
                    caller.finish()
                    dependencies.activity.succeeded(upstream.id)
                    return AttemptEnd.Delivered(answer.status)
                }
            }
        }
    }

    /** A stream that may go on elsewhere is not left with an upstream that makes no progress. */
    private fun patience(job: ForwardingJob, begun: Boolean): Duration {
        if (!job.route.idempotent) return job.timeLeft()
        return minOf(job.timeLeft(), if (begun) pausePatience(job.route) else answerPatience(job.route))
    }

    private fun broken(job: ForwardingJob, caller: OutboundAnswer, reason: String): AttemptEnd =
        if (caller.started && !job.route.resumable) AttemptEnd.Cut(reason) else AttemptEnd.Unknown(reason)

    private fun headOf(answer: UpstreamAnswer) =
        OutboundHead(answer.status, protocol.fieldsForCaller(answer.headers), answer.reason)

    private companion object {
        val PROMISING_STATUSES = setOf(408, 421, 429, 503)
        val TIME_OVER = BodyPart.Cut("the deadline passed")

        /** An answer up to this length can be replaced when it breaks off; the memory of a VM bounds how many are held. */
        const val MAXIMUM_HELD_BYTES = 256 * 1024
    }
}
