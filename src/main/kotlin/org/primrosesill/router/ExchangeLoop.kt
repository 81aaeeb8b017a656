/*
 * The rounds of the state exchange. In each round, this router sends its part to the peers in the round plan.
 */
package org.primrosesill.router

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.exchange.planFullMesh
import org.primrosesill.exchange.planProbes
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.http.PeerClient

internal class ExchangeLoop(
    private val control: ControlThread,
    private val state: ControlState,
    private val client: PeerClient,
    private val currentMillis: () -> Long,
) {
    private var round = 0L

    /** Runs one round, and returns when each of its exchanges has completed or timed out. */
    suspend fun runRound() {
        round++
        val plan = control.run { plan() }
        coroutineScope {
            plan.addresses.forEach { address -> launch { exchange(address, plan.message) } }
        }
    }

    private fun plan(): RoundPlan {
        val part = state.startRound()
        val self = state.members.self()
        // Peers do not relay whole parts, so each part is sent to all live routers, also in a large fleet.
        val planned = planFullMesh(round, self.router, state.members.live()).map { it.peer.address }
        val probes = planProbes(round, state.members.silentAddresses())
        return RoundPlan((planned + probes).distinct(), ExchangeMessage(round, listOf(part)))
    }

    private suspend fun exchange(address: String, message: ExchangeMessage) {
        val reply = client.exchange(address, message).getOrNull() ?: return
        control.run { state.receive(reply, currentMillis()) }
    }
}

private class RoundPlan(val addresses: List<String>, val message: ExchangeMessage)
