/*
 * The context of a validated request, and the outcome of its attempts.
 */
package org.primrosesill.request

import org.primrosesill.generated.Contract
import org.primrosesill.generated.PoolKind
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.RequestId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A validated request that is sent to an upstream.
 *
 * @property path path and query that are sent to the upstream
 * @property affinityKey key that all requests of a chat share
 * @property streaming whether the caller requested server-sent events
 * @property repeatable whether the contract allows this method to be sent more than once
 * @property idempotencyKey idempotency key of a request that is not [repeatable], or null
 * @property requestDigest SHA-256 of method, path and body as the caller sent them
 */
internal class AcceptedRequest(
    val id: RequestId,
    val contract: Contract,
    val pool: PoolId,
    val kind: PoolKind,
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val deadline: ComparableTimeMark,
    val affinityKey: String? = null,
    val streaming: Boolean = false,
    val repeatable: Boolean = false,
    val idempotencyKey: String? = null,
    val requestDigest: String = "",
) {
    /** Number of tokens generated so far. */
    var generatedTokens: Int = 0

    fun timeLeft(): Duration = -deadline.elapsedNow()
}

/** A complete response that has not been sent to the caller yet. */
internal class BufferedResponse(val head: CallerResponseHead, val body: ByteArray)

/** The outcome of one attempt, or of all attempts of a request together. */
internal sealed interface Outcome {
    /** The complete response was sent to the caller. */
    class Delivered(val status: Int) : Outcome

    /** The response is complete and has yet to be sent to the caller. */
    class Buffered(val response: BufferedResponse) : Outcome

    /** Nothing was executed, and nothing was sent to the caller. */
    class NotRun(val failure: Failure) : Outcome

    /** The request may have been executed, and nothing was sent to the caller. */
    class Unknown(val failure: Failure) : Outcome

    /** Part of the response was sent to the caller, and its connection was aborted. */
    class Truncated(val failure: Failure) : Outcome
}
