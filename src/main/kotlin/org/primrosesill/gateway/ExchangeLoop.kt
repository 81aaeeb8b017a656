/*
 * The gossip rounds between gateways, and catching up with a peer that holds a newer revision of the platform's items.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.UpdateSource
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
import org.primrosesill.generated.RelayedItem
import org.primrosesill.generated.RelayedItems
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration.Companion.milliseconds

/** Runs on the control thread. */
internal class ExchangeLoop(
    private val scope: CoroutineScope,
    private val fleet: Fleet,
    private val trafficGossip: TrafficGossip,
    private val directory: DirectoryManager,
    client: PeerClient,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val send: (Collection<String>, ExchangeMessage) -> Unit,
) {
    private var pendingSource: UpdateSource? = null
    private var announcedRevision = 0L
    private var requestCountsScheduled = false
    private val catchUp =
        CatchUp(
            scope,
            directory,
            client,
            events,
            nowMillis,
            readsPlatform = ::readsPlatform,
            applyItems = ::applyItems,
        )

    /** Time for which this gateway has known of a revision that it lacks, or 0. */
    val behindMillis: Long get() = catchUp.behindMillis

    /** Returns whether this gateway reads the platform itself. */
    fun readsPlatform(): Boolean = fleet.reads(directory.ageMillis, behindMillis, nowMillis())

    /** Starts a gossip round at a fixed interval. */
    suspend fun run(): Nothing {
        while (true) {
            startRound()
            delay(ROUND_INTERVAL)
        }
    }

    /** Sends the state of this gateway to the peers that are planned for the round. */
    fun startRound() {
        val round = fleet.nextRound(directory)
        send(round.addresses, round.message)
    }

    /** Records a view that has been behind for long. */
    fun tick() = catchUp.tick()

    /** Announces an update from [source] without waiting for a round; some receivers announce it in turn. */
    fun announce(source: UpdateSource) {
        val scheduled = pendingSource != null
        // An update that this gateway brings into its zone must be announced, whatever else is pending.
        if (source != UpdateSource.OWN_ZONE || !scheduled) pendingSource = source
        if (scheduled) return
        scope.launch {
            delay(BATCHING_DELAY)
            val since = announcedRevision
            announcedRevision = directory.revision
            val changes = changesToSend(since)
            val announcement = fleet.announcement(directory, pendingSource ?: source, carriesChanges = changes != null)
            pendingSource = null
            send(announcement.addresses, announcement.message.copy(changes = changes, changesSince = since))
        }
    }

    /** Returns the changes after [since] if a datagram holds them, so that no receiver has to fetch them, or null. */
    private fun changesToSend(since: Long): RelayedItems? {
        val changes = itemsAfter(since)
        val size = changes.items.sumOf { it.key.length + (it.value?.length ?: 0) }
        return changes.takeIf { size <= MAXIMUM_CHANGES_LENGTH }
    }

    /** Records upstreams that have fallen silent, and broadcasts at once those that this gateway detected itself. */
    fun broadcastSilence() {
        val silence = trafficGossip.newlySilent()
        silence.detected.forEach { recordSilence(it, "it has requests of this gateway and says nothing") }
        silence.confirmed.forEach { recordSilence(it, "several gateways find that it says nothing") }
        if (silence.detected.isEmpty()) return
        val silenceReport = fleet.silenceMessage()
        send(silenceReport.addresses, silenceReport.message)
    }

    private fun recordSilence(upstream: UpstreamId, cause: String) =
        events.record(EventType.UPSTREAM_FAILING, cause, EventSubject(upstream = upstream))

    /** Broadcasts the request counts of this gateway in a small fleet, without waiting for a round. */
    fun broadcastRequestCounts() {
        if (requestCountsScheduled) return
        requestCountsScheduled = true
        scope.launch {
            delay(BATCHING_DELAY)
            requestCountsScheduled = false
            fleet.requestCountsMessage()?.let { send(it.addresses, it.message) }
        }
    }

    /** Applies a message from a peer, and replies or fetches changes if needed. */
    fun receive(message: ExchangeMessage) {
        fleet.accept(message, nowMillis())
        val sender = message.parts.firstOrNull() ?: return
        applyChanges(sender.member, message)
        directory.acceptAge(sender.configurationRevision, message.platformAgeMillis)
        catchUp.receive(sender, message.platformAgeMillis)
        val reply = fleet.replyTo(message, directory) ?: return
        send(listOf(sender.member.address), reply)
    }

    /** Returns the platform's items that changed after [revision], for a peer. */
    fun itemsAfter(revision: Long): RelayedItems =
        RelayedItems(
            revision = directory.revision,
            items = directory.itemsAfter(revision).map { RelayedItem(it.key, it.revision, it.value) },
            reachableMillis = directory.platformReachableMillis ?: -1,
            answeredAgoMillis = directory.platformAnsweredAgoMillis ?: -1,
        )

    /** Applies the changes in [message] if no revision is missing between them and this gateway's own. */
    private fun applyChanges(sender: Member, message: ExchangeMessage) {
        val changes = message.changes ?: return
        if (message.changesSince <= directory.revision) applyItems(sender, message.changesSince, changes)
    }

    private fun applyItems(peer: Member, since: Long, page: RelayedItems) {
        val before = directory.revision
        val items = page.items.map { PlatformItem(it.key, it.revision, it.value) }
        // A peer that the platform rejects may report nothing, which does not mean that the platform is unreachable.
        if (page.reachableMillis >= 0 && page.answeredAgoMillis >= 0) {
            directory.acceptReachability(page.reachableMillis, page.answeredAgoMillis)
        }
        directory.applyPeerChanges(since, PlatformChanges(page.revision, items), "gateway ${peer.address}")
        if (directory.revision > before) announce(fleet.sourceOf(peer))
    }

    private companion object {
        val ROUND_INTERVAL = 400.milliseconds

        /** Most characters of changes that one announcement carries. */
        const val MAXIMUM_CHANGES_LENGTH = 4_000

        /** Changes and requests often arrive in bursts, which one message then covers. */
        val BATCHING_DELAY = 20.milliseconds
    }
}
