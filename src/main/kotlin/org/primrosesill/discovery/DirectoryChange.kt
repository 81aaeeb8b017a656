/*
 * What an update changed in the directory of a gateway.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId

/** A change of an [UpstreamDirectory], for the event log. */
public sealed interface DirectoryChange {
    /** [newEntryCount] of [entryCount] entries were decoded; the others are those of the configuration before. */
    public class ConfigurationAccepted(
        public val version: Long,
        public val newEntryCount: Int,
        public val entryCount: Int,
    ) : DirectoryChange

    public class StaleConfigurationRejected(public val version: Long, public val activeVersion: Long) : DirectoryChange

    public class ZoneEvacuated(public val zone: AvailabilityZoneId) : DirectoryChange

    public class ZoneRestored(public val zone: AvailabilityZoneId) : DirectoryChange

    public class UpstreamListed(public val upstream: UpstreamId, public val state: String) : DirectoryChange

    /**
     * An entry was removed that may have expired during an outage of the platform. Its upstream is kept for the grace
     * time.
     */
    public class UpstreamExpired(public val upstream: UpstreamId, public val reason: String) : DirectoryChange

    public class UpstreamRemoved(public val upstream: UpstreamId, public val reason: String) : DirectoryChange

    /** An item that could be decoded before, or was not known, cannot be decoded. */
    public class ItemRejected(public val key: String, public val reason: String) : DirectoryChange

    /** An item that could not be decoded before can be decoded. */
    public class ItemAccepted(public val key: String) : DirectoryChange

    /** The platform was restored from a copy. [held] items contradict later changes and are not applied yet. */
    public class PlatformRestored(public val before: PlatformRevision, public val held: Int) : DirectoryChange

    /** An update of an older era was received. */
    public class OlderEraRejected(public val revision: PlatformRevision) : DirectoryChange
}
