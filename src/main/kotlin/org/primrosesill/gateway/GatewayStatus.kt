/*
 * What a gateway believes, in the form that operators ask for: who is in the fleet, which upstreams may get work and why the
 * others may not, and how old its view of the platform is.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.RouterStatus
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.UpstreamStatus
import org.primrosesill.placement.UpstreamLoads

/** Returns the status of a gateway with these parts. Called on the control thread. */
internal fun gatewayStatus(ready: Boolean, fleet: Fleet, keeper: DirectoryKeeper, loads: UpstreamLoads): RouterStatus {
    val view = keeper.view
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
        platformAgeMillis = keeper.ageMillis ?: -1,
        platformFailure = keeper.platformFailure.orEmpty(),
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
                upstream.isCold(steadyMillis()) -> UpstreamState.COLD
                else -> UpstreamState.WARM
            },
        load = loads.of(upstream.id),
        eligible = upstream in view.eligible(registration.pool),
        reason = upstream.blockedBecause.orEmpty(),
    )
}
