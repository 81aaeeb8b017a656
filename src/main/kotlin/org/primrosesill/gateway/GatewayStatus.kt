/*
 * Status of a gateway for operators: the members of the fleet, which upstreams are eligible and why the others are not,
 * and the age of its view of the platform.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.RouterStatus
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.UpstreamStatus
import org.primrosesill.placement.UpstreamLoads

/** Returns the status of a gateway with these components. Called on the control thread. */
internal fun gatewayStatus(
    ready: Boolean,
    fleet: Fleet,
    directory: DirectoryManager,
    loads: UpstreamLoads,
): RouterStatus {
    val view = directory.view
    return RouterStatus(
        member = fleet.self(),
        ready = ready,
        configurationRevision = view.configuration?.version ?: 0,
        vmListRevision = view.revision,
        availabilityZones =
            view.evacuatedZones.map {
                AvailabilityZoneSettings(it, outOfService = true, reason = "evacuated")
            },
        members = fleet.others() + fleet.self(),
        upstreams =
            view.upstreams.values
                .flatten()
                .map { statusOf(it, view, loads) },
        platformAgeMillis = directory.ageMillis ?: -1,
        platformFailure = directory.platformFailure.orEmpty(),
    )
}

private fun statusOf(upstream: KnownUpstream, view: DirectoryView, loads: UpstreamLoads): UpstreamStatus {
    val registration = upstream.registration
    return UpstreamStatus(
        upstream = upstream.id,
        availabilityZone = registration.availabilityZone,
        pools = listOf(registration.pool),
        state =
            when {
                registration.draining -> UpstreamState.LEAVING
                upstream.isCold(monotonicMillis()) -> UpstreamState.COLD
                else -> UpstreamState.WARM
            },
        load = loads.estimate(upstream.id),
        eligible = upstream in view.eligible(registration.pool),
        reason = upstream.ineligibleReason.orEmpty(),
    )
}
