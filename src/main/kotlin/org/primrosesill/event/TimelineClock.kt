/*
 * Estimates clock offsets between processes from requests that a router routed and an upstream executed: the upstream
 * starts after the router sent the request and finishes before the router does.
 */
package org.primrosesill.event

import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import java.util.PriorityQueue

/** Bounds of the clock offset of [upstream] relative to [router], from requests that both logged. */
private class ClockOffsetBounds(val router: String, val upstream: String, bounds: List<Pair<Long?, Long?>>) {
    val requests = bounds.size
    val lower = bounds.mapNotNull { it.first }.maxOrNull()
    val upper = bounds.mapNotNull { it.second }.minOrNull()
    val consistent = lower == null || upper == null || lower <= upper
    val uncertaintyMillis = if (lower != null && upper != null) (upper - lower) / 2 else Long.MAX_VALUE

    /** Returns zero when the bounds allow equal clocks, else the middle of the bounds. */
    fun correctionMillis(): Long =
        when {
            consistent && (lower ?: 0) <= 0 && (upper ?: 0) >= 0 -> 0
            lower == null || upper == null -> lower ?: upper ?: 0
            else -> (lower + upper) / 2
        }
}

/**
 * Estimates a clock correction for every process in [records]. Processes in [operatorOffsets] keep the offset that the
 * operator set. The others are aligned with them, or with the router that has the most shared requests.
 */
internal fun estimateClockCorrections(
    records: List<EventRecord>,
    operatorOffsets: Map<String, Long>,
): Map<String, ClockCorrection> {
    val links = clockOffsetBounds(records)
    val linksOf = links.flatMap { listOf(it.router to it, it.upstream to it) }.groupBy({ it.first }, { it.second })
    val corrections =
        operatorOffsets.mapValuesTo(sortedMapOf()) { (_, millis) -> ClockCorrection(millis, setByOperator = true) }
    val uncorrected = records.mapTo(sortedSetOf()) { it.process }
    uncorrected -= corrections.keys
    val reachable = PriorityQueue<ClockOffsetBounds>(compareBy { it.uncertaintyMillis })
    corrections.keys.forEach { reachable += linksOf[it].orEmpty() }
    while (uncorrected.isNotEmpty()) {
        val link = reachable.poll()
        val next =
            if (link == null) referenceProcess(uncorrected, linksOf) else link.processIn(uncorrected) ?: continue
        corrections[next] = link?.let { correctionFrom(it, corrections) } ?: ClockCorrection()
        uncorrected -= next
        reachable += linksOf[next].orEmpty()
    }
    return corrections
}

private fun ClockOffsetBounds.processIn(uncorrected: Set<String>): String? =
    listOf(router, upstream).firstOrNull { it in uncorrected }

// A router is the better reference, because operators compare its timestamps with those of callers.
private fun referenceProcess(uncorrected: Set<String>, linksOf: Map<String, List<ClockOffsetBounds>>): String =
    uncorrected.maxBy { process -> linksOf[process].orEmpty().filter { it.router == process }.sumOf { it.requests } }

private fun correctionFrom(link: ClockOffsetBounds, corrections: Map<String, ClockCorrection>): ClockCorrection {
    val fromRouter = corrections[link.router]
    val base = fromRouter ?: corrections.getValue(link.upstream)
    return ClockCorrection(
        millis =
            if (fromRouter != null) base.millis + link.correctionMillis() else base.millis - link.correctionMillis(),
        uncertaintyMillis = link.uncertaintyMillis.takeIf { link.consistent && it != Long.MAX_VALUE },
        requests = link.requests,
        consistent = link.consistent,
    )
}

private fun clockOffsetBounds(records: List<EventRecord>): List<ClockOffsetBounds> {
    val bounds = mutableMapOf<Pair<String, String>, MutableList<Pair<Long?, Long?>>>()
    val requestIds = CallerRequestIds(records)
    val byRequest = records.filter { it.request != null }.groupBy { requestIds.callerRequestId(it) }
    for (events in byRequest.values) {
        for (executed in events.filter { it.type == EventType.REQUEST_EXECUTED }) {
            val routed =
                events
                    .filter { it.isRoutingOf(executed) }
                    .minByOrNull { it.atMillis } ?: continue
            val ends = finishTimes(events, routed, executed)
            bounds.getOrPut(routed.process to executed.process, ::mutableListOf) +=
                routed.atMillis - executed.atMillis to ends?.let { (router, upstream) -> router - upstream }
        }
    }
    return bounds.map { (processes, pairs) -> ClockOffsetBounds(processes.first, processes.second, pairs) }
}

private fun EventRecord.isRoutingOf(executed: EventRecord): Boolean =
    type == EventType.REQUEST_ROUTED && process != executed.process &&
        (upstream == null || upstream == executed.upstream)

/**
 * Returns the times at which the router and the upstream finished, or null when an upstream may have finished after the
 * router: the upstream executed the request more than once, or the router routed it more than once.
 */
private fun finishTimes(events: List<EventRecord>, routed: EventRecord, executed: EventRecord): Pair<Long, Long>? {
    val finished = events.filter { it.type == EventType.REQUEST_FINISHED }
    val router = finished.singleOrNull { it.process == routed.process }
    val upstream = finished.singleOrNull { it.process == executed.process }
    val routedOnce = events.count { it.type == EventType.REQUEST_ROUTED } == 1
    return if (routedOnce && router != null && upstream != null) router.atMillis to upstream.atMillis else null
}
