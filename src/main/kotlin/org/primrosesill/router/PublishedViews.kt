/*
 * The immutable views that the control thread publishes for traffic.
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
 * What operators ask about the documents and the VM list.
 *
 * @property refused documents that were refused and are newer than what is in force
 */
internal data class PlatformView(val vmListRevision: Long = 0, val refused: List<RefusedDocument> = emptyList())

/** Written by the control thread, read by any. */
internal class PublishedViews(members: MemberSnapshot) {
    val routing = AtomicReference(RoutingSnapshot())
    val configuration = AtomicReference(ConfigurationSnapshot())
    val members = AtomicReference(members)
    val platform = AtomicReference(PlatformView())

    /** The availability zone of an upstream, or null when the upstream is unknown. */
    fun zoneOf(upstream: UpstreamId): AvailabilityZoneId? =
        routing
            .get()
            .pools.values
            .firstNotNullOfOrNull { pool -> pool.upstreams.firstOrNull { it.id == upstream } }
            ?.availabilityZone
}
