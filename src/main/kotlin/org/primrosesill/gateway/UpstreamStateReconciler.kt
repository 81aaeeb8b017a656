/*
 * Reconciles the per-upstream state of a gateway with the directory: drops the state of a removed upstream, and the
 * held prompt parts of a restarted one, whose cache is empty.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.load.SpeedObservations
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.ColdStartBudget
import org.primrosesill.placement.PromptCacheIndex

/** Confined to the traffic thread. */
internal class UpstreamStateReconciler(
    private val activity: UpstreamActivity,
    private val loads: UpstreamLoads,
    private val index: PromptCacheIndex,
    private val coldStart: ColdStartBudget,
    private val speeds: SpeedObservations,
) {
    private var listedStartMillis: Map<UpstreamId, Long?> = emptyMap()

    /** Drops the state of upstreams that [view] does not list, and the held parts of those with another start time. */
    fun reconcile(view: DirectoryView) {
        val listed =
            view.upstreams.values
                .flatten()
                .associate { it.id to it.registration.startedAtMillis }
        index.removeEngines(
            listedStartMillis.filter { (upstream, start) -> upstream !in listed || listed[upstream] != start }.keys,
        )
        activity.retain(listed.keys)
        loads.retain(listed.keys)
        coldStart.retain(listed.keys)
        speeds.retain(listed.keys)
        listedStartMillis = listed
    }
}
