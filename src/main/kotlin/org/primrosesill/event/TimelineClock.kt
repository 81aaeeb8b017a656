/*
 * Differences between the clocks of processes, estimated from requests that a router routed and an upstream ran: the
 * upstream starts after the router sent and ends before the router does.
 */
package org.primrosesill.event

import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import java.util.PriorityQueue

/** Bounds of the correction of [upstream] against [router], from requests that both saw. */
private class ClockLink(val router: String, val upstream: String, bounds: List<Pair<Long?, Long?>>) {
    val requests = bounds.size
    val lower = bounds.mapNotNull { it.first }.maxOrNull()
    val upper = bounds.mapNotNull { it.second }.minOrNull()
    val consistent = lower == null || upper == null || lower <= upper
    val uncertaintyMillis = if (lower != null && upper != null) (upper - lower) / 2 else Long.MAX_VALUE

    /** Returns zero when the clocks may agree, else the middle of the bounds. */
    fun millis(): Long =
        when {
            consistent && (lower ?: 0) <= 0 && (upper ?: 0) >= 0 -> 0
            lower == null || upper == null -> lower ?: upper ?: 0
            else -> (lower + upper) / 2
        }
}

/**
 * Estimates a correction for every process of [records]. Processes in [given] keep what the operator says. The others
 * are corrected towards them, or towards the router with the most shared requests.
 */
internal fun estimateClocks(records: List<EventRecord>, given: Map<String, Long>): Map<String, ClockCorrection> {
    val links = clockLinks(records)
    val linksOf = links.flatMap { listOf(it.router to it, it.upstream to it) }.groupBy({ it.first }, { it.second })
    val corrections = given.mapValuesTo(sortedMapOf()) { (_, millis) -> ClockCorrection(millis, given = true) }
    val open = records.mapTo(sortedSetOf()) { it.process }
    open -= corrections.keys
    val reachable = PriorityQueue<ClockLink>(compareBy { it.uncertaintyMillis })
    corrections.keys.forEach { reachable += linksOf[it].orEmpty() }
    while (open.isNotEmpty()) {
        val link = reachable.poll()
        val next = if (link == null) mostLinked(open, linksOf) else link.endIn(open) ?: continue
        corrections[next] = link?.let { correct(it, corrections) } ?: ClockCorrection()
        open -= next
        reachable += linksOf[next].orEmpty()
    }
    return corrections
}

private fun ClockLink.endIn(open: Set<String>): String? = listOf(router, upstream).firstOrNull { it in open }

// A router is the better reference, because operators compare its times with those of callers.
private fun mostLinked(open: Set<String>, linksOf: Map<String, List<ClockLink>>): String =
    open.maxBy { process -> linksOf[process].orEmpty().filter { it.router == process }.sumOf { it.requests } }

private fun correct(link: ClockLink, known: Map<String, ClockCorrection>): ClockCorrection {
    val fromRouter = known[link.router]
    val base = fromRouter ?: known.getValue(link.upstream)
    return ClockCorrection(
        millis = if (fromRouter != null) base.millis + link.millis() else base.millis - link.millis(),
        uncertaintyMillis = link.uncertaintyMillis.takeIf { link.consistent && it != Long.MAX_VALUE },
        requests = link.requests,
        consistent = link.consistent,
    )
}

private fun clockLinks(records: List<EventRecord>): List<ClockLink> {
    val bounds = mutableMapOf<Pair<String, String>, MutableList<Pair<Long?, Long?>>>()
    val names = RequestNames(records)
    val byRequest = records.filter { it.request != null }.groupBy { names.callersName(it) }
    for (events in byRequest.values) {
        for (executed in events.filter { it.type == EventType.REQUEST_EXECUTED }) {
            val routed =
                events
                    .filter { it.isRoutingOf(executed) }
                    .minByOrNull { it.atMillis } ?: continue
            val ends = endsOf(events, routed, executed)
            bounds.getOrPut(routed.process to executed.process, ::mutableListOf) +=
                routed.atMillis - executed.atMillis to ends?.let { (router, upstream) -> router - upstream }
        }
    }
    return bounds.map { (processes, pairs) -> ClockLink(processes.first, processes.second, pairs) }
}

private fun EventRecord.isRoutingOf(executed: EventRecord): Boolean =
    type == EventType.REQUEST_ROUTED && process != executed.process &&
        (upstream == null || upstream == executed.upstream)

/**
 * Returns when the router and the upstream finished, or null when an upstream may have ended after the router: it ran
 * the request more than once, or the router tried it more than once.
 */
private fun endsOf(events: List<EventRecord>, routed: EventRecord, executed: EventRecord): Pair<Long, Long>? {
    val finished = events.filter { it.type == EventType.REQUEST_FINISHED }
    val router = finished.singleOrNull { it.process == routed.process }
    val upstream = finished.singleOrNull { it.process == executed.process }
    val routedOnce = events.count { it.type == EventType.REQUEST_ROUTED } == 1
    return if (routedOnce && router != null && upstream != null) router.atMillis to upstream.atMillis else null
}
