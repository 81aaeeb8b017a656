/*
 * Runs the gossip rounds between gateways, announces updates of the platform's items, and fetches items from a peer
 * that holds a newer revision.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextDigest
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.UpdateSource
import org.primrosesill.generated.EventType
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.Member
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
    private var announcedRevision = PlatformRevision.NONE
    private var requestCountsScheduled = false
    private var crashEvidenceScheduled = false
    private val relay = ItemRelay(directory)
    private val pages = ItemPages(relay, directory, nowMillis)
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

    /** Time for which this gateway has been behind the newest revision that peers report, or 0 if it is not behind. */
    val behindMillis: Long get() = catchUp.behindMillis

    /** Returns whether this gateway reads the platform itself. */
    fun readsPlatform(): Boolean = fleet.isPlatformReader(directory.ageMillis, behindMillis, nowMillis())

    /** Starts a gossip round at a fixed interval. */
    suspend fun run(): Nothing {
        while (true) {
            startRound()
            delay(ROUND_INTERVAL)
        }
    }

    /** Sends the state of this gateway to the peers that are selected for the round. */
    fun startRound() {
        val addressed = fleet.nextRound(directory)
        send(addressed.addresses, addressed.message)
    }

    /** Records a long lag of this gateway's view. */
    fun tick() = catchUp.tick()

    /** Announces an update from [source] without waiting for a round; some receivers relay the announcement. */
    fun announce(source: UpdateSource) {
        val scheduled = pendingSource != null
        // An update from outside the zone must be announced in it; one from OWN_ZONE may not be announced at all.
        if (source != UpdateSource.OWN_ZONE || !scheduled) pendingSource = source
        if (scheduled) return
        scope.launch {
            delay(BATCHING_DELAY)
            val since = announcedRevision
            announcedRevision = directory.revision
            val lastSource = pendingSource ?: source
            pendingSource = null
            sendAnnouncements(lastSource, since)
        }
    }

    /** Announces the changes after [since], which came from [source]. */
    private fun sendAnnouncements(source: UpdateSource, since: PlatformRevision) {
        val changes = relay.announcedChanges(since)
        val announcement = fleet.announcement(directory, source, changes.areComplete)
        if (changes.areComplete) {
            send(announcement.addresses, announcement.message.withChanges(changes.datagrams.single(), since))
            return
        }
        // The receivers apply the small changes without the large ones before them, and keep their revision.
        if (since > PlatformRevision.NONE) {
            val small = fleet.smallChangesMessage(source, since)
            changes.datagrams.forEach {
                send(small.addresses, small.message.withChanges(it, since = directory.revision))
            }
        }
        send(announcement.addresses, announcement.message)
    }

    private fun ExchangeMessage.withChanges(changes: RelayedItems, since: PlatformRevision): ExchangeMessage {
        val message = copy(changesSince = since.number, changesSinceEra = since.era)
        return if (changes.hasDeltas) message.copy(deltaChanges = changes) else message.copy(changes = changes)
    }

    /** Records upstreams that have become silent, and broadcasts at once those that this gateway detected itself. */
    fun broadcastSilentUpstreams() {
        val silence = trafficGossip.newlySilent()
        silence.detected.forEach { recordSilentUpstream(it, "it has requests of this gateway and says nothing") }
        silence.confirmed.forEach { recordSilentUpstream(it, "several gateways find that it says nothing") }
        if (silence.detected.isEmpty()) return
        val addressed = fleet.silentUpstreamsMessage()
        send(addressed.addresses, addressed.message)
    }

    private fun recordSilentUpstream(upstream: UpstreamId, cause: String) =
        events.record(EventType.UPSTREAM_FAILING, cause, EventSubject(upstream = upstream))

    /** Broadcasts new evidence on prompt parts that crash engines, without waiting for a round. */
    fun broadcastCrashEvidence() {
        if (crashEvidenceScheduled) return
        crashEvidenceScheduled = true
        scope.launch {
            delay(BATCHING_DELAY)
            crashEvidenceScheduled = false
            val addressed = fleet.crashEvidenceMessage()
            send(addressed.addresses, addressed.message)
            recordPartBlockChanges()
        }
    }

    /** Records which prompt parts were blocked or unblocked since the last call. */
    fun recordPartBlockChanges() {
        for (change in trafficGossip.partBlockChanges()) {
            val type = if (change.isBlocked) EventType.PROMPT_PART_BLOCKED else EventType.PROMPT_PART_UNBLOCKED
            events.record(type, change.cause, EventSubject(subject = change.part.value))
        }
    }

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
        fleet.applyMessage(message, nowMillis())
        if (trafficGossip.applyCrashEvidence(message)) broadcastCrashEvidence()
        val sender = message.parts.firstOrNull() ?: return
        applyChanges(sender.member, message)
        directory.recordPeerAge(sender.platformRevision, message.platformAgeMillis)
        catchUp.fetchIfBehind(sender, message.platformAgeMillis)
        val reply = fleet.replyTo(message, directory) ?: return
        send(listOf(sender.member.address), reply)
    }

    /**
     * Returns the platform's items that changed after revision [since] of [era], for a peer that has the large values with the
     * digests [known]. A peer of a version that knows no eras sends none; its revision counts as one of the current era.
     */
    fun itemsAfter(since: Long, era: Long?, known: Set<TextDigest>): ItemPage =
        pages.page(PlatformRevision(since, era ?: directory.revision.era), known)

    /** Returns the time since [page] was encoded. */
    fun ageMillisOf(page: ItemPage): Long = nowMillis() - page.encodedAtMillis

    /** Applies the changes in [message], also if this gateway lacks revisions before them, which it fetches. */
    private fun applyChanges(sender: Member, message: ExchangeMessage) {
        val changes = message.changes ?: message.deltaChanges ?: return
        applyItems(sender, PlatformRevision(message.changesSince, message.changesSinceEra), changes)
    }

    /**
     * Applies the items that changed after [since]. Returns false if some of them are deltas to values that this gateway does
     * not have; the others are applied, and the revision of this gateway does not advance.
     */
    private fun applyItems(peer: Member, since: PlatformRevision, relayed: RelayedItems): Boolean {
        val before = directory.revision
        val decoded = relay.decode(relayed)
        // A peer whose calls the platform rejects may report no response; the platform may be reachable all the same.
        if (relayed.reachableMillis >= 0 && relayed.answeredAgoMillis >= 0) {
            directory.recordPeerReachability(relayed.reachableMillis, relayed.answeredAgoMillis)
        }
        val appliedSince = if (decoded.areComplete) since else relayed.platformRevision
        val recordedSince = relayed.recordedSinceRevision.takeIf { decoded.areComplete }
        val changes = PlatformChanges(relayed.platformRevision, decoded.items, recordedSince)
        directory.applyPeerChanges(appliedSince, changes, "gateway ${peer.address}")
        if (directory.revision > before) announce(fleet.sourceOf(peer))
        return decoded.areComplete
    }

    private companion object {
        val ROUND_INTERVAL = 400.milliseconds

        /** Changes and requests often arrive in bursts, which a single message then covers. */
        val BATCHING_DELAY = 20.milliseconds
    }
}
