/*
 * Time limits of claims, and the names of the resources that are claimed.
 */
package org.primrosesill.claim

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.CustomerId
import org.primrosesill.model.UpstreamId
import java.util.UUID

/**
 * Settings of claims, which must be the same in the whole fleet. Durations are in milliseconds.
 *
 * @property maximumRetentionMillis longest validity of a key after its creation; caps the retention of every contract
 * @property maximumSlotMillis longest time for which a slot is held; at least the longest deadline of any contract
 * @property clockToleranceMillis largest difference between two clocks of the fleet
 * @property voteTimeoutMillis timeout of a claimant for votes
 * @property firstVoteTimeoutMillis timeout for the vote of the first voter, after which all voters are contacted
 * @property maximumClaims claims that a voter stores; it abstains from further keys, because it must not drop one early
 */
public data class ClaimSettings(
    val maximumRetentionMillis: Long = 900_000,
    val maximumSlotMillis: Long = 120_000,
    val clockToleranceMillis: Long = 1_000,
    val voteTimeoutMillis: Long = 250,
    val firstVoteTimeoutMillis: Long = 50,
    val maximumClaims: Int = 100_000,
) {
    /**
     * A router that started at least this long before the creation time of a key has received every claim of the key.
     * It is twice the tolerance: the creation time may be ahead of the clock of the first claimant, and the clock of
     * the claimant ahead of the clock of the voter.
     */
    val startMarginMillis: Long get() = 2 * clockToleranceMillis
}

/**
 * A parsed idempotency key.
 *
 * @property createdAtMillis creation time of a UUID version 7, or 0 when the key does not carry one
 */
internal data class IdempotencyKey(val value: String, val createdAtMillis: Long) {
    fun resource(customer: CustomerId): ClaimResource = ClaimResource("key/$customer/$value")

    companion object {
        private val uuidPattern = Regex("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")
        private const val MAXIMUM_LENGTH = 255

        /** Returns the key, or null when it is empty, too long or not printable. UUIDs are case-insensitive. */
        fun parse(value: String): IdempotencyKey? =
            when {
                value.isEmpty() || value.length > MAXIMUM_LENGTH || value.any { it !in '!'..'~' } -> null

                !uuidPattern.matches(value) -> IdempotencyKey(value, 0)

                else -> {
                    val uuid = UUID.fromString(value)
                    val createdAtMillis = if (uuid.version() == 7) uuid.mostSignificantBits ushr 16 else 0
                    IdempotencyKey(uuid.toString(), createdAtMillis)
                }
            }
    }
}

/**
 * Returns the name of slot [index] of [upstream]. It contains the zone, because the zone decides which routers vote.
 */
internal fun slotResource(zone: AvailabilityZoneId, upstream: UpstreamId, index: Int): ClaimResource =
    ClaimResource("slot/$zone/$upstream/$index")

/** Returns the availability zone in the name of a slot, or null for another kind of resource. */
internal fun slotZone(resource: ClaimResource): AvailabilityZoneId? =
    resource.value
        .split('/')
        .takeIf { it.size == 4 && it[0] == "slot" }
        ?.let { AvailabilityZoneId(it[1]) }
