/*
 * Polls load reports from the upstreams that are assigned to this router.
 */
package org.primrosesill.router

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.generated.LoadReport
import org.primrosesill.http.LoadReportClient
import org.primrosesill.model.UpstreamId
import org.primrosesill.routing.loadPollAssignment

internal class LoadPollLoop(
    private val control: ControlThread,
    private val state: ControlState,
    private val client: LoadReportClient,
    private val currentMillis: () -> Long,
) {
    /** Polls all assigned upstreams once, concurrently. */
    suspend fun poll() {
        val assigned = control.run { assignment() }
        val reports =
            coroutineScope {
                assigned.map { (upstream, address) -> async { fetch(upstream, address) } }.awaitAll().filterNotNull()
            }
        control.run { state.receiveReports(reports, assigned.keys, currentMillis()) }
    }

    /** Drops a report that names another upstream, because the address was reassigned to another VM. */
    private suspend fun fetch(upstream: UpstreamId, address: String): LoadReport? =
        client.read(address)?.takeIf { it.upstream == upstream }

    private fun assignment(): Map<UpstreamId, String> {
        val members = state.members
        val routers = members.live().associate { it.router to it.availabilityZone }
        val assigned = loadPollAssignment(members.self().router, routers, state.upstreams.polledUpstreamZones)
        return state.upstreams.addresses.filterKeys { it in assigned }
    }
}
