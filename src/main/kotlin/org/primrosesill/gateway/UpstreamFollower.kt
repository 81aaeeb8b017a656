/*
 * Lets what a gateway remembers of upstreams follow the directory: an upstream that is gone, or has started again, holds
 * nothing and has done nothing.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.ColdStartBudget
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.UpstreamActivity
import org.primrosesill.placement.UpstreamLoads

/** Used on the traffic thread. */
internal class UpstreamFollower(
    private val activity: UpstreamActivity,
    private val loads: UpstreamLoads,
    private val index: PartIndex,
    private val coldStart: ColdStartBudget,
) {
    private var starts: Map<UpstreamId, Long?> = emptyMap()

    fun follow(view: DirectoryView) {
        val known =
            view.upstreams.values
                .flatten()
                .associate { it.id to it.registration.startedAtMillis }
        index.forget(starts.filter { (upstream, started) -> upstream !in known || known[upstream] != started }.keys)
        activity.retain(known.keys)
        loads.retain(known.keys)
        coldStart.retain(known.keys)
        starts = known
    }
}
