/*
 * At-most-once execution. A claim is recorded by a quorum of routers before the request is sent, and is never granted
 * to anybody else unless its holder says that nothing ran.
 */
package org.primrosesill.claim

import arrow.core.Either
import org.primrosesill.generated.Contract
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.Failure
import org.primrosesill.model.UpstreamId

/**
 * A request with an idempotency key that wants to run.
 *
 * @property key the caller's Idempotency-Key
 * @property requestDigest SHA-256 of method, path and body in hexadecimal
 * @property deadlineMillis instant after which the request is not sent any more
 */
public data class KeyedRequest(
    val contract: Contract,
    val key: String,
    val requestDigest: String,
    val deadlineMillis: Long,
)

/** What a claim of a key led to. */
public sealed interface KeyClaimResult {
    /** The caller of [KeyClaims.claim] alone may send the request, once. */
    public class Granted(public val claim: KeyClaim) : KeyClaimResult

    /** The request ran before, and this was its answer. */
    public class Repeated(public val answer: StoredAnswer) : KeyClaimResult
}

/** A claim that this router holds. Exactly one of the functions is called, once. */
public interface KeyClaim {
    public val resource: ClaimResource

    /** Stores the answer of the request for repeats. */
    public suspend fun complete(answer: StoredAnswer)

    /** Frees the key. Only allowed when no byte of the request has left this router or the upstream did not run it. */
    public suspend fun release()

    /** Keeps the key taken for ever, because it is unknown whether the request ran. */
    public fun keep()
}

/** Claims idempotency keys. Safe to call from any thread. */
public interface KeyClaims {
    public suspend fun claim(request: KeyedRequest): Either<Failure, KeyClaimResult>
}

/** One slot of a cold upstream that this router may use until [release]. */
public fun interface SlotClaim {
    public fun release()
}

/** Claims slots of cold upstreams. Safe to call from any thread. */
public interface SlotClaims {
    /**
     * Claims one of [slots] slots of [upstream] until [heldUntilMillis] at the latest, or returns null when all are
     * taken or too few routers can be reached.
     */
    public suspend fun claim(upstream: UpstreamId, slots: Int, heldUntilMillis: Long): SlotClaim?
}
