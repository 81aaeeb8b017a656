/*
 * The load that an upstream reports with a response.
 */
package org.primrosesill.load

/** What a response says about the load of its upstream. */
public sealed interface LoadReport

/**
 * Load of an upstream at the time of its response.
 *
 * @property running requests that have produced their first token, or that occupy a slot of a plain service
 * @property waiting requests that the upstream has accepted and that are not running yet, those being prefilled included
 * @property slowness time that work takes at the upstream, relative to the usual time; null if it is not reported
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowness: Double? = null,
) : LoadReport

/** A report that cannot be read. [text] is what the response contained. */
public data class MalformedLoad(public val text: String) : LoadReport
