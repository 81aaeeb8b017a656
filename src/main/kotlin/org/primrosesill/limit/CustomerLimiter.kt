/*
 * The limits of a contract, held by the whole fleet.
 */
package org.primrosesill.limit

import arrow.core.Either
import org.primrosesill.generated.Contract
import org.primrosesill.model.Failure

/** Permission to run one request of a customer. */
public fun interface CustomerPermit {
    /** Ends the request. [generatedTokens] counts against the customer's token rate; 0 for a service call. */
    public fun release(generatedTokens: Int)
}

/** Holds the limits of every customer. Safe to call from any thread. */
public interface CustomerLimiter {
    /** Asks to start one request under [contract], or refuses with [Failure.LimitExceeded]. */
    public suspend fun acquire(contract: Contract): Either<Failure, CustomerPermit>
}
