/*
 * The rounds of the exchange between gateways, and catching up with a gateway that knows more of the platform's items.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
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
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val send: (Collection<String>, ExchangeMessage) -> Unit,
) {
    private var catchingUp = false
    private var announcing = false

    /** Starts a round after the other. */
    suspend fun run(): Nothing {
        while (true) {
            startRound()
            delay(INTERVAL)
        }
    }

    /** Tells the planned peers what this gateway knows. */
    fun startRound() {
        val round = fleet.nextRound(keeper)
        send(round.addresses, round.message)
    }

    /** Tells some gateways of each zone at once that there is news, and they tell others. */
    fun announce() {
        if (announcing) return
        announcing = true
        scope.launch {
            delay(GATHERING)
            announcing = false
            val announcement = fleet.announcement(keeper)
            send(announcement.addresses, announcement.message)
        }
    }

    /** Takes what a peer tells. */
    fun receive(message: ExchangeMessage) {
        fleet.take(message, nowMillis())
        val sender = message.parts.firstOrNull() ?: return
        keeper.takeAge(sender.configurationRevision, message.platformAgeMillis)
        if (sender.configurationRevision > keeper.revision && !catchingUp) scope.launch { catchUp(sender.member) }
        val answer = fleet.answerTo(message, keeper) ?: return
        send(listOf(sender.member.address), answer)
    }

    fun itemsAfter(revision: Long): RelayedItems =
        RelayedItems(
            revision = keeper.revision,
            items = keeper.itemsAfter(revision).map { RelayedItem(it.key, it.revision, it.value) },
            reachableMillis = keeper.platformReachableMillis ?: -1,
        )

    private suspend fun catchUp(sender: Member) {
        catchingUp = true
        delay(patience())
        val since = keeper.revision
        (fleet.ahead(since) ?: sender).let { peer ->
            client.items(peer.address, since).fold(
                { events.record(EventType.PEER_FAILED, "changes after revision $since: $it") },
                { takeItems(peer, since, it) },
            )
        }
        catchingUp = false
    }

    private fun takeItems(peer: Member, since: Long, page: RelayedItems) {
        val items = page.items.map { PlatformItem(it.key, it.revision, it.value) }
        val reachable = page.reachableMillis.takeIf { it >= 0 }
        keeper.takeFromPeer(since, PlatformChanges(page.revision, items), reachable, "gateway ${peer.address}")
    }

    /** A gateway that watches the platform usually hears of a change from it first. */
    private fun patience(): Duration = if (fleet.reads(keeper.ageMillis)) READER_PATIENCE else Duration.ZERO

    private companion object {
        val INTERVAL = 400.milliseconds
        val READER_PATIENCE = 150.milliseconds

        /** Changes often come in groups. */
        val GATHERING = 20.milliseconds
    }
}
