/*
 * Fetches from a peer the platform's items that this gateway lacks, and records how long that takes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextDigest
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
 * @param readsPlatform returns whether this gateway reads the platform itself
 * @param applyItems applies the items after revision `since` that a peer returned, and returns whether that was possible: a
 *     delta needs the value from which it leads on
 */
internal class CatchUp(
    private val scope: CoroutineScope,
    private val directory: DirectoryManager,
    private val client: PeerClient,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val readsPlatform: () -> Boolean,
    private val applyItems: (peer: Member, since: PlatformRevision, items: RelayedItems) -> Boolean,
) {
    private val lag = ViewLag()

    /** Calls in progress, in order of their start. */
    private val calls = ArrayList<PeerCall>()

    /** Time for which this gateway has been behind the newest revision that peers report, or 0 if it is not behind. */
    val behindMillis: Long get() = lag.behindMillis(directory.revision, nowMillis())

    /**
     * Fetches from [sender] if it holds a newer revision.
     *
     * @param ageMillis time since the view of [sender] was confirmed as the newest one; negative if it never was
     */
    fun fetchIfBehind(sender: RouterPart, ageMillis: Long) {
        lag.observe(sender.platformRevision, sender.member.address, directory.revision, nowMillis())
        if (sender.platformRevision <= directory.revision || !mayCall(sender.member.address)) return
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

    /**
     * Returns whether the peer at [address] may be called. A second call at the same time, to another peer, is allowed
     * [HEDGING_DELAY_MILLIS] after the first one started, as the peer of the first may be unresponsive.
     */
    private fun mayCall(address: String): Boolean {
        val last = calls.lastOrNull() ?: return true
        return calls.size < MAXIMUM_CONCURRENT_CALLS &&
            calls.none { it.address == address } &&
            nowMillis() - last.startedAtMillis >= HEDGING_DELAY_MILLIS
    }

    /** Records a long lag of this gateway, with its calls in progress and its last error from the platform. */
    fun tick() {
        val report = lag.report(directory.revision, nowMillis()) ?: return
        val calledPeers = calls.joinToString { "${it.address} ${nowMillis() - it.startedAtMillis} ms ago" }
        val fetches = if (calls.isEmpty()) "no peer called" else "called $calledPeers"
        events.record(EventType.VIEW_BEHIND, "$report; $fetches, ${describePlatformReads()}")
    }

    private fun describePlatformReads(): String =
        if (readsPlatform()) "reads the platform (error: ${directory.platformFailure ?: "none"})" else "others read it"

    private suspend fun fetch(sender: RouterPart, ageMillis: Long) {
        val started = nowMillis()
        delay(fetchDelay())
        awaitListing()
        if (sender.platformRevision <= directory.revision) return
        // Fetches from the sender, so that the calls of the fleet do not all go to the same gateway.
        val items = fetchApplied(sender.member) ?: return
        if (ageMillis >= 0) directory.recordPeerAge(items.platformRevision, ageMillis + nowMillis() - started)
    }

    /**
     * Fetches and applies the items that this gateway lacks, and returns them, or null if a call failed. Whole values are
     * fetched if those that this gateway has do not lead to the peer's.
     */
    private suspend fun fetchApplied(peer: Member): RelayedItems? {
        val since = directory.revision
        val changes = fetch(peer, since, directory.valueDigests) ?: return null
        if (applyItems(peer, since, changes)) return changes
        events.record(
            EventType.PEER_FAILED,
            "a delta from ${peer.address} does not lead to its value; fetching the value",
        )
        val items = fetch(peer, since, known = emptyList()) ?: return null
        return items.takeIf { applyItems(peer, since, it) }
    }

    private suspend fun fetch(peer: Member, since: PlatformRevision, known: List<TextDigest>): RelayedItems? {
        val calledAt = nowMillis()
        return client
            .fetchItems(peer.address, since, known)
            .onLeft { recordFailure(since, it, nowMillis() - calledAt) }
            .onRight { recordFetch(peer, since, it, nowMillis() - calledAt) }
            .getOrNull()
    }

    private fun recordFailure(since: PlatformRevision, failure: PeerFailure, durationMillis: Long) =
        events.record(
            EventType.PEER_FAILED,
            "fetch of items after revision $since failed after $durationMillis ms: $failure",
        )

    private fun recordFetch(peer: Member, since: PlatformRevision, fetched: RelayedItems, durationMillis: Long) {
        events.record(
            EventType.ITEMS_FETCHED,
            "${fetched.items.size} items after revision $since up to ${fetched.revision}, " +
                "${fetched.characters} characters from ${peer.address} in $durationMillis ms, behind for $behindMillis ms",
        )
    }

    /** Waits for the first listing from the platform, if any, so that a peer need not send the same items. */
    private suspend fun awaitListing() {
        if (!readsPlatform()) return
        withTimeoutOrNull(LISTING_TIMEOUT) {
            while (directory.revision == PlatformRevision.NONE &&
                directory.platformFailure == null
            ) {
                delay(LISTING_POLL_INTERVAL)
            }
        }
    }

    /**
     * Returns the delay before a fetch. Within it an announcement usually delivers the changes or, to a reader of the
     * platform, the response to its watch.
     */
    private fun fetchDelay(): Duration = if (readsPlatform()) READER_FETCH_DELAY else FETCH_DELAY

    private class PeerCall(val address: String, val startedAtMillis: Long)

    private companion object {
        const val MAXIMUM_CONCURRENT_CALLS = 2

        /** Longer than the transfer of a large configuration takes on a shared link. */
        const val HEDGING_DELAY_MILLIS = 500L
        val READER_FETCH_DELAY = 150.milliseconds
        val FETCH_DELAY = 80.milliseconds

        /** A process that has just started is slow to decode and apply a large configuration. */
        val LISTING_TIMEOUT = 1_000.milliseconds
        val LISTING_POLL_INTERVAL = 40.milliseconds
    }
}
