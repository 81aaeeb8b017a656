/*
 * Overload protection of a router and its upstreams: which requests are admitted, and which may be retried.
 */
package org.primrosesill.admission

import arrow.core.Either
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure

/** Permission to process one request. [release] must be called once, when the request has ended. */
public fun interface AdmissionPermit {
    public fun release()
}

/** Sheds load by priority before a request is processed. Thread-safe. */
public interface AdmissionControl {
    /** Admits a request of [priority] (0 is the highest, 9 the lowest), or returns [Failure.Overloaded]. */
    public fun admit(priority: Int): Either<Failure, AdmissionPermit>
}

/** Limits the additional load of retries to a fixed fraction of the offered load. Thread-safe. */
public interface RetryBudget {
    /** Counts a first attempt of [customer]. */
    public fun recordAttempt(customer: CustomerId)

    /** Withdraws one retry of [customer] from the budget, or returns false when none is left. */
    public fun tryRetry(customer: CustomerId): Boolean
}
