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
import org.primrosesill.event.EventSubject
import org.primrosesill.exchange.NewsSource
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
    private val news: TrafficNews,
    private val keeper: DirectoryKeeper,
    client: PeerClient,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val send: (Collection<String>, ExchangeMessage) -> Unit,
) {
    private var gatheredFrom: NewsSource? = null
    private var announcedRevision = 0L
    private var tellingCounts = false
    private val catchUp =
        CatchUp(
            scope,
            keeper,
            client,
            events,
            nowMillis,
            reads = ::readsPlatform,
            take = ::takeItems,
        )

    /** How long this gateway has known of a revision that it lacks, or 0. */
    val behindMillis: Long get() = catchUp.behindMillis

    /** Whether this gateway asks the platform itself. */
    fun readsPlatform(): Boolean = fleet.reads(keeper.ageMillis, behindMillis, nowMillis())

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

    /** Records that this gateway lacks a revision for long. */
    fun tick() = catchUp.tick()

    /** Tells other gateways at once of news that this one has from [source], and some of them tell others. */
    fun announce(source: NewsSource) {
        val gathering = gatheredFrom != null
        // News that this gateway brings into its zone has to be told, whatever came before it.
        if (source != NewsSource.OWN_ZONE || !gathering) gatheredFrom = source
        if (gathering) return
        scope.launch {
            delay(GATHERING)
            val since = announcedRevision
            announcedRevision = keeper.revision
            val changes = changesToTell(since)
            val announcement = fleet.announcement(keeper, gatheredFrom ?: source, carriesChanges = changes != null)
            gatheredFrom = null
            send(announcement.addresses, announcement.message.copy(changes = changes, changesSince = since))
        }
    }

    /** Returns the changes after [since] if a datagram holds them, so that nobody has to ask for them. */
    private fun changesToTell(since: Long): RelayedItems? {
        val changes = itemsAfter(since)
        val size = changes.items.sumOf { it.key.length + (it.value?.length ?: 0) }
        return changes.takeIf { size <= MAXIMUM_CHANGES_LENGTH }
    }

    /** Records which upstreams have fallen silent, and tells others at once of those that this gateway found itself. */
    fun tellSilence() {
        val silent = news.silenceNews()
        silent.found.forEach { recordSilence(it, "it has requests of this gateway and says nothing") }
        silent.believed.forEach { recordSilence(it, "several gateways find that it says nothing") }
        if (silent.found.isEmpty()) return
        val round = fleet.silenceRound()
        send(round.addresses, round.message)
    }

    private fun recordSilence(upstream: UpstreamId, cause: String) =
        events.record(EventType.UPSTREAM_FAILING, cause, EventSubject(upstream = upstream))

    /** Tells all gateways of a small fleet at once what this one has in progress. */
    fun tellCounts() {
        if (tellingCounts) return
        tellingCounts = true
        scope.launch {
            delay(GATHERING)
            tellingCounts = false
            fleet.countNews()?.let { send(it.addresses, it.message) }
        }
    }

    /** Takes what a peer tells. */
    fun receive(message: ExchangeMessage) {
        fleet.take(message, nowMillis())
        val sender = message.parts.firstOrNull() ?: return
        takeChanges(sender.member, message)
        keeper.takeAge(sender.configurationRevision, message.platformAgeMillis)
        catchUp.hear(sender, message.platformAgeMillis)
        val answer = fleet.answerTo(message, keeper) ?: return
        send(listOf(sender.member.address), answer)
    }

    fun itemsAfter(revision: Long): RelayedItems =
        RelayedItems(
            revision = keeper.revision,
            items = keeper.itemsAfter(revision).map { RelayedItem(it.key, it.revision, it.value) },
            reachableMillis = keeper.platformReachableMillis ?: -1,
            answeredAgoMillis = keeper.platformAnsweredAgoMillis ?: -1,
        )

    /** Takes the changes in [message] if they follow on what this gateway knows. */
    private fun takeChanges(sender: Member, message: ExchangeMessage) {
        val changes = message.changes ?: return
        if (message.changesSince <= keeper.revision) takeItems(sender, message.changesSince, changes)
    }

    private fun takeItems(peer: Member, since: Long, page: RelayedItems) {
        val before = keeper.revision
        val items = page.items.map { PlatformItem(it.key, it.revision, it.value) }
        // A peer that the platform turns away may know nothing of it, which does not mean that the platform is away.
        if (page.reachableMillis >= 0 && page.answeredAgoMillis >= 0) {
            keeper.takeReachability(page.reachableMillis, page.answeredAgoMillis)
        }
        keeper.takeFromPeer(since, PlatformChanges(page.revision, items), "gateway ${peer.address}")
        if (keeper.revision > before) announce(fleet.sourceOf(peer))
    }

    private companion object {
        val INTERVAL = 400.milliseconds

        /** Characters of changes that a datagram carries. */
        const val MAXIMUM_CHANGES_LENGTH = 4_000

        /** Changes and requests often come in groups. */
        val GATHERING = 20.milliseconds
    }
}
