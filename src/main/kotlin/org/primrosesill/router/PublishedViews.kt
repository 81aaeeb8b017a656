/*
 * The immutable views that the control thread publishes for the request path.
 */
package org.primrosesill.router

import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.generated.RefusedDocument
import org.primrosesill.membership.MemberSnapshot
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.routing.RoutingSnapshot
import java.util.concurrent.atomic.AtomicReference

/**
 * The state of the documents and the VM list for the router status.
 *
 * @property refused documents that were rejected and are newer than the active version
 */
internal data class PlatformView(val vmListRevision: Long = 0, val refused: List<RefusedDocument> = emptyList())

/** Written by the control thread only; readable from any thread. */
internal class PublishedViews(members: MemberSnapshot) {
    val routing = AtomicReference(RoutingSnapshot())
    val configuration = AtomicReference(ConfigurationSnapshot())
    val members = AtomicReference(members)
    val platform = AtomicReference(PlatformView())

    /** Returns the availability zone of an upstream, or null if the upstream is unknown. */
    fun zoneOf(upstream: UpstreamId): AvailabilityZoneId? =
        routing
            .get()
            .pools.values
            .firstNotNullOfOrNull { pool -> pool.upstreams.firstOrNull { it.id == upstream } }
            ?.availabilityZone
}
