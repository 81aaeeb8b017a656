/*
 * Immutable snapshot of the configuration and the upstreams that one gateway has received, read by the request path.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration

/**
 * One upstream in a [DirectoryView].
 *
 * @property coldUntilMillis time until which it counts as cold, on the clock of the directory, or 0
 * @property ineligibleReason reason why it receives no new requests, or null when it is eligible for them
 */
public data class KnownUpstream(
    val registration: UpstreamRegistration,
    val coldUntilMillis: Long,
    val ineligibleReason: String?,
) {
    val id: UpstreamId get() = registration.id

    /** Returns whether the upstream is cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis
}

/**
 * The content of an [UpstreamDirectory] at one moment.
 *
 * @property revision revision of the platform up to which this gateway has received every change
 * @property configuration null until the first one is received
 */
public class DirectoryView(
    public val revision: PlatformRevision = PlatformRevision.NONE,
    public val configuration: ServingConfiguration? = null,
    public val upstreams: Map<PoolId, List<KnownUpstream>> = emptyMap(),
    public val evacuatedZones: Set<AvailabilityZoneId> = emptySet(),
) {
    /** The ids of all upstreams, ineligible ones included. */
    public val upstreamIds: Set<UpstreamId> = upstreams.values.flatten().mapTo(HashSet()) { it.id }

    private val eligible: Map<PoolId, List<KnownUpstream>> =
        upstreams.mapValues { (_, poolUpstreams) -> poolUpstreams.filter { it.ineligibleReason == null } }

    /** Returns the upstreams of [pool] that are eligible for new requests. */
    public fun eligible(pool: PoolId): List<KnownUpstream> = eligible[pool].orEmpty()
}
