/*
 * What one router believes of the configuration and of the upstreams at one moment, for traffic to read. Immutable.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration

/**
 * One upstream as the directory knows it.
 *
 * @property coldUntilMillis until when it is taken as cold, on the clock of the directory, or 0
 * @property warmSinceMillis when it was last cold and has got over it, or 0 when it was never seen cold
 * @property blockedBecause why it gets no new requests, or null when it may get them
 */
public data class KnownUpstream(
    val registration: UpstreamRegistration,
    val coldUntilMillis: Long,
    val blockedBecause: String?,
) {
    val id: UpstreamId get() = registration.id

    /** Returns whether the upstream is cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis
}

/**
 * The directory at one moment.
 *
 * @property revision the platform's revision up to which this router knows everything
 * @property configuration null until the first one is known
 */
public class DirectoryView(
    public val revision: Long = 0,
    public val configuration: ServingConfiguration? = null,
    public val upstreams: Map<PoolId, List<KnownUpstream>> = emptyMap(),
    public val evacuatedZones: Set<AvailabilityZoneId> = emptySet(),
) {
    /** The ids of all upstreams. */
    public val upstreamIds: Set<UpstreamId> = upstreams.values.flatten().mapTo(HashSet()) { it.id }

    private val eligible: Map<PoolId, List<KnownUpstream>> =
        upstreams.mapValues { (_, ofPool) -> ofPool.filter { it.blockedBecause == null } }

    /** Returns the upstreams of [pool] that may get new requests. */
    public fun eligible(pool: PoolId): List<KnownUpstream> = eligible[pool].orEmpty()
}
