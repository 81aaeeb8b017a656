/*
 * The load that an upstream reports with a response.
 */
package org.primrosesill.placement

/** Load of an upstream at the time of its response. */
public data class ReportedLoad(public val running: Int, public val waiting: Int, public val slots: Int)
