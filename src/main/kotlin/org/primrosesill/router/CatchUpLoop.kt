/*
 * Pulls documents and the VM list from the peer that shows a newer revision in the exchange.
 */
package org.primrosesill.router

import org.primrosesill.generated.RouterPart
import org.primrosesill.http.PeerClient

internal class CatchUpLoop(
    private val control: ControlThread,
    private val state: ControlState,
    private val client: PeerClient,
    private val currentMillis: () -> Long,
) {
    private var turn = 0

    /** Pulls what is missing, page by page, and returns when this router has caught up or a peer did not answer. */
    suspend fun catchUp() {
        pullVmList()
        while (pullPage()) {
            // Each page was a step towards the revision that the peer shows.
        }
    }

    private suspend fun pullPage(): Boolean {
        val ahead = control.run { nextAhead() } ?: return false
        val since = control.run { state.documents.revision }
        val address = ahead.member.address
        val page = client.configuration(address, since).getOrNull() ?: return false
        return control.run {
            state.receivePage(page, since, "router ${ahead.member.router}", currentMillis())
            state.documents.revision > since
        }
    }

    /** The routers that are ahead take turns, since one of them may have died a moment ago. */
    private fun nextAhead(): RouterPart? {
        val ahead = state.parts.aheadOf(state.documents.revision)
        return if (ahead.isEmpty()) null else ahead[Math.floorMod(turn++, ahead.size)]
    }

    private suspend fun pullVmList() {
        val newest = control.run { state.parts.newestVmList() } ?: return
        if (newest.vmListRevision <= control.run { state.vmList.revision }) return
        val list = client.vms(newest.member.address).getOrNull() ?: return
        control.run { state.receiveVmList(list, currentMillis()) }
    }
}
