/*
 * What routers send each other about prompt parts of requests at which engines crashed.
 */
package org.primrosesill.placement

/**
 * The connection to an engine was lost while it served a request with a prompt part.
 *
 * @property position index of the part in its prompt
 * @property engine short code of the engine
 */
public data class CrashReport(
    public val part: PartCode,
    public val position: Int,
    public val engine: String,
    public val ageMillis: Long,
)

/** An engine has completed a request with a prompt part. */
public data class CompletionReport(public val part: PartCode, public val ageMillis: Long)

/** The reports of one message. */
public class CrashEvidence(
    public val crashes: List<CrashReport> = emptyList(),
    public val completions: List<CompletionReport> = emptyList(),
)

/**
 * A prompt part that was blocked or is no longer blocked.
 *
 * @property cause the evidence, for the event log
 */
public class PartBlockChange(public val part: PartCode, public val isBlocked: Boolean, public val cause: String)
