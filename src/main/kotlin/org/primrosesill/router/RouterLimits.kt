/*
 * Limits of customers and load control of one router, and how leases reach the owners.
 */
package org.primrosesill.router

import org.primrosesill.admission.AdmissionSettings
import org.primrosesill.admission.priorityAdmissionControl
import org.primrosesill.admission.tokenRetryBudget
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterSettings
import org.primrosesill.http.PeerClient
import org.primrosesill.limit.CustomerOwner
import org.primrosesill.limit.FleetCustomerLimiter
import org.primrosesill.limit.LEASE_MILLIS
import org.primrosesill.limit.LeaseClient
import org.primrosesill.limit.OwnerView
import org.primrosesill.limit.ownerOrder
import org.primrosesill.limit.visibleZoneFraction
import org.primrosesill.membership.MemberSnapshot
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId

internal class RouterLimits(
    settings: RouterSettings,
    private val own: RouterId,
    private val views: PublishedViews,
    private val control: ControlThread,
    private val owner: CustomerOwner,
    private val peers: PeerClient,
    private val currentMillis: () -> Long,
) {
    val admission = priorityAdmissionControl(AdmissionSettings(maximumInFlight = settings.maximumConcurrentRequests))
    val retryBudget = tokenRetryBudget()
    val limiter = FleetCustomerLimiter(own, LeaseClient(::askOwner), monotonicMillis())

    fun inFlight(): Map<CustomerId, Int> = limiter.inFlight()

    /** Reports generated tokens to the owners and drops idle customers. Runs once a second. */
    suspend fun report() {
        limiter.reportTokens()
        limiter.dropIdle()
    }

    /** Answers a lease request of a peer, or of this router itself. */
    suspend fun grant(request: LeaseRequest): LeaseReply {
        val configuration = views.configuration.get()
        val contract = configuration.contracts[request.customer] ?: return NO_CONTRACT
        val members = views.members.get()
        val standsIn = owners(request.customer, members).firstOrNull() != own
        val view = OwnerView(contract, standsIn, zoneFraction(configuration, members))
        return control.run { owner.grant(request, view, currentMillis()) }
    }

    private suspend fun askOwner(request: LeaseRequest, rank: Int): LeaseReply? {
        val members = views.members.get()
        val router = owners(request.customer, members).getOrNull(rank) ?: return null
        if (router == own) return grant(request)
        val address = members.live.first { it.router == router }.address
        return peers.lease(address, request).getOrNull()
    }

    /** A router that is stopping hands its customers over at once. */
    private fun owners(customer: CustomerId, members: MemberSnapshot): List<RouterId> {
        val staying = members.live.filter { it.state == MemberState.LIVE }.map { it.router }
        return ownerOrder(customer, staying.ifEmpty { listOf(own) })
    }

    private fun zoneFraction(configuration: ConfigurationSnapshot, members: MemberSnapshot): Double {
        val expected =
            configuration.fleet
                ?.availabilityZones
                .orEmpty()
                .filter { !it.outOfService }
                .map { it.id }
        return visibleZoneFraction(expected, members.live.mapTo(HashSet()) { it.availabilityZone })
    }

    private companion object {
        val NO_CONTRACT = LeaseReply(0, 0, LEASE_MILLIS, LimitReason.UNAVAILABLE)
    }
}

/** Milliseconds of a clock that never goes back. */
private fun monotonicMillis(): () -> Long = { System.nanoTime() / 1_000_000 }
