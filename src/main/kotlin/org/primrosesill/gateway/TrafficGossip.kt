/*
 * Encodes the state of upstreams that gateways exchange into exchange messages, and decodes it from them: loads,
 * request counts, silent upstreams, held prompt parts and crash evidence.
 */
package org.primrosesill.gateway

import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.parseShortNumber
import org.primrosesill.exchange.shortCode
import org.primrosesill.exchange.shortNumber
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.HeldParts
import org.primrosesill.load.LoadObservation
import org.primrosesill.load.ReportId
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SilenceChanges
import org.primrosesill.load.SilenceReport
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.SpeedObservations
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UsualSpeeds
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.CompletionReport
import org.primrosesill.placement.CrashEvidence
import org.primrosesill.placement.CrashReport
import org.primrosesill.placement.CrashingParts
import org.primrosesill.placement.PART_CODE_LENGTH
import org.primrosesill.placement.PartBlockChange
import org.primrosesill.placement.PartCode
import org.primrosesill.placement.PartsByEngine
import org.primrosesill.placement.PromptCacheIndex
import org.primrosesill.placement.PromptPartId
import org.primrosesill.placement.partCode

/** Confined to the control thread; the tables that it reads and updates are safe to use from any thread. */
internal class TrafficGossip(
    private val loads: UpstreamLoads,
    private val index: PromptCacheIndex,
    private val silentUpstreams: SilentUpstreams,
    private val crashingParts: CrashingParts,
    private val services: ServiceConcurrency = ServiceConcurrency(ownCode = "") { 0 },
    private val speeds: SpeedObservations = UsualSpeeds,
    private val isLoadAware: () -> Boolean = { true },
) {
    private var upstreamsByCode: Map<String, UpstreamId> = emptyMap()

    /** Sets the upstreams whose short codes can be decoded; entries with other codes are ignored. */
    fun updateKnownUpstreams(known: Collection<UpstreamId>) {
        services.retainUpstreams(known.toSet())
        if (known.size != upstreamsByCode.size || !upstreamsByCode.values.containsAll(known)) {
            upstreamsByCode = known.associateBy { shortCode(it.value) }
        }
    }

    /**
     * Returns [message] with silence reports, observed loads, crash evidence, and held parts that are new since the last
     * call.
     */
    fun addTo(message: ExchangeMessage): ExchangeMessage {
        val parts = index.recentUpdates()
        val observations = speeds.withMeasured(loads.recentObservations())
        return message.with(crashingParts.evidence()).copy(
            silentUpstreams = silentUpstreams.reports().joinToString("", transform = ::encode),
            observedLoads = observations.joinToString("", transform = ::encode),
            observedReports = observations.joinToString("") { shortNumber(it.reportNumber, REPORT_LENGTH) },
            observedSlowness = if (isLoadAware()) encodeSlowness(observations) else "",
            observedWaiting = if (isLoadAware()) encodeWaiting(observations) else "",
            serviceCounts = encodeServiceCounts(services.uses()),
            recentDispatches = encodeDispatches(loads.recentDispatches()),
            heldParts = if (parts.isEmpty()) null else heldPartsOf(parts),
        )
    }

    /** Returns [message] with the crash evidence that peers should receive without waiting for a round. */
    fun addUrgentCrashEvidence(message: ExchangeMessage): ExchangeMessage = message.with(crashingParts.urgentEvidence())

    private fun ExchangeMessage.with(evidence: CrashEvidence): ExchangeMessage =
        copy(
            crashReports = evidence.crashes.joinToString("", transform = ::encode),
            completedParts = evidence.completions.joinToString("", transform = ::encode),
        )

    /** Applies the crash evidence in [message], and returns whether a part has become blocked. */
    fun applyCrashEvidence(message: ExchangeMessage): Boolean =
        crashingParts.merge(
            CrashEvidence(
                message.crashReports.chunked(CRASH_ENTRY_LENGTH).mapNotNull(::decodeCrash),
                message.completedParts.chunked(COMPLETION_ENTRY_LENGTH).mapNotNull(::decodeCompletion),
            ),
        )

    /** Returns the prompt parts that were blocked or unblocked since the last call. */
    fun partBlockChanges(): List<PartBlockChange> = crashingParts.drainChanges()

    /** Returns the upstreams that have become silent since the last call. */
    fun newlySilent(): SilenceChanges = silentUpstreams.changes()

    /** Returns [message] with the requests in flight of this gateway, which gateways of a small fleet exchange. */
    fun addRequestCounts(message: ExchangeMessage): ExchangeMessage =
        message.copy(
            requestCounts = loads.ownCounts().entries.joinToString("") { (upstream, count) -> encode(upstream, count) },
        )

    /** Applies the requests in flight of [sender]. */
    fun applyRequestCounts(sender: RouterId, message: ExchangeMessage) =
        loads.recordCounts(
            sender,
            message.requestCounts
                .chunked(COUNT_ENTRY_LENGTH)
                .mapNotNull(::decodeCount)
                .toMap(),
        )

    /** Sets the gateways that are expected to send their request counts; null in a large fleet, where none do. */
    fun expectRequestCounts(others: Set<RouterId>?) = loads.expectCounts(others)

    /** Removes the requests at small services of the gateways that are not among [others]. */
    fun retainServiceCounts(others: Collection<RouterId>) =
        services.retainGateways(others.mapTo(HashSet()) { shortCode(it.value) })

    /** Applies the loads, silence reports, requests at small services and held parts in [message]. */
    fun applyMessage(message: ExchangeMessage) {
        val observations = observationsIn(message)
        loads.merge(observations)
        speeds.merge(observations)
        message.sender?.let { loads.mergeDispatches(it, decodeDispatches(message.recentDispatches, upstreamsByCode)) }
        silentUpstreams.addReports(message.silentUpstreams.chunked(SILENCE_ENTRY_LENGTH).mapNotNull(::decodeSilence))
        services.merge(decodeServiceCounts(message.serviceCounts, upstreamsByCode))
        message.heldParts?.let { index.merge(partsOf(it)) }
    }

    /** Returns all prompt parts that are recorded as held by engines. */
    fun heldParts(): HeldParts = heldPartsOf(index.snapshot())

    /** Adds the held prompt parts that a peer has recorded. */
    fun addHeldParts(parts: HeldParts) = index.merge(partsOf(parts))

    /** Adds the prompt parts that [engine] reports as held. */
    fun addHeldParts(engine: UpstreamId, parts: List<PromptPartId>) =
        index.merge(
            mapOf(engine to parts.map(::partCode)),
        )

    private fun encode(upstream: UpstreamId, load: Int): String =
        shortCode(upstream.value) + shortNumber(load.coerceIn(0, MAXIMUM_LOAD).toLong(), LOAD_LENGTH)

    private fun decodeCount(entry: String): Pair<UpstreamId, Int>? {
        if (entry.length != COUNT_ENTRY_LENGTH) return null
        val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
        val count = parseShortNumber(entry.drop(SHORT_CODE_LENGTH)) ?: return null
        return upstream to count.toInt()
    }

    private fun encode(observation: LoadObservation): String =
        encode(observation.upstream, observation.load) + encodeAge(observation.ageMillis)

    private fun encode(report: SilenceReport): String =
        shortCode(report.upstream.value) + report.reporter + encodeAge(report.ageMillis)

    private fun encodeAge(ageMillis: Long): String =
        shortNumber((ageMillis / AGE_UNIT_MILLIS).coerceIn(0, MAXIMUM_AGE), AGE_LENGTH)

    private fun encode(report: CrashReport): String =
        report.part.value + shortNumber(report.position.coerceIn(0, MAXIMUM_POSITION).toLong(), POSITION_LENGTH) +
            report.engine + encodeLongAge(report.ageMillis)

    private fun encode(report: CompletionReport): String = report.part.value + encodeLongAge(report.ageMillis)

    private fun encodeLongAge(ageMillis: Long): String =
        shortNumber((ageMillis / LONG_AGE_UNIT_MILLIS).coerceIn(0, MAXIMUM_LONG_AGE), LONG_AGE_LENGTH)

    private fun decodeCrash(entry: String): CrashReport? {
        if (entry.length != CRASH_ENTRY_LENGTH) return null
        val position = parseShortNumber(entry.substring(PART_CODE_LENGTH, ENGINE_INDEX)) ?: return null
        val engine = entry.substring(ENGINE_INDEX, ENGINE_INDEX + SHORT_CODE_LENGTH)
        val age = parseShortNumber(entry.takeLast(LONG_AGE_LENGTH)) ?: return null
        return CrashReport(
            PartCode(entry.take(PART_CODE_LENGTH)),
            position.toInt(),
            engine,
            age * LONG_AGE_UNIT_MILLIS,
        )
    }

    private fun decodeCompletion(entry: String): CompletionReport? {
        if (entry.length != COMPLETION_ENTRY_LENGTH) return null
        val age = parseShortNumber(entry.takeLast(LONG_AGE_LENGTH)) ?: return null
        return CompletionReport(PartCode(entry.take(PART_CODE_LENGTH)), age * LONG_AGE_UNIT_MILLIS)
    }

    private fun decodeSilence(entry: String): SilenceReport? {
        if (entry.length != SILENCE_ENTRY_LENGTH) return null
        val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
        val age = parseShortNumber(entry.takeLast(AGE_LENGTH)) ?: return null
        return SilenceReport(upstream, entry.substring(SHORT_CODE_LENGTH, 2 * SHORT_CODE_LENGTH), age * AGE_UNIT_MILLIS)
    }

    /** Returns the loads in [message], with the ids of their reports unless the sender is of a release that knows none. */
    private fun observationsIn(message: ExchangeMessage): List<LoadObservation> {
        val reports = message.observedReports.chunked(REPORT_LENGTH)
        return message.observedLoads.chunked(LOAD_ENTRY_LENGTH).mapIndexedNotNull { index, entry ->
            decodeLoad(entry)?.copy(
                report = reports.getOrNull(index)?.let(::decodeReport),
                waiting = decodeWaiting(message.observedWaiting, index),
                slowness = decodeSlowness(message.observedSlowness, index),
            )
        }
    }

    private val LoadObservation.reportNumber: Long get() = (report?.number ?: NO_REPORT).toLong()

    private fun decodeReport(entry: String): ReportId? =
        parseShortNumber(entry)?.toInt()?.takeIf { it != NO_REPORT }?.let(::ReportId)

    private fun decodeLoad(entry: String): LoadObservation? {
        if (entry.length != LOAD_ENTRY_LENGTH) return null
        val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
        val load = parseShortNumber(entry.substring(SHORT_CODE_LENGTH, SHORT_CODE_LENGTH + LOAD_LENGTH)) ?: return null
        val age = parseShortNumber(entry.takeLast(AGE_LENGTH)) ?: return null
        return LoadObservation(upstream, load.toInt(), age * AGE_UNIT_MILLIS)
    }

    private companion object {
        /** Lengths in characters. */
        const val LOAD_LENGTH = 2
        const val AGE_LENGTH = 1
        const val REPORT_LENGTH = 2
        const val COUNT_ENTRY_LENGTH = SHORT_CODE_LENGTH + LOAD_LENGTH
        const val LOAD_ENTRY_LENGTH = COUNT_ENTRY_LENGTH + AGE_LENGTH
        const val SILENCE_ENTRY_LENGTH = 2 * SHORT_CODE_LENGTH + AGE_LENGTH
        const val POSITION_LENGTH = 1
        const val LONG_AGE_LENGTH = 3
        const val ENGINE_INDEX = PART_CODE_LENGTH + POSITION_LENGTH
        const val CRASH_ENTRY_LENGTH = ENGINE_INDEX + SHORT_CODE_LENGTH + LONG_AGE_LENGTH
        const val COMPLETION_ENTRY_LENGTH = PART_CODE_LENGTH + LONG_AGE_LENGTH

        /** The number of a load whose report has no id. */
        const val NO_REPORT = 0

        /** Largest numbers that the lengths can encode; the age is in units of [AGE_UNIT_MILLIS]. */
        const val MAXIMUM_LOAD = 4_095
        const val MAXIMUM_AGE = 63L
        const val AGE_UNIT_MILLIS = 100L
        const val MAXIMUM_POSITION = 63
        const val MAXIMUM_LONG_AGE = 262_143L
        const val LONG_AGE_UNIT_MILLIS = 10L
    }
}

private fun heldPartsOf(parts: PartsByEngine) =
    HeldParts(parts.entries.associate { (upstream, codes) -> upstream.value to codes.joinToString("") { it.value } })

private fun partsOf(held: HeldParts): PartsByEngine =
    held.engines.entries.associate { (upstream, codes) ->
        UpstreamId(upstream) to codes.chunked(PART_CODE_LENGTH).map(::PartCode)
    }
