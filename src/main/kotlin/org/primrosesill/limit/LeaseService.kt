/*
 * Answers lease requests of other routers. Routers can disagree for seconds about who owns a customer. A router that is
 * asked as the owner and sees a better one passes the request on to it. The chain ends, because each hop goes to a
 * router with a higher rendezvous weight.
 */
package org.primrosesill.limit

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import kotlin.time.Duration.Companion.milliseconds

/** Time for a request that is passed on, in milliseconds. It is shorter than the time the asking router waits. */
private const val FORWARD_MILLIS = 100L

/** Grants at this router: runs [CustomerOwner.grant] on the control thread. */
public fun interface LocalLeases {
    public suspend fun grant(request: LeaseRequest, standsIn: Boolean): LeaseReply
}

/** Sends a lease request to one router, or returns null when it cannot be reached. */
public fun interface LeaseForwarder {
    public suspend fun forward(owner: RouterId, request: LeaseRequest): LeaseReply?
}

/** Answers lease requests at router [own]; [owner] returns the first of [ownerOrder] in this router's view. */
public class LeaseService(
    private val own: RouterId,
    private val owner: (CustomerId) -> RouterId?,
    private val local: LocalLeases,
    private val forwarder: LeaseForwarder,
) {
    /** Returns the reply of the owner, or of this router in its place. */
    public suspend fun answer(request: LeaseRequest): LeaseReply {
        val first = owner(request.customer)
        if (first == null || first == own) return local.grant(request, standsIn = false)
        if (!request.standIn) {
            withTimeoutOrNull(FORWARD_MILLIS.milliseconds) { forwarder.forward(first, request) }?.let { return it }
        }
        return local.grant(request, standsIn = true)
    }
}
