/*
 * Keeps what the platform publishes: the configuration in force, the upstreams and the evacuated zones. Items come from
 * the platform or from peers, late, twice and out of order; the revision of each item decides. A configuration never goes
 * back to a lower version, whatever its revision says.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration

/** Something that changed what a router believes, for the event log. */
public sealed interface DirectoryChange {
    public class ConfigurationTaken(public val version: Long) : DirectoryChange

    public class ConfigurationOutdated(public val version: Long, public val inForce: Long) : DirectoryChange

    public class ZoneEvacuated(public val zone: AvailabilityZoneId) : DirectoryChange

    public class ZoneReturned(public val zone: AvailabilityZoneId) : DirectoryChange

    public class UpstreamListed(public val upstream: UpstreamId, public val state: String) : DirectoryChange

    /** The entry of an upstream was removed, which may have lapsed while the platform was away, so that it stays for a while. */
    public class UpstreamLapsed(public val upstream: UpstreamId, public val reason: String) : DirectoryChange

    public class UpstreamGone(public val upstream: UpstreamId, public val reason: String) : DirectoryChange

    public class ItemRefused(public val key: String, public val reason: String) : DirectoryChange
}

/**
 * Times of the directory, in milliseconds.
 *
 * @property returnMillis time after the return of the platform in which entries that lapsed meanwhile come back
 * @property coldMarginMillis time by which news of an upstream may be late
 */
public data class DirectorySettings(val returnMillis: Long = 2_000, val coldMarginMillis: Long = 2_000)

/** Owned by the control thread. Times are milliseconds of a steady clock. */
public class UpstreamDirectory(
    private val decoder: PlatformItemDecoder,
    private val settings: DirectorySettings = DirectorySettings(),
) {
    private val items = HashMap<String, PlatformItem>()
    private val upstreams = HashMap<UpstreamId, Entry>()
    private val evacuated = HashSet<AvailabilityZoneId>()
    private val changes = ArrayList<DirectoryChange>()
    private var configuration: ServingConfiguration? = null

    /** What this router and others know of the platform. */
    public val reachability: PlatformReachability = PlatformReachability()

    /** Up to this revision nothing is missing. */
    public var revision: Long = 0
        private set

    /** Takes the whole content of the platform. What is not in it, and not newer, is gone. */
    public fun applyListing(listing: PlatformListing, nowMillis: Long): List<DirectoryChange> {
        listing.items.forEach { apply(it, nowMillis) }
        val listed = listing.items.mapTo(HashSet()) { it.key }
        val missing = items.values.filter { it.value != null && it.key !in listed && it.revision <= listing.revision }
        missing.forEach { apply(PlatformItem(it.key, listing.revision, null), nowMillis) }
        revision = maxOf(revision, listing.revision)
        return taken()
    }

    /** Takes the changes that follow [since]. Changes that leave a gap count, but do not move [revision]. */
    public fun applyChanges(since: Long, page: PlatformChanges, nowMillis: Long): List<DirectoryChange> {
        page.items.forEach { apply(it, nowMillis) }
        removeLapsed(nowMillis)
        if (since <= revision) revision = maxOf(revision, page.revision)
        return taken()
    }

    /** Drops upstreams whose entries have not come back in time. */
    public fun tick(nowMillis: Long): List<DirectoryChange> {
        removeLapsed(nowMillis)
        return taken()
    }

    /** A peer may have told since that the platform was not away when an entry was removed. */
    private fun removeLapsed(nowMillis: Long) {
        val since = reachability.since(nowMillis)
        for (entry in upstreams.values.toList()) {
            val goneAt = entry.goneAtMillis ?: continue
            val earliest = if (since == null) goneAt else minOf(goneAt, since + settings.returnMillis)
            if (earliest <= nowMillis) remove(entry.registration.id, "its entry did not come back")
        }
    }

    /** The items that changed after [since], for a peer that lacks them. */
    public fun itemsAfter(since: Long): List<PlatformItem> = items.values.filter { it.revision > since }

    /** Returns an immutable copy for traffic. */
    public fun view(): DirectoryView =
        DirectoryView(
            revision,
            configuration,
            upstreams.values.map(::known).groupBy { it.registration.pool },
            evacuated.toSet(),
        )

    private fun taken(): List<DirectoryChange> = changes.toList().also { changes.clear() }

    private fun apply(item: PlatformItem, nowMillis: Long) {
        val held = items[item.key]
        if (held != null && item.revision <= held.revision) return
        items[item.key] = item
        if (item.value == null) return applyDeletion(item, nowMillis)
        when (val fact = decoder.decode(item)) {
            is PlatformFact.Configuration -> take(fact.configuration)
            is PlatformFact.ZoneEvacuated -> evacuate(fact.zone)
            is PlatformFact.Upstream -> register(fact.registration, nowMillis)
            is PlatformFact.Unusable -> refuse(item, fact.reason, nowMillis)
            PlatformFact.Unrelated -> Unit
        }
    }

    private fun take(taken: ServingConfiguration) {
        val inForce = configuration
        if (inForce != null && taken.version <= inForce.version) {
            if (taken.version < inForce.version) {
                changes += DirectoryChange.ConfigurationOutdated(taken.version, inForce.version)
            }
            return
        }
        configuration = taken
        changes += DirectoryChange.ConfigurationTaken(taken.version)
    }

    private fun evacuate(zone: AvailabilityZoneId) {
        if (evacuated.add(zone)) changes += DirectoryChange.ZoneEvacuated(zone)
    }

    private fun register(registration: UpstreamRegistration, nowMillis: Long) {
        val known = upstreams[registration.id]
        val cold = registration.coldFor.inWholeMilliseconds
        val coldUntil = if (cold > 0) nowMillis + cold else known?.coldUntilMillis ?: 0
        upstreams[registration.id] = Entry(registration, coldUntil)
        if (known?.registration?.copy(coldFor = registration.coldFor) != registration) {
            changes += DirectoryChange.UpstreamListed(registration.id, describe(registration))
        }
    }

    /** An entry that cannot be read names no upstream to use, also when an earlier one under its key did. */
    private fun refuse(item: PlatformItem, reason: String, nowMillis: Long) {
        changes += DirectoryChange.ItemRefused(item.key, reason)
        decoder.upstreamOf(item.key)?.let { withdraw(it, nowMillis) }
    }

    private fun applyDeletion(item: PlatformItem, nowMillis: Long) {
        decoder.upstreamOf(item.key)?.let { withdraw(it, nowMillis) }
        decoder.evacuatedZoneOf(item.key)?.let { comeBack(it, nowMillis) }
    }

    /** While the platform is away, entries of live upstreams lapse; they get some time to come back. */
    private fun withdraw(upstream: UpstreamId, nowMillis: Long) {
        val entry = upstreams[upstream] ?: return
        val since = reachability.since(nowMillis)
        val goneAt = (since ?: nowMillis) + settings.returnMillis
        if (entry.registration.draining || (since != null && goneAt <= nowMillis)) {
            remove(upstream, "its entry was removed")
        } else {
            entry.goneAtMillis = goneAt
            changes += DirectoryChange.UpstreamLapsed(upstream, describeLapse(since, goneAt, nowMillis))
        }
    }

    private fun describeLapse(reachableSince: Long?, goneAt: Long, nowMillis: Long): String {
        val platform = reachableSince?.let { "answers for ${nowMillis - it} ms" } ?: "does not answer"
        return "its entry was removed and may come back within ${goneAt - nowMillis} ms, as the platform $platform"
    }

    private fun remove(upstream: UpstreamId, reason: String) {
        upstreams.remove(upstream)
        changes += DirectoryChange.UpstreamGone(upstream, reason)
    }

    /** Upstreams of a zone that got no traffic may have turned cold, and say so only with their next entry. */
    private fun comeBack(zone: AvailabilityZoneId, nowMillis: Long) {
        if (!evacuated.remove(zone)) return
        changes += DirectoryChange.ZoneReturned(zone)
        upstreams.values.filter { it.registration.availabilityZone == zone }.forEach { entry ->
            val duration =
                configuration
                    ?.pools
                    ?.get(entry.registration.pool)
                    ?.coldStart
                    ?.duration ?: return@forEach
            val until = nowMillis + duration.inWholeMilliseconds + settings.coldMarginMillis
            entry.coldUntilMillis = maxOf(entry.coldUntilMillis, until)
        }
    }

    private fun known(entry: Entry): KnownUpstream {
        val registration = entry.registration
        val blocked =
            when {
                registration.draining -> "it is draining"
                registration.availabilityZone in evacuated -> "its zone is evacuated"
                else -> null
            }
        return KnownUpstream(registration, entry.coldUntilMillis, blocked)
    }

    private class Entry(val registration: UpstreamRegistration, var coldUntilMillis: Long) {
        /** When the upstream is taken as gone, or null while its entry stands. */
        var goneAtMillis: Long? = null
    }
}

private fun describe(registration: UpstreamRegistration): String =
    "${if (registration.draining) "draining" else "ready"} in ${registration.availabilityZone} at " +
        "${registration.address}, pool ${registration.pool}, software ${registration.softwareVersion}"
