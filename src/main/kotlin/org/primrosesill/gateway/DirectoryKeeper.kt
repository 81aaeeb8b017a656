/*
 * Owns the directory of one gateway: takes what its sources deliver, publishes views for traffic, and records changes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.discovery.DirectoryChange
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.UpstreamDirectory
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Used on the control thread, but for [view]. */
internal class DirectoryKeeper(
    private val directory: UpstreamDirectory,
    private val events: EventLog,
    private val nowMillis: () -> Long,
    private val published: (DirectoryView) -> Unit,
    private val heardFromPlatform: () -> Unit,
) {
    private val current = AtomicReference(DirectoryView())
    private val configured = CompletableDeferred<Unit>()
    private val freshness = PlatformFreshness()
    private var platformError: String? = null

    /** What traffic reads. */
    val view: DirectoryView get() = current.get()

    /** Waits until there is a configuration, or [timeout] is over. Safe to call from any thread. */
    suspend fun awaitConfiguration(timeout: Duration) {
        withTimeoutOrNull(timeout) { configured.await() }
    }

    val revision: Long get() = directory.revision

    /** How long ago this view was the newest one, or null when that was never seen. */
    val ageMillis: Long? get() = freshness.ageMillis(nowMillis())

    /** Why the platform did not answer this gateway when it asked last, or null when it did. */
    val platformFailure: String? get() = platformError

    /** For how long the platform has answered without a break, or null when it does not seem to answer. */
    val platformReachableMillis: Long? get() = directory.reachability.since(nowMillis())?.let { nowMillis() - it }

    /** How long ago the platform answered this gateway or another one, or null when that was never heard. */
    val platformAnsweredAgoMillis: Long? get() = directory.reachability.answeredAgo(nowMillis())

    fun itemsAfter(revision: Long): List<PlatformItem> = directory.itemsAfter(revision)

    /** Takes what the platform holds. */
    fun take(listing: PlatformListing, source: String) =
        tellingNews { publish(directory.applyListing(listing, nowMillis()), source) }

    /** Takes changes from the platform. */
    fun take(since: Long, changes: PlatformChanges, source: String) =
        tellingNews { publish(directory.applyChanges(since, changes, nowMillis()), source) }

    private fun tellingNews(take: () -> Unit) {
        val before = revision
        take()
        if (revision > before) heardFromPlatform()
    }

    /** Takes the items that a peer has passed on. */
    fun takeFromPeer(since: Long, changes: PlatformChanges, source: String) =
        publish(directory.applyChanges(since, changes, nowMillis()), source)

    /** Takes from a peer that the platform has answered for [reachableMillis], the last time [answeredAgoMillis] ago. */
    fun takeReachability(reachableMillis: Long, answeredAgoMillis: Long) {
        val now = nowMillis()
        directory.reachability.answeredOthers(now - reachableMillis, now - answeredAgoMillis)
    }

    /** Takes what a peer knows of the age of a view. */
    fun takeAge(peerRevision: Long, ageMillis: Long) {
        freshness.accept(peerRevision, revision, ageMillis, nowMillis())
        if (ageMillis >= 0) directory.reachability.answeredAt(nowMillis() - ageMillis)
    }

    fun tick() = publish(directory.tick(nowMillis()), "the clock")

    fun platformAnswered() {
        directory.reachability.answered(nowMillis())
        freshness.prove(nowMillis())
        if (platformError == null) return
        platformError = null
        events.record(EventType.PLATFORM_BACK, "it answers again")
    }

    fun platformFailed(error: FeedError) {
        directory.reachability.failed(nowMillis())
        if (platformError == error.toString()) return
        platformError = error.toString()
        events.record(EventType.PLATFORM_LOST, error.toString())
    }

    private fun publish(changes: List<DirectoryChange>, source: String) {
        if (changes.isEmpty() && directory.revision == view.revision) return
        current.set(directory.view())
        published(view)
        if (view.configuration != null) configured.complete(Unit)
        changes.forEach { record(it, source) }
    }

    private fun record(change: DirectoryChange, source: String) {
        val revision = directory.revision
        when (change) {
            is DirectoryChange.ConfigurationTaken ->
                line(EventType.CONFIGURATION_ACCEPTED, "version ${change.version} from $source", "${change.version}")
            is DirectoryChange.ConfigurationOutdated ->
                line(
                    EventType.CONFIGURATION_REFUSED,
                    "version ${change.version} from $source is older than ${change.inForce}, which is in force",
                    "${change.version}",
                )
            is DirectoryChange.ZoneEvacuated -> line(EventType.ZONE_OUT, "evacuated, from $source", change.zone.value)
            is DirectoryChange.ZoneReturned -> line(EventType.ZONE_BACK, "taken back, from $source", change.zone.value)
            is DirectoryChange.UpstreamListed ->
                upstreamLine(EventType.UPSTREAM_JOINED, "${change.state}, from $source", change.upstream)
            is DirectoryChange.UpstreamLapsed ->
                upstreamLine(EventType.UPSTREAM_LAPSED, "${change.reason}, from $source", change.upstream)
            is DirectoryChange.UpstreamGone ->
                upstreamLine(EventType.UPSTREAM_LOST, "${change.reason}, from $source", change.upstream)
            is DirectoryChange.ItemRefused -> line(EventType.ITEM_REFUSED, "${change.reason}, from $source", change.key)
        }
    }

    private fun upstreamLine(type: EventType, cause: String, upstream: UpstreamId) =
        events.record(type, cause, EventSubject(upstream = upstream, configurationRevision = directory.revision))

    private fun line(type: EventType, cause: String, subject: String) =
        events.record(type, cause, EventSubject(subject = subject, configurationRevision = directory.revision))
}
