/*
 * Enforces the limits of a contract across the whole fleet.
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

/** Enforces the limits of every customer across the fleet. Thread-safe. */
public interface CustomerLimiter {
    /** Acquires a permit for one request under [contract], or returns [Failure.LimitExceeded]. */
    public suspend fun acquire(contract: Contract): Either<Failure, CustomerPermit>
}
