/*
 * The rounds of the exchange: in each, this router sends its part to the peers that the plan names.
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

    /** Runs one round, and returns when every exchange of it has ended or timed out. */
    suspend fun runRound() {
        round++
        val plan = control.run { plan() }
        coroutineScope {
            plan.addresses.forEach { address -> launch { exchange(address, plan.message) } }
        }
    }

    private fun plan(): Round {
        val part = state.nextPart()
        val self = state.members.self()
        // Whole parts reach only the router they are sent to, so that they go to all, also in a large fleet.
        val planned = planFullMesh(round, self.router, state.members.live()).map { it.peer.address }
        val probes = planProbes(round, state.members.silentAddresses())
        return Round((planned + probes).distinct(), ExchangeMessage(round, listOf(part)))
    }

    private suspend fun exchange(address: String, message: ExchangeMessage) {
        val reply = client.exchange(address, message).getOrNull() ?: return
        control.run { state.receive(reply, currentMillis()) }
    }
}

private class Round(val addresses: List<String>, val message: ExchangeMessage)
