/*
 * Header fields of the platform's requests and responses. Their names are not used outside this package.
 */
package org.primrosesill.platform

import org.primrosesill.forwarding.ForwardingProtocol
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.RequestMetadata
import org.primrosesill.forwarding.ResponseMetadata
import org.primrosesill.forwarding.UpstreamRequestMetadata
import org.primrosesill.load.LoadReport
import org.primrosesill.load.MalformedLoad
import org.primrosesill.load.ReportedLoad
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import org.primrosesill.placement.Prompt
import org.primrosesill.placement.PromptPart
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.HeadMatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ATTEMPT_ID = "X-Attempt-Id"
private const val DEADLINE = "X-Deadline-Ms"
private const val TOKENS = "X-Token-Usage"
private const val PROMPT_PARTS = "X-Prefix-Hash"
private const val TENANT = "X-Tenant"
private const val EXPECTED_INSTANCE = "X-Expect-Instance"
private const val PRIORITY = "X-Priority-Class"
private const val LAST_EVENT_ID = "Last-Event-Id"
private const val SIGNATURE = "X-Server-Signature"
private const val NOT_RUN = "X-Not-Executed"
private const val LOAD = "X-Server-Load"
private const val LEAVING = "Server-Leaving"
private const val RETRY_AFTER = "Retry-After"
private const val AUTHORIZATION = "Authorization"
private const val CREDENTIAL_SCHEME = "Bearer "
private const val MISDIRECTED_STATUS = 421
private const val UNAVAILABLE_STATUS = 503

/**
 * Retry-After in seconds, as the platform sends it. The HTTP-date form is ignored, since it requires synchronized
 * clocks.
 */
private val secondsPattern = Regex("[0-9]{1,9}(\\.[0-9]{1,9})?")

/**
 * Fields that are not forwarded: hop-by-hop fields, and framing and routing fields that are set for each connection.
 */
private val unforwardedFields =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )

/**
 * Fields that only the gateway may set in requests to upstreams. They are removed from the requests of callers, because
 * upstreams treat them as set by the gateway.
 */
private val reservedFields =
    setOf(
        "authorization",
        "x-tenant",
        "x-expect-instance",
        "x-priority-class",
        "x-expect-version",
        "x-pin-ms",
        "x-kv-retain",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-deadline-ms",
    )

/** Returns the header protocol of the platform's callers and upstreams. */
public fun platformHeaderProtocol(): ForwardingProtocol = PlatformHeaderProtocol

private object PlatformHeaderProtocol : ForwardingProtocol {
    override fun parse(request: InboundRequest): RequestMetadata =
        RequestMetadata(
            id = request.headers[ATTEMPT_ID]?.let(::RequestId),
            timeLeft = request.headers[DEADLINE]?.toLongOrNull()?.milliseconds,
            credential =
                request.headers[AUTHORIZATION]
                    ?.takeIf { it.startsWith(CREDENTIAL_SCHEME, ignoreCase = true) }
                    ?.substring(CREDENTIAL_SCHEME.length)
                    ?.trim(),
            prompt = parsePrompt(request.headers),
            lastEventId = request.headers[LAST_EVENT_ID],
        )

    override fun upstreamRequestHeaders(request: InboundRequest, metadata: UpstreamRequestMetadata): HeaderFields {
        val excluded = if (metadata.lastEventId == null) reservedFields else reservedFields + LAST_EVENT_ID.lowercase()
        val forwarded = forwardedFields(request.headers, excluded)
        val fields = ArrayList<HeaderField>()
        val millisLeft = metadata.timeLeft.inWholeMilliseconds.coerceAtLeast(0)
        fields += HeaderField(DEADLINE, millisLeft.toString())
        fields += HeaderField(EXPECTED_INSTANCE, metadata.upstream.value)
        metadata.customer?.let { fields += HeaderField(TENANT, it.value) }
        metadata.priority?.let { fields += HeaderField(PRIORITY, it.toString()) }
        metadata.prefixSource?.let { fields += HeaderField("Kv-Fetch", it) }
        metadata.lastEventId?.let { fields += HeaderField(LAST_EVENT_ID, it) }
        return forwarded + HeaderFields(fields)
    }

    override fun parse(status: Int, fields: HeaderFields): ResponseMetadata =
        ResponseMetadata(
            signed = SIGNATURE in fields,
            notRun = NOT_RUN in fields || status == MISDIRECTED_STATUS,
            otherIncarnation = status == MISDIRECTED_STATUS,
            load = fields[LOAD]?.let(::parseLoad),
            contentEncoded = fields["Content-Encoding"]?.equals("identity", ignoreCase = true) == false,
            leaving = fields.all(LEAVING).any { it.trim() == "1" },
            retryDelay = if (status == UNAVAILABLE_STATUS) fields[RETRY_AFTER]?.let(::parseSeconds) else null,
        )

    override fun matchRequest(id: RequestId?, fields: HeaderFields): HeadMatch {
        val ids = fields.all(ATTEMPT_ID)
        return when {
            ids.isEmpty() -> if (id == null) HeadMatch.THIS_CALL else HeadMatch.UNKNOWN
            ids.singleOrNull() == id?.value -> HeadMatch.THIS_CALL
            else -> HeadMatch.OTHER_CALL
        }
    }

    override fun callerResponseHeaders(fields: HeaderFields): HeaderFields = forwardedFields(fields, emptySet())

    override fun retryAfter(delay: Duration): HeaderField =
        HeaderField(RETRY_AFTER, "%.2f".format(java.util.Locale.ROOT, delay.toDouble(DurationUnit.SECONDS)))
}

private fun forwardedFields(fields: HeaderFields, excluded: Set<String>): HeaderFields {
    val options = fields.all("Connection").flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    // A caller must not remove the system's own fields by listing them in Connection.
    options -=
        setOf(ATTEMPT_ID.lowercase(), PROMPT_PARTS.lowercase(), TOKENS.lowercase(), "x-model", SIGNATURE.lowercase())
    return fields.without { it.name.lowercase() in unforwardedFields + excluded + options }
}

/**
 * Parses `prompt tokens,maximum response tokens` and `id:tokens,id:tokens`. Returns null for malformed fields and for
 * requests without token counts, which are not meant for an engine.
 */
private fun parsePrompt(fields: HeaderFields): Prompt? {
    val tokens = fields[TOKENS]?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    if (tokens.size != 2) return null
    val parts =
        fields[PROMPT_PARTS].orEmpty().split(',').filter { it.isNotBlank() }.map { entry ->
            val count = entry.substringAfter(':', "").trim().toIntOrNull() ?: return null
            PromptPart(PromptPartId(entry.substringBefore(':').trim()), count)
        }
    return Prompt(parts, tokens[0], tokens[1])
}

private fun parseSeconds(text: String): Duration? =
    text
        .trim()
        .takeIf(secondsPattern::matches)
        ?.toDouble()
        ?.seconds

/** Parses `running,waiting,slots`, optionally followed by the percentage of the usual time that work takes. */
private fun parseLoad(text: String): LoadReport {
    val numbers = text.split(',', limit = LOAD_FIGURES.last + 2).map { it.trim().toIntOrNull() }
    if (numbers.size !in LOAD_FIGURES ||
        numbers.any { it == null || it !in 0..MAXIMUM_LOAD_FIGURE }
    ) {
        return MalformedLoad(text)
    }
    val (running, waiting, slots) = numbers.filterNotNull()
    val slownessPercent = numbers.getOrNull(SLOWNESS_INDEX)
    if (slots == 0 || slownessPercent == 0) return MalformedLoad(text)
    return ReportedLoad(running, waiting, slots, slownessPercent?.div(PERCENT))
}

private val LOAD_FIGURES = 3..4
private const val SLOWNESS_INDEX = 3
private const val MAXIMUM_LOAD_FIGURE = 100_000
private const val PERCENT = 100.0
