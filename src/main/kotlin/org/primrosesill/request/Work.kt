/*
 * A request that passed all checks and may be routed, and how its attempts end.
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
 * One request on its way to an upstream.
 *
 * @property path path and query at the upstream
 * @property affinityKey the same for all requests of a chat
 * @property streaming the caller asked for server-sent events
 * @property repeatable the contract lists the method as one that may be sent again
 * @property key idempotency key of a request that may not be repeated
 * @property digest SHA-256 of method, path and body as the caller sent them
 */
internal class Work(
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
    val key: String? = null,
    val digest: String = "",
) {
    /** Generated tokens so far. */
    var tokens: Int = 0

    fun timeLeft(): Duration = -deadline.elapsedNow()
}

/** A whole answer that the caller has not got yet. */
internal class PlainAnswer(val head: AnswerHead, val body: ByteArray)

/** How an attempt, or all attempts, of a request ended. */
internal sealed interface Outcome {
    /** The caller has the whole answer. */
    class Delivered(val status: Int) : Outcome

    /** The answer is whole, and the caller gets it next. */
    class Buffered(val answer: PlainAnswer) : Outcome

    /** Nothing ran, and the caller has nothing. */
    class NotRun(val failure: Failure) : Outcome

    /** Something may have run, and the caller has nothing. */
    class Unknown(val failure: Failure) : Outcome

    /** The caller has a part of the answer, and its connection was aborted. */
    class Cut(val failure: Failure) : Outcome
}
