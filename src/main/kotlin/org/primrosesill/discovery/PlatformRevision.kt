/*
 * The position of a view in the history of the platform. A platform that is restored from a copy loses its last changes
 * and gives out their revisions again, so that a revision alone does not order two views.
 */
package org.primrosesill.discovery

/**
 * Ordered by [era] first.
 *
 * @property number revision, which rises with each change within an era
 * @property era number of restorations of the platform, or 0 when it does not report it
 */
public data class PlatformRevision(public val number: Long, public val era: Long = 0) : Comparable<PlatformRevision> {
    override fun compareTo(other: PlatformRevision): Int = compareValuesBy(this, other, { it.era }, { it.number })

    /** The revision, followed by its era when there is one. */
    override fun toString(): String = if (era == 0L) "$number" else "$number of era $era"

    public companion object {
        /** The revision of a view that holds nothing. */
        public val NONE: PlatformRevision = PlatformRevision(0)
    }
}
