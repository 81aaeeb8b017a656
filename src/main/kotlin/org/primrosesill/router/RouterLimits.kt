/*
 * Customer limits and admission control of one router, and the lease requests to the owners of customers.
 */
package org.primrosesill.router

import org.primrosesill.admission.AdmissionControl
import org.primrosesill.admission.AdmissionSettings
import org.primrosesill.admission.priorityAdmissionControl
import org.primrosesill.admission.tokenRetryBudget
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.RouterSettings
import org.primrosesill.http.PeerClient
import org.primrosesill.limit.CustomerOwner
import org.primrosesill.limit.FleetCustomerLimiter
import org.primrosesill.limit.GrantContext
import org.primrosesill.limit.LEASE_MILLIS
import org.primrosesill.limit.LeaseClient
import org.primrosesill.limit.LeaseService
import org.primrosesill.limit.OWNER_TIMEOUT_MILLIS
import org.primrosesill.limit.ownerOrder
import org.primrosesill.limit.visibleZoneFraction
import org.primrosesill.membership.MemberSnapshot
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId

internal class RouterLimits(
    settings: RouterSettings,
    private val selfRouter: RouterId,
    private val views: PublishedViews,
    private val control: ControlThread,
    private val customerOwner: CustomerOwner,
    private val peers: PeerClient,
    private val currentMillis: () -> Long,
) {
    // Chats last seconds and service calls milliseconds; a shared adaptive limit would mistake chats for queueing.
    private val admissionByPoolKind =
        PoolKind.entries.associateWith {
            priorityAdmissionControl(AdmissionSettings(maximumInFlight = settings.maximumConcurrentRequests))
        }
    val retryBudget = tokenRetryBudget()
    val limiter = FleetCustomerLimiter(selfRouter, LeaseClient(::requestLease), monotonicMillis())
    private val leaseService = LeaseService(selfRouter, ::ownerOf, ::grantLocally, ::forward)

    fun admission(kind: PoolKind): AdmissionControl = admissionByPoolKind.getValue(kind)

    fun inFlight(): Map<CustomerId, Int> = limiter.inFlight()

    /** Reports generated tokens to the owners and removes idle customers. Called once a second. */
    suspend fun report() {
        limiter.report()
        limiter.dropIdle()
    }

    /** Handles a lease request from a peer or from this router itself. */
    suspend fun grant(request: LeaseRequest): LeaseReply = leaseService.handle(request)

    private suspend fun grantLocally(request: LeaseRequest, isBackup: Boolean): LeaseReply {
        val configuration = views.configuration.get()
        val contract = configuration.contracts[request.customer] ?: return NO_CONTRACT
        val context = GrantContext(contract, isBackup, zoneFraction(configuration, views.members.get()))
        return control.run { customerOwner.grant(request, context, currentMillis()) }
    }

    private suspend fun requestLease(request: LeaseRequest, rank: Int): LeaseReply? =
        ownersByRank(request.customer).getOrNull(rank)?.let { router ->
            if (router == selfRouter) grant(request) else forward(router, request)
        }

    private suspend fun forward(router: RouterId, request: LeaseRequest): LeaseReply? =
        views.members
            .get()
            .addressOf(router)
            ?.let { peers.lease(it, request).getOrNull() }

    private fun ownerOf(customer: CustomerId): RouterId? = ownersByRank(customer).firstOrNull()

    /**
     * Returns the owner and the backup owner of [customer]. A stopping router is skipped immediately and a silent one
     * after [OWNER_TIMEOUT_MILLIS], which is before it counts as lost.
     */
    private fun ownersByRank(customer: CustomerId): List<RouterId> {
        val liveRouters = recentMembers(views.members.get()).filter { it.state == MemberState.LIVE }.map { it.router }
        return ownerOrder(customer, liveRouters.ifEmpty { listOf(selfRouter) })
    }

    private fun zoneFraction(configuration: ConfigurationSnapshot, members: MemberSnapshot): Double {
        val zonesInService =
            configuration.fleet
                ?.availabilityZones
                .orEmpty()
                .filter { !it.outOfService }
                .map { it.id }
        return visibleZoneFraction(zonesInService, recentMembers(members).mapTo(HashSet()) { it.availabilityZone })
    }

    private fun recentMembers(members: MemberSnapshot): List<Member> =
        members.aliveSince(currentMillis() - OWNER_TIMEOUT_MILLIS)

    private companion object {
        val NO_CONTRACT = LeaseReply(0, 0, LEASE_MILLIS, LimitReason.UNAVAILABLE)
    }
}

/** Returns a monotonic clock in milliseconds. */
private fun monotonicMillis(): () -> Long = { System.nanoTime() / 1_000_000 }
