/*
 * The rounds of the exchange between gateways, and catching up with a gateway that knows more of the platform's items.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.RelayedItem
import org.primrosesill.generated.RelayedItems
import kotlin.time.Duration.Companion.milliseconds

/** Runs on the control thread. */
internal class ExchangeLoop(
    private val scope: CoroutineScope,
    private val fleet: Fleet,
    private val keeper: DirectoryKeeper,
    private val client: PeerClient,
    private val nowMillis: () -> Long,
) {
    private val waiting = HashSet<String>()
    private var catchingUp = false

    /** Sends to all planned peers that have answered the round before. */
    fun startRound() {
        val round =
            fleet.nextRound(
                keeper.revision,
                keeper.view.upstreams.values
                    .flatten()
                    .map { it.id },
            )
        round.addresses.filter { it !in waiting }.forEach { address ->
            waiting += address
            scope.launch {
                client
                    .exchange(address, round.message)
                    .onLeft { if (it.refused) fleet.reached(address, nowMillis()) }
                    .onRight(::take)
                waiting -= address
            }
        }
    }

    /** Takes the message of a peer and returns the answer. */
    fun receive(message: ExchangeMessage): ExchangeMessage {
        take(message)
        return fleet.answer(message, keeper.revision)
    }

    fun itemsAfter(revision: Long): RelayedItems =
        RelayedItems(keeper.revision, keeper.itemsAfter(revision).map { RelayedItem(it.key, it.revision, it.value) })

    private fun take(message: ExchangeMessage) {
        fleet.take(message, nowMillis())
        if (fleet.ahead(keeper.revision) != null && !catchingUp) scope.launch { catchUp() }
    }

    /** The platform's own answer usually comes first; a gateway that lacks it then asks the peer that is ahead. */
    private suspend fun catchUp() {
        catchingUp = true
        delay(PATIENCE)
        val since = keeper.revision
        fleet.ahead(since)?.let { peer ->
            client.items(peer.address, since).onRight { page ->
                val items = page.items.map { PlatformItem(it.key, it.revision, it.value) }
                keeper.take(since, PlatformChanges(page.revision, items), "gateway ${peer.address}")
            }
        }
        catchingUp = false
    }

    private companion object {
        val PATIENCE = 150.milliseconds
    }
}
