/*
 * Pulls documents and the VM list from the peer that shows a newer revision in the exchange.
 */
package org.primrosesill.router

import org.primrosesill.concurrent.ControlThread
import org.primrosesill.configuration.PeerRevision
import org.primrosesill.configuration.ReaderElection
import org.primrosesill.generated.Member
import org.primrosesill.http.PeerClient

/** Calls between two searches for the predecessor of a refused document; a peer seldom has what others lack. */
private const val PREDECESSOR_CALLS = 20

internal class CatchUpLoop(
    private val control: ControlThread,
    private val state: ControlState,
    private val client: PeerClient,
    private val currentMillis: () -> Long,
) {
    private var turn = 0
    private var calls = 0

    /** Pulls what is missing, page by page, and returns when this router has caught up or a peer did not answer. */
    suspend fun catchUp() {
        pullVmList()
        while (pullPage()) {
            // Each page was a step towards the revision that the peer shows.
        }
        if (calls++ % PREDECESSOR_CALLS == 0) pullPredecessors()
    }

    private suspend fun pullPage(): Boolean {
        val peer = control.run { nextAhead() } ?: return false
        val since = control.run { state.documents.revision }
        pull(peer, since)
        return control.run { state.documents.revision > since }
    }

    /** The platform no longer has the version before a refused one, but a peer may hold it in force. */
    private suspend fun pullPredecessors() {
        val peer = control.run { if (state.documents.lacksPredecessor()) anyPeer() else null } ?: return
        pull(peer, since = 0)
    }

    private suspend fun pull(peer: Member, since: Long) {
        val page = client.configuration(peer.address, since).getOrNull() ?: return
        control.run { state.receivePage(page, since, "router ${peer.router}", currentMillis()) }
    }

    private fun nextAhead(): Member? {
        val parts = state.parts.parts()
        val peers = parts.map { PeerRevision(it.member.router, it.configurationRevision) }
        val own = state.members.self().router
        val router = ReaderElection.selectCatchUpPeer(own, state.documents.revision, peers, turn++)
        return parts.firstOrNull { it.member.router == router }?.member
    }

    private fun anyPeer(): Member? {
        val parts = state.parts.parts()
        return if (parts.isEmpty()) null else parts[Math.floorMod(turn++, parts.size)].member
    }

    private suspend fun pullVmList() {
        val newest = control.run { state.parts.newestVmList() } ?: return
        if (newest.vmListRevision <= control.run { state.vmList.revision }) return
        val list = client.vms(newest.member.address).getOrNull() ?: return
        control.run { state.receiveVmList(list, currentMillis()) }
    }
}
