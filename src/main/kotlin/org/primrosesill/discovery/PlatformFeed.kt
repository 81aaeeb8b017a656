/*
 * Types for reading from a platform: items under keys, each with the revision of its last change. An adapter implements
 * the protocol of the platform and the format of the items; all other code uses only the types of this file.
 */
package org.primrosesill.discovery

import arrow.core.Either
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration
import kotlin.time.Duration

/** One item as stored by the platform, or its deletion at [revision]. */
public class PlatformItem private constructor(
    public val key: String,
    public val revision: Long,
    private val text: Lazy<String>?,
    private val segmentedText: Lazy<SegmentedText>?,
    internal val isLarge: Boolean,
) {
    /** An item with the given [value], or its deletion if [value] is null. */
    public constructor(key: String, revision: Long, value: String?) :
        this(
            key,
            revision,
            value?.let(::lazyOf),
            value?.let { lazy(LazyThreadSafetyMode.PUBLICATION) { segmentedText(it) } },
            isLarge = value != null && value.length >= LARGE_VALUE_CHARACTERS,
        )

    public constructor(key: String, revision: Long, value: SegmentedText) :
        this(key, revision, lazy(LazyThreadSafetyMode.PUBLICATION) { value.text }, lazyOf(value), isLarge = true)

    public val isDeleted: Boolean get() = text == null

    /** The value, or null if the item was deleted. */
    public val value: String? get() = text?.value

    /** The value in segments, or null if the item was deleted. */
    public val segments: SegmentedText? get() = segmentedText?.value

    private companion object {
        /** A shorter value is hardly longer than a delta to it. */
        const val LARGE_VALUE_CHARACTERS = 1_000
    }
}

/** All items, as of [revision] or later. */
public class PlatformListing(public val revision: PlatformRevision, public val items: List<PlatformItem>)

/**
 * The changes after the requested revision, up to [revision].
 *
 * @property recordedSince null, unless [items] is the complete content of a peer that has not recorded all changes after the
 *     requested revision: then the revision since which it has
 */
public class PlatformChanges(
    public val revision: PlatformRevision,
    public val items: List<PlatformItem>,
    public val recordedSince: PlatformRevision? = null,
)

/** Why a call to a [PlatformFeed] failed. */
public sealed class FeedError(public val detail: String) {
    override fun toString(): String = detail

    /** The connection failed or broke, the call timed out, or the source refused it. */
    public class Unavailable(detail: String) : FeedError(detail)

    /**
     * The source does not have the changes after the requested revision, so that all items have to be listed: it no longer
     * keeps them, or it was restored from a copy.
     */
    public class Compacted(detail: String) : FeedError(detail)

    /** The response could not be decoded, or exceeds its limit. */
    public class Malformed(detail: String) : FeedError(detail)

    /** The response began and did not end in time. */
    public class Incomplete(detail: String) : FeedError(detail)
}

/** A source of items: the platform itself, or a peer that relays the items that it has read. */
public interface PlatformFeed {
    /** Lists all items. */
    public suspend fun list(): Either<FeedError, PlatformListing>

    /** Lists all items, and passes those received so far to [onProgress], each once, while others are still to come. */
    public suspend fun list(onProgress: (PlatformListing) -> Unit): Either<FeedError, PlatformListing> = list()

    /** Waits up to [wait] for changes after [revision]. */
    public suspend fun watch(revision: PlatformRevision, wait: Duration): Either<FeedError, PlatformChanges>
}

/** A decoded item. */
public sealed interface DecodedItem {
    /**
     * The complete configuration.
     *
     * @property entries the decoded elements of the arrays in its value
     * @property newEntryCount number of elements that were decoded, and not shared with an earlier configuration
     */
    public class Configuration(
        public val configuration: ServingConfiguration,
        public val entries: Map<TextSegment, Any> = emptyMap(),
        public val newEntryCount: Int = entries.size,
    ) : DecodedItem

    /** The upstreams of a zone receive no new requests while the item exists. */
    public class ZoneEvacuated(public val zone: AvailabilityZoneId) : DecodedItem

    /** The entry that an upstream published about itself. */
    public class Upstream(public val registration: UpstreamRegistration) : DecodedItem

    /** An item whose value is invalid. */
    public class Invalid(public val reason: String) : DecodedItem

    /** An item of the platform that gateways do not use. */
    public data object Unrelated : DecodedItem
}

/** Decodes items. Implementations are pure functions. */
public interface PlatformItemDecoder {
    /** Returns the decoded [item], which must have a value: deletions are not decoded. */
    public fun decode(item: PlatformItem): DecodedItem

    /**
     * Returns the decoded [item]. If it is a configuration, the elements that it has in common with [previous] are those of
     * [previous] and are not decoded again.
     */
    public fun decode(item: PlatformItem, previous: DecodedItem.Configuration?): DecodedItem = decode(item)

    /**
     * Returns [item] with a value of limited length that decodes to the same. A value that cannot be decoded is replaced by a
     * short one that cannot be decoded either. The configuration is returned as it is.
     */
    public fun withLimitedValue(item: PlatformItem): PlatformItem = item

    /** Returns whether the configuration is stored under [key]. */
    public fun isConfiguration(key: String): Boolean

    /** Returns the upstream whose entry is stored under [key], or null when [key] is not that of an entry. */
    public fun upstreamOf(key: String): UpstreamId?

    /** Returns the zone that the item under [key] evacuates, or null when [key] is not that of an evacuation. */
    public fun evacuatedZoneOf(key: String): AvailabilityZoneId?
}
