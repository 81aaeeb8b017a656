/*
 * Handles lease requests of other routers. Routers can disagree for seconds about the owner of a customer. If a
 * router receives a request as the owner, but in its own view another router is the owner, it forwards the request to
 * that router. The number of hops is bounded, because each goes to a router with a higher rendezvous weight.
 */
package org.primrosesill.limit

import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import kotlin.time.Duration.Companion.milliseconds

/** Timeout of one hop of a forwarded request. It is shorter than the timeout of the router that sent the request. */
private const val HOP_TIMEOUT_MILLIS = 100L

/** Grants leases at this router by running [CustomerOwner.grant] on the control thread. */
public fun interface LocalLeaseGranter {
    public suspend fun grant(request: LeaseRequest, isBackup: Boolean): LeaseReply
}

/** Sends a lease request to one router and returns its reply, or null when it cannot be reached. */
public fun interface LeaseForwarder {
    public suspend fun forward(owner: RouterId, request: LeaseRequest): LeaseReply?
}

/** Handles lease requests at [selfRouter]; [ownerOf] returns the first of [ownerOrder] in the view of this router. */
public class LeaseService(
    private val selfRouter: RouterId,
    private val ownerOf: (CustomerId) -> RouterId?,
    private val local: LocalLeaseGranter,
    private val forwarder: LeaseForwarder,
) {
    /** Returns the reply of the owner, or of this router as its backup when the owner does not reply in time. */
    public suspend fun handle(request: LeaseRequest): LeaseReply {
        val owner = ownerOf(request.customer)
        if (owner == null || owner == selfRouter) return local.grant(request, isBackup = false)
        if (!request.standIn) {
            withTimeoutOrNull(HOP_TIMEOUT_MILLIS.milliseconds) { forwarder.forward(owner, request) }?.let { return it }
        }
        return local.grant(request, isBackup = true)
    }
}
