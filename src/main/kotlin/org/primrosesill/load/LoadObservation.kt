/*
 * A load that an upstream has reported to some router, as routers forward it to each other.
 */
package org.primrosesill.load

import org.primrosesill.model.UpstreamId

/**
 * Identifies the response in which an upstream reported a load, so that a router recognizes a copy of the report that other
 * routers have relayed. One in [REPORT_IDS] pairs of reports has the same id.
 */
@JvmInline
public value class ReportId(public val number: Int)

/** Number of different report ids: two characters in a message, of which zero stands for no id. */
public const val REPORT_IDS: Int = 4_095

/**
 * The load that an upstream reported, and how long ago.
 *
 * @property ageMillis at least; the time that a message waits to be read is not included
 * @property report null if a router of an earlier release has relayed the report
 * @property waiting the part of [load] that was waiting, or null if it is unknown
 * @property slowness time that work took, relative to the usual time, or null if it is unknown
 */
public data class LoadObservation(
    public val upstream: UpstreamId,
    public val load: Int,
    public val ageMillis: Long,
    public val report: ReportId? = null,
    public val waiting: Int? = null,
    public val slowness: Double? = null,
)
