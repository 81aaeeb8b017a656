/*
 * Times of claims, and the names of the resources that claims are about.
 */
package org.primrosesill.claim

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.CustomerId
import org.primrosesill.model.UpstreamId
import java.util.UUID

/**
 * Settings of claims, the same in the whole fleet. Durations are in milliseconds.
 *
 * @property longestRetentionMillis longest time a key may be used after its creation; contracts with more are cut to it
 * @property longestSlotMillis longest time a slot is held; at least the longest deadline of any contract
 * @property clockToleranceMillis largest difference between two clocks of the fleet
 * @property voteTimeoutMillis how long a claimant waits for a vote
 * @property firstVoteTimeoutMillis how long it waits for the first voter before it asks all others
 * @property maximumClaims keys a voter remembers; it abstains from further keys, because it must not forget one early
 */
public data class ClaimSettings(
    val longestRetentionMillis: Long = 900_000,
    val longestSlotMillis: Long = 120_000,
    val clockToleranceMillis: Long = 1_000,
    val voteTimeoutMillis: Long = 250,
    val firstVoteTimeoutMillis: Long = 50,
    val maximumClaims: Int = 100_000,
) {
    /**
     * Distance between a router's start and the creation of a key from which the router surely saw every claim of the
     * key. Twice the tolerance: the key may be ahead of its first claimant's clock, and that clock ahead of the voter's.
     */
    val startMarginMillis: Long get() = 2 * clockToleranceMillis
}

/**
 * An idempotency key as the claims use it.
 *
 * @property createdAtMillis creation time of a UUID version 7, or 0 when the key does not carry one
 */
internal data class IdempotencyKey(val text: String, val createdAtMillis: Long) {
    fun resource(customer: CustomerId): ClaimResource = ClaimResource("key/$customer/$text")

    companion object {
        private val uuid = Regex("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")
        private const val MAXIMUM_LENGTH = 255

        /** Returns the key, or null when it is empty, too long or not printable. Upper and lower case UUIDs are equal. */
        fun parse(text: String): IdempotencyKey? =
            when {
                text.isEmpty() || text.length > MAXIMUM_LENGTH || text.any { it !in '!'..'~' } -> null

                !uuid.matches(text) -> IdempotencyKey(text, 0)

                else -> {
                    val value = UUID.fromString(text)
                    val created = if (value.version() == 7) value.mostSignificantBits ushr 16 else 0
                    IdempotencyKey(value.toString(), created)
                }
            }
    }
}

/** Names slot [index] of [upstream]. The zone is in the name, because it decides which routers vote. */
internal fun slotResource(zone: AvailabilityZoneId, upstream: UpstreamId, index: Int): ClaimResource =
    ClaimResource("slot/$zone/$upstream/$index")

/** The availability zone in the name of a slot, or null for another resource. */
internal fun slotZone(resource: ClaimResource): AvailabilityZoneId? =
    resource.value
        .split('/')
        .takeIf { it.size == 4 && it[0] == "slot" }
        ?.let { AvailabilityZoneId(it[1]) }
