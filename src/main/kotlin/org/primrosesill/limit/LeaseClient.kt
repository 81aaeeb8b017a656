/*
 * How a router reaches the owner of a customer, and who that owner is.
 */
package org.primrosesill.limit

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId

/**
 * Silence of a router after which it counts as lost for [ownerOrder], in milliseconds. It is shorter than the suspicion
 * of the member table, because a wrong guess costs at most the reserve of a stand-in and a late one refuses requests.
 */
public const val OWNER_UNHEARD_MILLIS: Long = 2_500

/** Sends lease requests. The router itself can be the owner, in which case nothing is sent. */
public fun interface LeaseClient {
    /**
     * Asks the router at position [rank] of [ownerOrder] and returns its reply, or null when there is no such router or
     * it cannot be reached. The caller bounds the time.
     */
    public suspend fun lease(request: LeaseRequest, rank: Int): LeaseReply?
}

/**
 * Returns the first [count] owners of [customer] among the [live] routers. The first one is the owner; the next stands
 * in for it, within a small reserve, while it does not answer.
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
 * Returns the part of the [expected] zones that have a live router. Zones that operators took out are not expected. The
 * sides of a partition between zones see parts that add up to 1.
 */
public fun visibleZoneFraction(expected: Collection<AvailabilityZoneId>, seen: Set<AvailabilityZoneId>): Double =
    if (expected.isEmpty()) 1.0 else expected.count { it in seen }.toDouble() / expected.size
