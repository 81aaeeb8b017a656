/*
 * What an upstream tells of its load with an answer.
 */
package org.primrosesill.placement

/** Load of an upstream as it was when it answered. */
public data class ReportedLoad(public val running: Int, public val waiting: Int, public val slots: Int)
