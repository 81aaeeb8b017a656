/*
 * Calls from a router to the owner of a customer, and the selection of that owner by rendezvous hashing.
 */
package org.primrosesill.limit

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId

/**
 * Time without a heartbeat after which a router is left out of [ownerOrder], in milliseconds. It is shorter than the
 * suspicion timeout of the member table: a premature failover costs at most the permits that a backup owner
 * accumulates, while a late one refuses requests.
 */
public const val OWNER_TIMEOUT_MILLIS: Long = 2_500

/** Sends lease requests. A router that is the owner itself grants locally and sends nothing. */
public fun interface LeaseClient {
    /**
     * Sends [request] to the router at position [rank] of [ownerOrder] and returns its reply, or null when there is no
     * such router or it cannot be reached. The caller enforces the timeout.
     */
    public suspend fun lease(request: LeaseRequest, rank: Int): LeaseReply?
}

/**
 * Returns the [count] routers of [live] with the highest rendezvous weight for [customer], highest first. The first one
 * is the owner; the next is the backup owner, which grants a few permits while the owner does not reply.
 */
public fun ownerOrder(customer: CustomerId, live: Collection<RouterId>, count: Int = 2): List<RouterId> =
    live
        .map {
            it to
                Hashing
                    .xxh3_64()
                    .hashStream()
                    .putString(customer.value)
                    .putString(it.value)
                    .asLong
        }.sortedWith(compareByDescending<Pair<RouterId, Long>> { it.second }.thenBy { it.first.value })
        .take(count)
        .map { it.first }

/**
 * Returns the fraction of the [expected] zones that are [visible], that is, have a live router. Zones that an operator
 * took out of service are not expected. The fractions on the sides of a partition between zones add up to 1.
 */
public fun visibleZoneFraction(expected: Collection<AvailabilityZoneId>, visible: Set<AvailabilityZoneId>): Double =
    if (expected.isEmpty()) 1.0 else expected.count { it in visible }.toDouble() / expected.size
