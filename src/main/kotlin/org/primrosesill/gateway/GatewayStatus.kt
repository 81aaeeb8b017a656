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
import org.primrosesill.load.LoadEstimate
import org.primrosesill.load.UpstreamLoads

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
        vmListRevision = view.revision.number,
        availabilityZones =
            view.evacuatedZones.map {
                AvailabilityZoneSettings(it, outOfService = true, reason = "evacuated")
            },
        members = fleet.others() + fleet.self(),
        upstreams =
            view.upstreams.values.flatMap { pool ->
                val poolLoads = loads.estimates(pool.map { it.id })
                pool.map { statusOf(it, view, poolLoads[it.id]) }
            },
        platformAgeMillis = directory.ageMillis ?: -1,
        platformFailure = directory.platformFailure.orEmpty(),
    )
}

private fun statusOf(upstream: KnownUpstream, view: DirectoryView, load: LoadEstimate): UpstreamStatus {
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
        load = load.inFlight,
        eligible = upstream in view.eligible(registration.pool),
        reason = upstream.ineligibleReason.orEmpty(),
    )
}
