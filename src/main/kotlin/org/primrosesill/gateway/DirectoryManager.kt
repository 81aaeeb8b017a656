/*
 * Owns the directory of one gateway: applies the updates of its sources, publishes views for the traffic thread, and
 * records changes in the event log.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.DirectoryChange
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.ItemChange
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.discovery.TextDelta
import org.primrosesill.discovery.TextDigest
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Confined to the control thread, except [view] and [awaitConfiguration].
 *
 * @param onPublish receives each published view
 * @param onPlatformUpdate called when the platform itself has delivered a newer revision
 */
internal class DirectoryManager(
    private val directory: UpstreamDirectory,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val onPublish: (DirectoryView) -> Unit,
    private val onPlatformUpdate: () -> Unit,
) {
    private val currentView = AtomicReference(DirectoryView())
    private val configurationApplied = CompletableDeferred<Unit>()
    private val freshness = PlatformFreshness()

    /** The most recently published view. Safe to read from any thread. */
    val view: DirectoryView get() = currentView.get()

    /** Suspends until a configuration has been applied or [timeout] expires. Safe to call from any thread. */
    suspend fun awaitConfiguration(timeout: Duration) {
        withTimeoutOrNull(timeout) { configurationApplied.await() }
    }

    val revision: PlatformRevision get() = directory.revision

    /** Returns the revision since which all changes are recorded, or null if it is not later than [since]. */
    fun recordedSinceLaterThan(since: PlatformRevision): PlatformRevision? = directory.recordedSinceLaterThan(since)

    /** Time since this view was last confirmed as the newest one, or null if it never was. */
    val ageMillis: Long? get() = freshness.ageMillis(nowMillis())

    /** Error of this gateway's last call to the platform, or null if that call succeeded. */
    var platformFailure: String? = null
        private set

    /** Time for which the platform has responded without interruption, or null while it counts as unreachable. */
    val platformReachableMillis: Long? get() = directory.reachability.upSince(nowMillis())?.let { nowMillis() - it }

    /** Time since the platform last responded to any gateway, or null if none has been recorded. */
    val platformResponseAgeMillis: Long? get() = directory.reachability.lastResponseAgeMillis(nowMillis())

    /** Digests of the large values to which this gateway can apply a delta. */
    val valueDigests: List<TextDigest> get() = directory.valueDigests

    /** Returns the changes after [since] for a peer that has the values with the digests [known]. */
    fun changesAfter(since: PlatformRevision, known: Set<TextDigest>): List<ItemChange> =
        directory.changesAfter(since, known)

    /** Returns the changes after [since] for peers that have all items up to it. */
    fun changesSince(since: PlatformRevision): List<ItemChange> = directory.changesSince(since)

    /** Returns the item that follows from [delta] to a value that this gateway has, or null if it has no such value. */
    fun itemAfter(key: String, revision: Long, delta: TextDelta): PlatformItem? =
        directory.itemAfter(key, revision, delta)

    /** Applies a complete listing from the platform. */
    fun applyListing(listing: PlatformListing, source: String) =
        applyPlatformUpdate { publish(directory.applyListing(listing, nowMillis()), source) }

    /** Applies [listing], a part of a listing from the platform that is not complete yet. */
    fun applyIncompleteListing(listing: PlatformListing, source: String) =
        publish(directory.applyIncompleteListing(listing, nowMillis()), source)

    /** Applies the changes after revision [since] from the platform. */
    fun applyChanges(since: PlatformRevision, changes: PlatformChanges, source: String) =
        applyPlatformUpdate { publish(directory.applyChanges(since, changes, nowMillis()), source) }

    private fun applyPlatformUpdate(update: () -> Unit) {
        val before = revision
        update()
        if (revision > before) onPlatformUpdate()
    }

    /** Applies the changes after revision [since] that a peer has relayed. */
    fun applyPeerChanges(since: PlatformRevision, changes: PlatformChanges, source: String) =
        publish(directory.applyChanges(since, changes, nowMillis()), source)

    /** Records a peer's report that the platform has responded for [reachableMillis], last [responseAgeMillis] ago. */
    fun recordPeerReachability(reachableMillis: Long, responseAgeMillis: Long) {
        val now = nowMillis()
        directory.reachability.recordPeerResponses(now - reachableMillis, now - responseAgeMillis)
    }

    /** Records the age that a peer reports for its view at [peerRevision]; a negative age means unknown. */
    fun recordPeerAge(peerRevision: PlatformRevision, ageMillis: Long) {
        freshness.recordPeerAge(peerRevision, revision, ageMillis, nowMillis())
        if (ageMillis >= 0) directory.reachability.recordResponseAt(nowMillis() - ageMillis)
    }

    /** Removes upstreams whose entries were not registered again in time. */
    fun tick() = publish(directory.tick(nowMillis()), "the periodic check")

    /** Records that the platform responded to this gateway. */
    fun recordPlatformResponse() {
        directory.reachability.recordResponse(nowMillis())
        freshness.confirm(nowMillis())
        if (platformFailure == null) return
        platformFailure = null
        events.record(EventType.PLATFORM_BACK, "the platform responds again")
    }

    /** Records that a call of this gateway to the platform failed. */
    fun recordPlatformFailure(error: FeedError) {
        directory.reachability.recordFailure(nowMillis())
        if (platformFailure == error.toString()) return
        platformFailure = error.toString()
        events.record(EventType.PLATFORM_LOST, error.toString())
    }

    private fun publish(changes: List<DirectoryChange>, source: String) {
        if (changes.isEmpty() && directory.revision == view.revision) return
        currentView.set(directory.view())
        onPublish(view)
        if (view.configuration != null) configurationApplied.complete(Unit)
        changes.forEach { record(it, source) }
    }

    private fun record(change: DirectoryChange, source: String) {
        val revision = directory.revision
        when (change) {
            is DirectoryChange.ConfigurationAccepted ->
                recordEvent(
                    EventType.CONFIGURATION_ACCEPTED,
                    "version ${change.version} from $source, ${change.newEntryCount} of ${change.entryCount} entries new",
                    "${change.version}",
                )
            is DirectoryChange.StaleConfigurationRejected ->
                recordEvent(
                    EventType.CONFIGURATION_REFUSED,
                    "version ${change.version} from $source is older than ${change.activeVersion}, which is in force",
                    "${change.version}",
                )
            is DirectoryChange.ZoneEvacuated ->
                recordEvent(EventType.ZONE_OUT, "evacuated, from $source", change.zone.value)
            is DirectoryChange.ZoneRestored ->
                recordEvent(EventType.ZONE_BACK, "returned to service, from $source", change.zone.value)
            is DirectoryChange.UpstreamListed ->
                recordUpstreamEvent(EventType.UPSTREAM_JOINED, "${change.state}, from $source", change.upstream)
            is DirectoryChange.UpstreamExpired ->
                recordUpstreamEvent(EventType.UPSTREAM_LAPSED, "${change.reason}, from $source", change.upstream)
            is DirectoryChange.UpstreamRemoved ->
                recordUpstreamEvent(EventType.UPSTREAM_LOST, "${change.reason}, from $source", change.upstream)
            is DirectoryChange.ItemRejected ->
                recordEvent(EventType.ITEM_REFUSED, "${change.reason}, from $source", change.key)
            is DirectoryChange.ItemAccepted ->
                recordEvent(EventType.ITEM_ACCEPTED, "can be decoded again, from $source", change.key)
            is DirectoryChange.PlatformRestored ->
                recordEvent(
                    EventType.PLATFORM_RESTORED,
                    "revision $revision replaces ${change.before}, ${change.held} items held, from $source",
                    "era ${revision.era}",
                )
            is DirectoryChange.OlderEraRejected ->
                recordEvent(
                    EventType.ITEM_REFUSED,
                    "changes up to ${change.revision} are of an older era than $revision, from $source",
                    "era ${change.revision.era}",
                )
        }
    }

    private fun recordUpstreamEvent(type: EventType, cause: String, upstream: UpstreamId) =
        events.record(type, cause, EventSubject(upstream = upstream, configurationRevision = revision.number))

    private fun recordEvent(type: EventType, cause: String, subject: String) =
        events.record(type, cause, EventSubject(subject = subject, configurationRevision = revision.number))
}
