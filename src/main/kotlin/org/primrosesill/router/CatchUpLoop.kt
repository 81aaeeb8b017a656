/*
 * Fetches documents and the VM list from peers that report a newer revision in the exchange.
 */
package org.primrosesill.router

import org.primrosesill.concurrent.ControlThread
import org.primrosesill.configuration.PeerRevision
import org.primrosesill.configuration.ReaderElection
import org.primrosesill.generated.Member
import org.primrosesill.http.PeerClient

/** Catch-up runs for each search for the predecessor of a rejected document, which few peers have if others lack it. */
private const val RUNS_PER_PREDECESSOR_SEARCH = 20

internal class CatchUpLoop(
    private val control: ControlThread,
    private val state: ControlState,
    private val client: PeerClient,
    private val currentMillis: () -> Long,
) {
    private var nextPeerIndex = 0
    private var catchUpRuns = 0

    /** Fetches missing documents page by page. Returns when this router has caught up or a peer did not respond. */
    suspend fun catchUp() {
        fetchVmList()
        while (fetchPage()) {
            // Each page advances the local revision towards the revision that the peer reports.
        }
        if (catchUpRuns++ % RUNS_PER_PREDECESSOR_SEARCH == 0) fetchPredecessors()
    }

    private suspend fun fetchPage(): Boolean {
        val peer = control.run { nextPeerAhead() } ?: return false
        val since = control.run { state.documents.revision }
        fetch(peer, since)
        return control.run { state.documents.revision > since }
    }

    /** Fetches all documents of one peer: it may have the version before a rejected one, which the platform lacks. */
    private suspend fun fetchPredecessors() {
        val peer = control.run { if (state.documents.lacksPredecessor()) nextPeer() else null } ?: return
        fetch(peer, since = 0)
    }

    private suspend fun fetch(peer: Member, since: Long) {
        val page = client.configuration(peer.address, since).getOrNull() ?: return
        control.run { state.receivePage(page, since, "router ${peer.router}", currentMillis()) }
    }

    private fun nextPeerAhead(): Member? {
        val parts = state.parts.parts()
        val peers = parts.map { PeerRevision(it.member.router, it.configurationRevision) }
        val selfRouter = state.members.self().router
        val router = ReaderElection.selectCatchUpPeer(selfRouter, state.documents.revision, peers, nextPeerIndex++)
        return parts.firstOrNull { it.member.router == router }?.member
    }

    private fun nextPeer(): Member? {
        val parts = state.parts.parts()
        return if (parts.isEmpty()) null else parts[Math.floorMod(nextPeerIndex++, parts.size)].member
    }

    private suspend fun fetchVmList() {
        val newest = control.run { state.parts.newestVmList() } ?: return
        if (newest.vmListRevision <= control.run { state.vmList.revision }) return
        val list = client.vms(newest.member.address).getOrNull() ?: return
        control.run { state.receiveVmList(list, currentMillis()) }
    }
}
