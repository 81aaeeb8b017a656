/*
 * The revisions of which a directory has recorded every change, deletions included. A listing has no deletions, so that a
 * directory that has listed cannot tell a peer what changed since an earlier revision: the peer would keep what was deleted
 * in between. It can only send its complete content, in which the peer finds out what it has in excess.
 */
package org.primrosesill.discovery

/**
 * Every change after [since] up to [upTo] is recorded, and the items are complete as of [upTo].
 */
internal data class RecordedSpan(val since: PlatformRevision, val upTo: PlatformRevision) {
    /** Returns whether all changes after [revision] are known, so that they need not be replaced by the complete content. */
    fun coversChangesAfter(revision: PlatformRevision): Boolean = revision >= since

    /** Returns the span after a listing as of [revision], which replaces an earlier state without saying what was deleted. */
    fun afterListing(revision: PlatformRevision): RecordedSpan =
        if (revision > upTo) RecordedSpan(revision, revision) else this

    /** Returns the span after the items of a peer with the span [other] were added. */
    fun mergedWith(other: RecordedSpan): RecordedSpan {
        val hasGap = other.since > upTo || since > other.upTo
        return if (hasGap) {
            maxOf(this, other, compareBy { it.upTo })
        } else {
            RecordedSpan(minOf(since, other.since), maxOf(upTo, other.upTo))
        }
    }

    /** Returns the span after changes up to [revision] were removed from the record. */
    fun startingAt(revision: PlatformRevision): RecordedSpan = copy(since = maxOf(since, revision))

    companion object {
        /** The span of a directory that holds nothing. */
        val NONE = RecordedSpan(PlatformRevision.NONE, PlatformRevision.NONE)
    }
}
