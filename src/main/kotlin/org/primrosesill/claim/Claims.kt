/*
 * At-most-once execution. A quorum of routers records a claim before the request is sent. The claim is not granted to
 * another claimant unless its holder reports that the request did not run.
 */
package org.primrosesill.claim

import arrow.core.Either
import org.primrosesill.generated.Contract
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.Failure
import org.primrosesill.model.UpstreamId

/**
 * A request with an idempotency key that is to be executed.
 *
 * @property key value of the Idempotency-Key header
 * @property requestDigest SHA-256 of method, path and body in hexadecimal
 * @property deadlineMillis instant after which the request is no longer sent
 */
public data class KeyedRequest(
    val contract: Contract,
    val key: String,
    val requestDigest: String,
    val deadlineMillis: Long,
)

/** Result of the claim of a key. */
public sealed interface KeyClaimResult {
    /** Only the caller of [KeyClaims.claim] may send the request, and only once. */
    public class Granted(public val claim: KeyClaim) : KeyClaimResult

    /** The request ran before; [response] is its stored response. */
    public class Replayed(public val response: StoredAnswer) : KeyClaimResult
}

/** A claim that this router holds. Exactly one of the functions must be called, and only once. */
public interface KeyClaim {
    public val resource: ClaimResource

    /** Stores the response of the request for retries with the same key. */
    public suspend fun complete(response: StoredAnswer)

    /** Releases the key. Allowed only if no byte of the request has left this router or the upstream did not run it. */
    public suspend fun release()

    /** Keeps the key claimed until the claim expires, because it is unknown whether the request ran. */
    public fun markOutcomeUnknown()
}

/** Claims idempotency keys. Thread-safe. */
public interface KeyClaims {
    public suspend fun claim(request: KeyedRequest): Either<Failure, KeyClaimResult>
}

/** One slot of a cold upstream that this router may use until [release]. */
public fun interface SlotClaim {
    public fun release()
}

/** Claims slots of cold upstreams. Thread-safe. */
public interface SlotClaims {
    /**
     * Claims one of [slots] slots of [upstream] until [heldUntilMillis] at the latest, or returns null when all slots
     * are held or too few routers can be reached.
     */
    public suspend fun claim(upstream: UpstreamId, slots: Int, heldUntilMillis: Long): SlotClaim?
}
