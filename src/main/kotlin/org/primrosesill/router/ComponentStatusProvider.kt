/*
 * The router status for operators, assembled from the published views.
 */
package org.primrosesill.router

import org.primrosesill.generated.RouterStatus
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.UpstreamStatus
import org.primrosesill.http.RouterStatusProvider
import org.primrosesill.routing.UpstreamView

internal class ComponentStatusProvider(private val components: RouterComponents) : RouterStatusProvider {
    override fun notReadyReason(): String? = components.notReadyReason()

    override fun status(): RouterStatus {
        val configuration = components.views.configuration.get()
        val members = components.views.members.get()
        val platform = components.views.platform.get()
        return RouterStatus(
            member = members.self,
            ready = notReadyReason() == null,
            configurationRevision = configuration.revision,
            vmListRevision = platform.vmListRevision,
            availabilityZones = configuration.fleet?.availabilityZones.orEmpty(),
            outOfServiceVms = configuration.fleet?.outOfServiceVms.orEmpty(),
            members = members.live,
            upstreams = upstreams(),
            refused = platform.refused,
        )
    }

    private fun upstreams(): List<UpstreamStatus> =
        components.views.routing
            .get()
            .pools.values
            .flatMap { it.upstreams }
            .distinctBy { it.id }
            .map(::upstreamStatus)

    private fun upstreamStatus(view: UpstreamView) =
        UpstreamStatus(
            upstream = view.id,
            availabilityZone = view.availabilityZone,
            pools = view.pools,
            state = view.state,
            load = maxOf(view.reportedLoad, view.othersInFlight),
            eligible = view.ineligibleReason == null,
            reason = view.ineligibleReason ?: if (view.state == UpstreamState.COLD) "cold: slots only" else "",
        )
}

internal fun RouterComponents.notReadyReason(): String? = notReadyReason(stopping.get(), views.configuration.get())
