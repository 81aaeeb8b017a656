/*
 * How one attempt of a request at an upstream ended.
 */
package org.primrosesill.forwarding

import org.primrosesill.model.Failure

internal sealed interface AttemptEnd {
    /** What the event log says of it. */
    val description: String

    /** The caller has its whole answer. */
    class Delivered(val status: Int) : AttemptEnd {
        override val description = "status $status"
    }

    /** No byte of the request left this router. */
    class NotSent(reason: String) : AttemptEnd {
        override val description = "not sent: $reason"
    }

    /** The request arrived, and the upstream did not run it. */
    class NotRun(val reason: String) : AttemptEnd {
        override val description = "not run: $reason"
    }

    /** The upstream answered with a failure of its own, and the request may run again. */
    class Failed(val head: OutboundHead, val body: ByteArray) : AttemptEnd {
        override val description = "failed with status ${head.status}"
    }

    /** The upstream may have run the request, and the caller has nothing, or a stream that may go on elsewhere. */
    class Unknown(val reason: String) : AttemptEnd {
        override val description = "outcome unknown: $reason"
    }

    /** The caller has a part of an answer that cannot be completed. */
    class Cut(val reason: String) : AttemptEnd {
        override val description = "cut: $reason"
    }
}

/** What the caller gets if no later attempt succeeds: the answer of an upstream rather than a failure of this router. */
internal class LastFailure(private val answer: OutboundAnswer) {
    private var failed: AttemptEnd.Failed? = null
    private var unknown: Failure? = null

    fun take(end: AttemptEnd.Failed) {
        failed = end
    }

    fun take(failure: Failure) {
        unknown = failure
    }

    /** Answers with what an upstream said, or returns the failure that is known, or else [failure]. */
    suspend fun or(failure: Failure): Failure? {
        val end = failed
        if (end == null || answer.started) return unknown ?: failure
        answer.respond(end.head, end.body)
        return null
    }
}
