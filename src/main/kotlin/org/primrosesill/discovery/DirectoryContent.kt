/*
 * What the items of a directory mean for the gateway: the active configuration, the evacuated zones and the registered
 * upstreams.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.route.ServingConfiguration

/**
 * Owned by the control thread.
 *
 * @param report receives each change that the operator may want to know
 */
internal class DirectoryContent(
    private val decoder: PlatformItemDecoder,
    private val items: DirectoryItems,
    private val history: ItemHistory,
    private val entries: UpstreamEntries,
    private val settings: DirectorySettings,
    private val report: (DirectoryChange) -> Unit,
) {
    private val evacuatedZones = HashSet<AvailabilityZoneId>()
    private var decodedConfiguration: DecodedItem.Configuration? = null
    private var configurationValue: SegmentedText? = null
    private val configuration: ServingConfiguration? get() = decodedConfiguration?.configuration

    /** Returns an immutable snapshot as of [revision]. */
    fun view(revision: PlatformRevision): DirectoryView =
        DirectoryView(
            revision,
            configuration,
            entries.knownUpstreams(evacuatedZones).groupBy { it.registration.pool },
            evacuatedZones.toSet(),
        )

    /** Applies [item] and records it, in this order: an update that fails is applied again when it is received again. */
    fun apply(item: PlatformItem, nowMillis: Long) {
        if (item.isDeleted) {
            applyDeletion(item, nowMillis)
            return items.put(item, ItemUse.NONE)
        }
        val decoded = decode(item)
        if (decoded !is DecodedItem.Invalid && items.isInvalid(item.key)) {
            report(DirectoryChange.ItemAccepted(item.key))
        }
        when (decoded) {
            is DecodedItem.Configuration -> return items.put(acceptedConfiguration(decoded, item), ItemUse.USED)
            is DecodedItem.ZoneEvacuated -> evacuateZone(decoded.zone)
            is DecodedItem.Upstream -> entries.register(decoded.registration, nowMillis)
            is DecodedItem.Invalid -> rejectItem(item, decoded.reason, nowMillis)
            DecodedItem.Unrelated -> Unit
        }
        items.put(item, useOf(decoded))
    }

    /** Returns the decoded [item]. A decoder that fails must not end the update, as other items follow. */
    private fun decode(item: PlatformItem): DecodedItem =
        try {
            decoder.decode(item, decodedConfiguration)
        } catch (
            @Suppress("TooGenericExceptionCaught") exception: RuntimeException,
        ) {
            DecodedItem.Invalid("decoding failed: $exception")
        }

    private fun useOf(decoded: DecodedItem): ItemUse =
        when (decoded) {
            is DecodedItem.Invalid -> ItemUse.INVALID
            DecodedItem.Unrelated -> ItemUse.NONE
            else -> ItemUse.USED
        }

    /** Returns the item to record for [item], which peers receive: that of the active configuration. */
    private fun acceptedConfiguration(decoded: DecodedItem.Configuration, item: PlatformItem): PlatformItem {
        val received = decoded.configuration
        val active = configuration
        if (active != null && received.version < active.version) {
            report(DirectoryChange.StaleConfigurationRejected(received.version, active.version))
            // Also a peer that starts after the platform has lost the active configuration receives it.
            val kept = configurationValue?.let { PlatformItem(item.key, item.revision, it) } ?: item
            return kept.also(history::record)
        }
        history.record(item)
        if (received.version == active?.version) return item
        decodedConfiguration = decoded
        configurationValue = item.segments
        report(DirectoryChange.ConfigurationAccepted(received.version, decoded.newEntryCount, decoded.entries.size))
        return item
    }

    private fun evacuateZone(zone: AvailabilityZoneId) {
        if (evacuatedZones.add(zone)) report(DirectoryChange.ZoneEvacuated(zone))
    }

    /**
     * Handles an invalid entry like a removed one, so that an earlier, valid entry under its key is no longer used.
     */
    private fun rejectItem(item: PlatformItem, reason: String, nowMillis: Long) {
        // Other writers may write such an item in each heartbeat.
        if (!items.isInvalid(item.key)) report(DirectoryChange.ItemRejected(item.key, reason))
        decoder.upstreamOf(item.key)?.let { entries.onEntryRemoved(it, nowMillis) }
    }

    private fun applyDeletion(item: PlatformItem, nowMillis: Long) {
        history.record(item)
        decoder.upstreamOf(item.key)?.let { entries.onEntryRemoved(it, nowMillis) }
        decoder.evacuatedZoneOf(item.key)?.let { restoreZone(it, nowMillis) }
    }

    /**
     * Ends the evacuation of [zone] and counts its upstreams as cold: without traffic they may have become cold, which
     * they report only in their next entry.
     */
    private fun restoreZone(zone: AvailabilityZoneId, nowMillis: Long) {
        if (!evacuatedZones.remove(zone)) return
        report(DirectoryChange.ZoneRestored(zone))
        entries.countAsCold(zone) { pool ->
            val coldStart = configuration?.pools?.get(pool)?.coldStart
            coldStart?.let { nowMillis + it.duration.inWholeMilliseconds + settings.coldMarginMillis }
        }
    }
}
