/*
 * Fetches from another gateway the platform's items that this one lacks, and records how long that takes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.Member
import org.primrosesill.generated.RelayedItems
import org.primrosesill.generated.RouterPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs on the control thread.
 *
 * @param reads whether this gateway asks the platform itself
 * @param take takes the items that a peer has sent for those after a revision
 */
internal class CatchUp(
    private val scope: CoroutineScope,
    private val keeper: DirectoryKeeper,
    private val client: PeerClient,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val reads: () -> Boolean,
    private val take: (peer: Member, since: Long, page: RelayedItems) -> Unit,
) {
    private val lag = ViewLag()

    /** The calls that are being made, in the order of their start. */
    private val calls = ArrayList<PeerCall>()

    /** How long this gateway has known of a revision that it lacks, or 0. */
    val behindMillis: Long get() = lag.behindMillis(keeper.revision, nowMillis())

    /** Takes what [sender] knows; its view was the newest one [ageMillis] ago, or negative when that was never known. */
    fun hear(sender: RouterPart, ageMillis: Long) {
        lag.heard(sender.configurationRevision, sender.member.address, keeper.revision, nowMillis())
        if (sender.configurationRevision <= keeper.revision || !mayAsk(sender.member.address)) return
        val call = PeerCall(sender.member.address, nowMillis())
        calls += call
        scope.launch {
            try {
                fetch(sender, ageMillis)
            } finally {
                calls -= call
            }
        }
    }

    /** One gateway is asked, and a second one when the first takes long: it may have fallen silent. */
    private fun mayAsk(address: String): Boolean {
        val last = calls.lastOrNull() ?: return true
        return calls.size < MAXIMUM_CALLS &&
            calls.none { it.address == address } &&
            nowMillis() - last.startedAtMillis >= SECOND_CALL_MILLIS
    }

    /** Records that this gateway has been behind for long, and why. */
    fun tick() {
        val note = lag.note(keeper.revision, nowMillis()) ?: return
        val asked = calls.joinToString { "${it.address} ${nowMillis() - it.startedAtMillis} ms ago" }
        val waiting = if (calls.isEmpty()) "asks no gateway" else "asked $asked"
        events.record(EventType.VIEW_BEHIND, "$note; $waiting, ${describeReading()}")
    }

    private fun describeReading(): String =
        if (reads()) "asks the platform (${keeper.platformFailure ?: "it answers"})" else "leaves that to others"

    private suspend fun fetch(sender: RouterPart, ageMillis: Long) {
        val started = nowMillis()
        delay(patience())
        awaitListing()
        val since = keeper.revision
        if (sender.configurationRevision > since) {
            // The one that told is asked, so that the fleet does not ask the same gateway.
            val peer = sender.member
            val asked = nowMillis()
            client.items(peer.address, since).fold(
                { recordFailure(since, it, nowMillis() - asked) },
                {
                    recordFetch(peer, since, it, nowMillis() - asked)
                    take(peer, since, it)
                    if (ageMillis >= 0) keeper.takeAge(it.revision, ageMillis + nowMillis() - started)
                },
            )
        }
    }

    private fun recordFailure(since: Long, failure: PeerFailure, tookMillis: Long) =
        events.record(EventType.PEER_FAILED, "changes after revision $since, after $tookMillis ms: $failure")

    private fun recordFetch(peer: Member, since: Long, page: RelayedItems, tookMillis: Long) {
        val size = page.items.sumOf { it.key.length + (it.value?.length ?: 0) }
        events.record(
            EventType.ITEMS_FETCHED,
            "${page.items.size} items after revision $since up to ${page.revision}, $size characters " +
                "from ${peer.address} in $tookMillis ms, behind for $behindMillis ms",
        )
    }

    /** A gateway that lists the platform at its start need not fetch all of it from a peer as well. */
    private suspend fun awaitListing() {
        if (!reads()) return
        withTimeoutOrNull(LISTING_PATIENCE) {
            while (keeper.revision == 0L && keeper.platformFailure == null) delay(LISTING_POLL)
        }
    }

    /** An announcement usually brings a change, and a gateway that watches the platform hears of it there. */
    private fun patience(): Duration = if (reads()) READER_PATIENCE else NEWS_PATIENCE

    private class PeerCall(val address: String, val startedAtMillis: Long)

    private companion object {
        const val MAXIMUM_CALLS = 2

        /** Longer than a large configuration takes on a link that others use as well. */
        const val SECOND_CALL_MILLIS = 500L
        val READER_PATIENCE = 150.milliseconds
        val NEWS_PATIENCE = 80.milliseconds

        /** A process that has just started takes long to read a large configuration. */
        val LISTING_PATIENCE = 1_000.milliseconds
        val LISTING_POLL = 40.milliseconds
    }
}
