/*
 * One attempt to send a request to an upstream, and its outcome.
 */
package org.primrosesill.forwarding

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.Failure
import org.primrosesill.model.ResponseDefect
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * An attempt whose outcome is not known yet.
 *
 * @property onPromptPrefilled called on the first event of a stream
 * @property startedWith time until the deadline of the request when the attempt began
 * @property claim must be acquired before anything is written to the caller
 * @property watch measures the waits for the upstream; null if no other attempt may follow
 * @property prefillTokens prompt tokens that the upstream probably has to prefill
 */
internal class AttemptInProgress(
    val upstream: KnownUpstream,
    val onPromptPrefilled: () -> Unit,
    val startedWith: Duration,
    val claim: ResponseClaim,
    val watch: StallWatch?,
    val prefillTokens: Int = 0,
)

/** The right to respond to the caller, which only one of several attempts has. */
internal fun interface ResponseClaim {
    /** Ends all other attempts of the request, as this one has made progress: it has a response or an event that is due. */
    fun acquire()
}

/** The names of the subclasses are values of the `result` label of the attempt metric. */
internal sealed interface AttemptOutcome {
    /** Text for the event log. */
    val description: String

    /** Whether the connection ended or was reset after the request was sent, as when the upstream crashes. */
    val connectionLost: Boolean get() = false

    /** Whether the request may have reached the upstream. */
    val wasSent: Boolean get() = true

    /** The caller has received the complete response. */
    class Delivered(val status: Int, end: ResponseEnd) : AttemptOutcome {
        override val description = "status $status, $end"
    }

    /** No byte of the request left this router. */
    class NotSent(reason: String) : AttemptOutcome {
        override val description = "not sent: $reason"
        override val wasSent = false
    }

    /** The request reached the upstream, which did not execute it; [isFull] if it had no capacity left. */
    class NotRun(val reason: String, val isFull: Boolean = false) : AttemptOutcome {
        override val description = "not run: $reason"
    }

    /** The upstream responded with a server error, and the request may be executed again. */
    class Failed(val head: ResponseHead, val body: ByteArray) : AttemptOutcome {
        override val description = "failed with status ${head.status}"
    }

    /**
     * The upstream may have executed the request, and the caller has received nothing, or a part of a stream that may
     * be resumed at another upstream.
     */
    open class Unknown(val reason: String, override val connectionLost: Boolean = false) : AttemptOutcome {
        override val description = "outcome unknown: $reason"
    }

    /** The upstream sent bytes that are not the head of a response. That does not show that it crashed. */
    class Malformed(defect: ResponseDefect) : Unknown("$defect")

    /**
     * Another attempt, at [winner], made progress first, so that this one was ended.
     *
     * @property hadStalled whether the upstream was silent for longer than its limit
     */
    class Superseded(winner: UpstreamId, override val wasSent: Boolean, val hadStalled: Boolean) : AttemptOutcome {
        override val description = "connection closed, since the attempt at $winner made progress first"
    }

    /** The caller has received a part of a response that cannot be completed. */
    class Cut(val reason: String, override val connectionLost: Boolean) : AttemptOutcome {
        override val description = "response truncated: $reason"
    }
}

/**
 * How a complete response ended, for the event log.
 *
 * @property events number of events of a stream, or null for another response
 */
internal data class ResponseEnd(val closeDelimited: Boolean, val events: Int? = null) {
    override fun toString(): String {
        val end = if (closeDelimited) "ended by the close of its connection" else "ended by its framing"
        return if (events == null) end else "$events events, $end"
    }
}

/**
 * The response to the caller if no later attempt succeeds: preferably the error response of an upstream rather than a
 * failure reported by this router.
 */
internal class FallbackResponse(private val response: OutboundResponse) {
    private var failed: AttemptOutcome.Failed? = null
    private var unknown: Failure? = null

    fun record(outcome: AttemptOutcome.Failed) {
        failed = outcome
    }

    fun record(failure: Failure) {
        unknown = failure
    }

    /**
     * Sends the recorded error response of an upstream and returns null. Without one, or when the response to the
     * caller has started, returns the recorded failure, or [failure] if none is recorded.
     */
    suspend fun respondOr(failure: Failure): Failure? {
        val outcome = failed
        if (outcome == null || response.started) return unknown ?: failure
        response.respond(outcome.head, outcome.body)
        return null
    }
}
