/*
 * The rounds of the exchange between gateways, and catching up with a gateway that knows more of the platform's items.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.exchange.FULL_EXCHANGE_GATEWAYS
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.RelayedItem
import org.primrosesill.generated.RelayedItems
import kotlin.time.Duration
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
    private var announcing = false

    /** Starts a round after the other. */
    suspend fun run(): Nothing {
        while (true) {
            startRound()
            delay(if (fleet.size > FULL_EXCHANGE_GATEWAYS) LARGE_FLEET_INTERVAL else SMALL_FLEET_INTERVAL)
        }
    }

    /** Sends to all planned peers that have answered the round before. */
    fun startRound() {
        val round =
            fleet.nextRound(keeper)
        send(round.addresses, round.message)
    }

    /** Tells some near gateways at once that there is news, and they tell others. */
    fun announce() {
        if (announcing) return
        announcing = true
        scope.launch {
            delay(GATHERING)
            announcing = false
            send(fleet.nearPeers(ANNOUNCED_PEERS).map { it.address }, fleet.message(keeper))
        }
    }

    /** Takes the message of a peer and returns the answer. */
    fun receive(message: ExchangeMessage): ExchangeMessage {
        take(message)
        return fleet.answer(message, keeper)
    }

    fun itemsAfter(revision: Long): RelayedItems =
        RelayedItems(
            revision = keeper.revision,
            items = keeper.itemsAfter(revision).map { RelayedItem(it.key, it.revision, it.value) },
            reachableMillis = keeper.platformReachableMillis ?: -1,
        )

    private fun send(addresses: List<String>, message: ExchangeMessage) {
        addresses.filter { it !in waiting }.forEach { address ->
            waiting += address
            scope.launch {
                client
                    .exchange(address, message)
                    .onLeft { if (it.refused) fleet.reached(address, nowMillis()) }
                    .onRight(::take)
                waiting -= address
            }
        }
    }

    private fun take(message: ExchangeMessage) {
        fleet.take(message, nowMillis())
        val sender = message.parts.firstOrNull() ?: return
        keeper.takeAge(sender.configurationRevision, message.platformAgeMillis)
        if (sender.configurationRevision > keeper.revision && !catchingUp) scope.launch { catchUp(sender.member) }
    }

    private suspend fun catchUp(sender: Member) {
        catchingUp = true
        delay(patience())
        val since = keeper.revision
        (fleet.ahead(since) ?: sender).let { peer ->
            client.items(peer.address, since).onRight { page ->
                val items = page.items.map { PlatformItem(it.key, it.revision, it.value) }
                val reachable = page.reachableMillis.takeIf { it >= 0 }
                keeper.takeFromPeer(since, PlatformChanges(page.revision, items), reachable, "gateway ${peer.address}")
            }
        }
        catchingUp = false
    }

    /** A gateway that watches the platform usually hears of a change from it first. */
    private fun patience(): Duration = if (fleet.reads(keeper.ageMillis)) READER_PATIENCE else Duration.ZERO

    private companion object {
        val SMALL_FLEET_INTERVAL = 250.milliseconds
        val LARGE_FLEET_INTERVAL = 500.milliseconds
        val READER_PATIENCE = 150.milliseconds

        /** Changes often come in groups. */
        val GATHERING = 20.milliseconds
        const val ANNOUNCED_PEERS = 3
    }
}
