/*
 * Upstreams in virtual time, each of which responds to its calls at a pace of its own, and records the runs.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.toHeaderFields
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamBody
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.UpstreamResponse

/** A pause without an end. */
const val NO_END_MILLIS = Long.MAX_VALUE

/** How an upstream responds to a call. Times are milliseconds. */
sealed interface UpstreamReply {
    /** Accepts no connection after [millis]. */
    class Unreachable(val millis: Long) : UpstreamReply

    /** Closes the connection before a response after [millis]. */
    class Closes(val millis: Long) : UpstreamReply

    /** Responds after [millis] with [status], as to a request that was not run if [notRun]. */
    class Answers(val millis: Long, val status: Int, val notRun: Boolean = false) : UpstreamReply

    /**
     * Streams the remaining events, up to [LAST_EVENT].
     *
     * @property headMillis time to the head
     * @property pauses lengths of pauses by the numbers of the events before which the stream pauses
     * @property interval time between events
     * @property closesBefore number of the event in place of which the connection is closed, or 0
     * @property resumes whether the upstream goes on at the last event of the caller, and does not begin anew
     */
    class Streams(
        val headMillis: Long = 0,
        val pauses: Map<Int, Long> = emptyMap(),
        val interval: Long = 100,
        val closesBefore: Int = 0,
        val resumes: Boolean = true,
    ) : UpstreamReply

    companion object {
        const val LAST_EVENT = 10
    }
}

/**
 * One call.
 *
 * @property endMillis when its connection was closed or its response ended
 * @property firstEventMillis when it sent its first event, or null
 */
class UpstreamRun(val upstream: UpstreamId, val startMillis: Long) {
    var endMillis: Long? = null
    var firstEventMillis: Long? = null
}

/** @param replies the replies of each upstream to its calls, of which the last one is repeated */
class PacedUpstreams(private val replies: Map<String, List<UpstreamReply>>, private val nowMillis: () -> Long) :
    UpstreamClient {
    val runs = mutableListOf<UpstreamRun>()

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        val own = replies.getValue(call.upstream.value)
        val reply = own[minOf(runs.count { it.upstream == call.upstream }, own.lastIndex)]
        val run = UpstreamRun(call.upstream, nowMillis())
        runs += run
        try {
            return withTimeoutOrNull(call.timeout) { respond(reply, call, run, use) } ?: ExchangeResult.TimedOut
        } finally {
            run.endMillis = nowMillis()
        }
    }

    private suspend fun <T> respond(
        reply: UpstreamReply,
        call: UpstreamCall,
        run: UpstreamRun,
        use: suspend (UpstreamResponse) -> T,
    ): ExchangeResult<T> {
        if (reply is UpstreamReply.Unreachable) {
            pause(reply.millis)
            return ExchangeResult.NotSent("connection refused")
        }
        call.onSent()
        return when (reply) {
            is UpstreamReply.Closes -> {
                pause(reply.millis)
                ExchangeResult.ConnectionFailed("connection closed")
            }
            is UpstreamReply.Answers -> {
                pause(reply.millis)
                ExchangeResult.Responded(use(answer(reply)))
            }
            is UpstreamReply.Streams -> {
                pause(reply.headMillis)
                ExchangeResult.Responded(use(UpstreamResponse(200, SIGNED, body = eventsOf(reply, call, run))))
            }
            is UpstreamReply.Unreachable -> error("handled before")
        }
    }

    private fun answer(reply: UpstreamReply.Answers): UpstreamResponse {
        val parts = ArrayDeque(listOf(BodyPart.Bytes("ok".toByteArray()), BodyPart.End))
        val headers = if (reply.notRun) SIGNED + NOT_RUN else SIGNED
        return UpstreamResponse(reply.status, headers) { parts.removeFirst() }
    }

    private fun eventsOf(reply: UpstreamReply.Streams, call: UpstreamCall, run: UpstreamRun): UpstreamBody {
        var event = if (reply.resumes) call.headers["Last-Event-Id"]?.toInt() ?: 0 else 0
        return UpstreamBody {
            if (event == UpstreamReply.LAST_EVENT) {
                BodyPart.End
            } else {
                event++
                pause(reply.interval)
                pause(reply.pauses[event] ?: 0)
                if (event == reply.closesBefore) {
                    BodyPart.Truncated("connection closed")
                } else {
                    run.firstEventMillis = run.firstEventMillis ?: nowMillis()
                    BodyPart.Bytes(eventText(event).toByteArray())
                }
            }
        }
    }

    private suspend fun pause(millis: Long) = if (millis == NO_END_MILLIS) awaitCancellation() else delay(millis)

    companion object {
        private val SIGNED: HeaderFields =
            mapOf("X-Server-Signature" to "s", "X-Attempt-Id" to "r1").toHeaderFields()
        private val NOT_RUN: HeaderFields = mapOf("X-Not-Executed" to "1").toHeaderFields()

        fun eventText(number: Int) = "id: $number\ndata: x\n\n"

        /** The body of a whole stream. */
        val wholeStream = (1..UpstreamReply.LAST_EVENT).joinToString("") { eventText(it) }
    }
}
