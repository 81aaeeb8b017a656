/*
 * What the product reads from a platform: items under keys, each with the revision of its last change. An adapter knows
 * the platform's protocol and what the items hold; everything else works with the types of this file.
 */
package org.primrosesill.discovery

import arrow.core.Either
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ServingConfiguration
import kotlin.time.Duration

/** One item as the platform holds it. A null [value] means that the item was deleted at [revision]. */
public class PlatformItem(public val key: String, public val revision: Long, public val value: String?)

/** All items, as they were at [revision] or later. */
public class PlatformListing(public val revision: Long, public val items: List<PlatformItem>)

/** The changes after the revision that was asked for, up to [revision]. */
public class PlatformChanges(public val revision: Long, public val items: List<PlatformItem>)

/** Why a call to a source of items gave nothing. */
public sealed class FeedError(public val detail: String) {
    override fun toString(): String = detail

    /** No connection, no answer in time, a refusal, or a connection that broke. */
    public class Unavailable(detail: String) : FeedError(detail)

    /** The changes since the revision are no longer kept, so that all items have to be listed. */
    public class HistoryGone(detail: String) : FeedError(detail)

    /** An answer that makes no sense. */
    public class Malformed(detail: String) : FeedError(detail)
}

/** A source of items: the platform itself, or a peer that passes on what it has read. */
public interface PlatformFeed {
    /** Lists all items. */
    public suspend fun list(): Either<FeedError, PlatformListing>

    /** Waits up to [wait] for changes after [revision]. */
    public suspend fun watch(revision: Long, wait: Duration): Either<FeedError, PlatformChanges>
}

/** What one item says, in the product's terms. */
public sealed interface PlatformFact {
    /** The configuration in full. */
    public class Configuration(public val configuration: ServingConfiguration) : PlatformFact

    /** No new requests are to go to the upstreams of a zone while the item exists. */
    public class ZoneEvacuated(public val zone: AvailabilityZoneId) : PlatformFact

    /** An upstream and what it says of itself. */
    public class Upstream(public val registration: UpstreamRegistration) : PlatformFact

    /** An item that cannot be used. */
    public class Unusable(public val reason: String) : PlatformFact

    /** An item that is none of the product's business. */
    public data object Unrelated : PlatformFact
}

/** Reads items. Pure. */
public interface PlatformItemDecoder {
    /** Returns what [item] says. Its value is not null. */
    public fun decode(item: PlatformItem): PlatformFact

    /** Returns which upstream the item under [key] stands for, or null when it stands for something else. */
    public fun upstreamOf(key: String): UpstreamId?

    /** Returns which zone the item under [key] evacuates, or null when it stands for something else. */
    public fun evacuatedZoneOf(key: String): AvailabilityZoneId?
}
