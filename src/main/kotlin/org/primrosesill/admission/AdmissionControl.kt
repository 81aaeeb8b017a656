/*
 * Local protection of a router and its upstreams: which requests are taken at all, and which may be sent again.
 */
package org.primrosesill.admission

import arrow.core.Either
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure

/** Permission to work on one request. [release] is called once, when the request has ended. */
public fun interface AdmissionPermit {
    public fun release()
}

/** Sheds load by priority before any work is done for a request. Safe to call from any thread. */
public interface AdmissionControl {
    /** Admits a request of [priority] (0 is served first, 9 last), or refuses it with [Failure.Overloaded]. */
    public fun admit(priority: Int): Either<Failure, AdmissionPermit>
}

/** Keeps the additional load of retries to a fixed fraction of the offered load. Safe to call from any thread. */
public interface RetryBudget {
    /** Counts a first attempt of [customer]. */
    public fun recordAttempt(customer: CustomerId)

    /** Takes one retry of [customer] from the budget, or returns false when there is none left. */
    public fun tryRetry(customer: CustomerId): Boolean
}
