/*
 * What the traffic of a gateway knows and other gateways should hear, as the exchange carries it.
 */
package org.primrosesill.gateway

import org.primrosesill.exchange.SHORT_CODE_LENGTH
import org.primrosesill.exchange.parseShortNumber
import org.primrosesill.exchange.shortCode
import org.primrosesill.exchange.shortNumber
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.HeldParts
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.LoadObservation
import org.primrosesill.placement.PartIndex
import org.primrosesill.placement.PromptPartId
import org.primrosesill.placement.UpstreamLoads

/** Used on the control thread; what it reads and writes is safe to use from any thread. */
internal class TrafficNews(private val loads: UpstreamLoads, private val index: PartIndex) {
    private var upstreamsByCode: Map<String, UpstreamId> = emptyMap()

    /** Tells which upstreams the codes in messages can stand for. */
    fun knowUpstreams(known: Collection<UpstreamId>) {
        if (known.size != upstreamsByCode.size || !upstreamsByCode.values.containsAll(known)) {
            upstreamsByCode = known.associateBy { shortCode(it.value) }
        }
    }

    fun addTo(message: ExchangeMessage): ExchangeMessage {
        val parts = index.news()
        return message.copy(
            observedLoads = loads.recent().joinToString("", transform = ::encode),
            heldParts = if (parts.isEmpty()) null else heldPartsOf(parts),
        )
    }

    fun take(message: ExchangeMessage) {
        loads.accept(message.observedLoads.chunked(LOAD_ENTRY_LENGTH).mapNotNull(::decode))
        message.heldParts?.let { index.accept(partsOf(it)) }
    }

    fun allHeldParts(): HeldParts = heldPartsOf(index.all())

    fun takeHeldParts(parts: HeldParts) = index.accept(partsOf(parts))

    private fun encode(observation: LoadObservation): String =
        shortCode(observation.upstream.value) +
            shortNumber(observation.load.coerceIn(0, MAXIMUM_LOAD).toLong(), LOAD_LENGTH) +
            shortNumber((observation.ageMillis / AGE_UNIT_MILLIS).coerceIn(0, MAXIMUM_AGE), AGE_LENGTH)

    private fun decode(entry: String): LoadObservation? {
        if (entry.length != LOAD_ENTRY_LENGTH) return null
        val upstream = upstreamsByCode[entry.take(SHORT_CODE_LENGTH)] ?: return null
        val load = parseShortNumber(entry.substring(SHORT_CODE_LENGTH, SHORT_CODE_LENGTH + LOAD_LENGTH)) ?: return null
        val age = parseShortNumber(entry.takeLast(AGE_LENGTH)) ?: return null
        return LoadObservation(upstream, load.toInt(), age * AGE_UNIT_MILLIS)
    }

    private companion object {
        const val LOAD_LENGTH = 2
        const val AGE_LENGTH = 1
        const val LOAD_ENTRY_LENGTH = SHORT_CODE_LENGTH + LOAD_LENGTH + AGE_LENGTH
        const val MAXIMUM_LOAD = 4_095
        const val MAXIMUM_AGE = 63L
        const val AGE_UNIT_MILLIS = 100L
    }
}

private fun heldPartsOf(parts: Map<UpstreamId, List<PromptPartId>>) =
    HeldParts(parts.entries.associate { (upstream, ids) -> upstream.value to ids.map { it.value } })

private fun partsOf(held: HeldParts): Map<UpstreamId, List<PromptPartId>> =
    held.engines.entries.associate { (upstream, ids) -> UpstreamId(upstream) to ids.map(::PromptPartId) }
